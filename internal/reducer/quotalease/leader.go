package quotalease

import "time"

// election is what a leader knows of the leases that were in force at its election.
type election struct {
	since time.Time
	// first is the number of the last request before the election.
	first uint64
	// share is the share granted until the leader has settled, unless it was the holder.
	share  float64
	holder bool
	// leasedTo maps the members that have ended their leases to the candidate that may still
	// rely on them.
	leasedTo map[string]string
	done     bool
}

// unknownShare is the share that a new leader grants until it knows which leases are in force. It
// grants nothing if it has itself been without a leader for a Lease, as others may then hold the
// whole.
const unknownShare = 0.5

func (s *State) beginLeading(at time.Time) {
	s.election = election{since: at, first: s.number, leasedTo: map[string]string{}}
	s.election.holder = s.leasedShare(at) > 0
	s.candidateSince = time.Time{}
	if !s.Leaderless(at) {
		s.election.share = unknownShare
	}
}

func (s *State) leaderShare(at time.Time) float64 {
	switch {
	case s.settled(at):
		return 1
	case s.election.holder:
		return s.leasedShare(at)
	}
	return s.election.share
}

func (l *election) applyAnswer(e Answered) {
	if e.Answer.Number > l.first {
		l.leasedTo[e.From] = e.Answer.LeasedTo
	}
}

// settled reports whether too few leases can be in force for another holder to have a share.
func (s *State) settled(at time.Time) bool {
	if s.election.done {
		return true
	}
	free := 0
	for _, name := range s.members.names {
		leasedTo, ended := s.election.leasedTo[name]
		if name == s.self {
			leasedTo, ended = s.Holder(at), true
		}
		if ended && s.stopped(leasedTo) {
			free++
		}
	}
	s.election.done = 2*(s.members.count()-free) < s.members.count() || at.Sub(s.election.since) >= settleTimeout
	return s.election.done
}

// stopped reports whether a candidate is known to grant under no lease.
func (s *State) stopped(name string) bool {
	_, answered := s.election.leasedTo[name]
	return name == "" || name == s.self || answered
}
