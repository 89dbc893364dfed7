package quotalease

import "time"

// Lease is the duration of a lease. It is longer than the lease of a leader (225 ms): a member that
// has received no message of a leader for a Lease supports none. It is also longer than most elections.
const Lease = 500 * time.Millisecond

const (
	// settleTimeout is after how long a new leader grants the whole quota although too few
	// members have answered. The members of its quorum have acknowledged it within the leader's
	// lease, and the leases that they granted before end a Lease later.
	settleTimeout = 2 * Lease
	// candidacy is for how long a candidate requests leases without a share, and then leaves
	// the leases to others. Leases of a failed holder end within half of that time.
	candidacy = 2 * Lease
)

// State is the part of one member in the quota leases. Only Reduce changes it.
type State struct {
	self    string
	members members
	leader  string
	// lost is when this member ceased to lead or last received a message of a leader. leaderAsked is
	// when a new leader last requested the lease in force.
	lost, leaderAsked time.Time
	// noGrantUntil is the time before which this member grants no lease.
	noGrantUntil time.Time
	// grant is the lease that this member has granted last, possibly to itself.
	grant lease
	// lowerAsked is when a candidate with a lower name has asked last.
	lowerAsked time.Time
	// candidateSince is when this candidate began to request leases, zero if it does not;
	// pausedUntil is when it may begin again.
	candidateSince, pausedUntil time.Time
	// held maps a member to the end of its lease to this member.
	held map[string]time.Time
	// asks holds the requests sent within a Lease, by number.
	asks     map[uint64]ask
	number   uint64
	election election
}

type lease struct {
	to    string
	until time.Time
}

type ask struct {
	to string
	at time.Time
}

// New returns the state of a member that has just started. It grants no lease for one Lease, as it
// may have granted one just before.
func New(self string, at time.Time) *State {
	return &State{
		self: self, lost: at, noGrantUntil: at.Add(Lease),
		held: map[string]time.Time{}, asks: map[uint64]ask{},
	}
}

// Reduce applies one event.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Observed:
		s.applyObserved(e)
	case Due:
		return s.applyDue(e.At)
	case Asked:
		return []Effect{s.applyAsked(e)}
	case Answered:
		s.applyAnswered(e)
	case ClockJumped:
		s.noGrantUntil = e.At.Add(Lease)
		clear(s.asks) // a lease counts from the request, whose time by this clock is too late now
		s.endCandidacy()
	}
	return nil
}

func (s *State) applyObserved(e Observed) {
	s.members.names = e.Members
	s.members.note(e.At, len(e.Members))
	if e.Leader == s.self && s.leader != s.self {
		s.beginLeading(e.At)
	}
	s.leader = e.Leader
	if e.Leader != "" && e.Leader != s.self {
		s.endCandidacy()
	}
	s.lost = e.At
	if e.Leader == "" && !e.Lost.IsZero() {
		s.lost = e.Lost
	}
}

// Leaderless reports whether this member has known no leader for a Lease.
func (s *State) Leaderless(at time.Time) bool {
	return s.leader == "" && at.Sub(s.lost) >= Lease && at.Sub(s.leaderAsked) >= Lease
}

// Holder names the candidate to which this member has leased, empty if there is none.
func (s *State) Holder(at time.Time) string {
	if to := s.leasedTo(at); to != s.self {
		return to
	}
	return ""
}

// leasedTo names the candidate that holds the lease of this member.
func (s *State) leasedTo(at time.Time) string {
	if at.Before(s.grant.until) {
		return s.grant.to
	}
	return ""
}

// Share returns the share of each quota that this member may grant.
func (s *State) Share(at time.Time) float64 {
	switch s.leader {
	case s.self:
		return s.leaderShare(at)
	case "":
		return s.leasedShare(at)
	}
	return 0
}

// leasedShare returns the share that follows from the leases in force.
func (s *State) leasedShare(at time.Time) float64 {
	leases, count := s.Leases(at), s.members.count()
	switch {
	case count < 2 || 2*leases < count: // a group of one always has its leader
		return 0
	case 2*leases == count:
		return 0.5
	}
	return 1
}

// Leases returns the number of leases that this member holds, its own included.
func (s *State) Leases(at time.Time) int {
	if s.leasedTo(at) != s.self || !s.members.has(s.self) {
		return 0
	}
	leases := 1
	for name, until := range s.held {
		if at.Before(until) && s.members.has(name) {
			leases++
		}
	}
	return leases
}

// Members returns the number of members that the leases are compared with.
func (s *State) Members() int { return s.members.count() }
