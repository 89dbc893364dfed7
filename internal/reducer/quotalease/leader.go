package quotalease

import "time"

// reign is what a leader knows of the leases that were in force at its election.
type reign struct {
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

// unknownShare is the share that a new leader grants until it knows which leases are in force,
// if it has itself not been without a leader for a Lease. Then others seldom have been.
const unknownShare = 0.5

func (s *State) beginReign(at time.Time) {
	s.reign = reign{since: at, first: s.number, leasedTo: map[string]string{}}
	s.reign.holder = s.leasedShare(at) > 0
	s.candidateSince = time.Time{}
	if !s.Leaderless(at) {
		s.reign.share = unknownShare
	}
}

func (s *State) leaderShare(at time.Time) float64 {
	switch {
	case s.settled(at):
		return 1
	case s.reign.holder:
		return s.leasedShare(at)
	}
	return s.reign.share
}

func (r *reign) applyAnswer(e Answered) {
	if e.Answer.Number > r.first {
		r.leasedTo[e.From] = e.Answer.LeasedTo
	}
}

// settled reports whether too few leases can be in force for another holder to have a share.
func (s *State) settled(at time.Time) bool {
	if s.reign.done {
		return true
	}
	free := 0
	for _, name := range s.members.names {
		leasedTo, ended := s.reign.leasedTo[name]
		if name == s.self {
			leasedTo, ended = s.Holder(at), true
		}
		if ended && s.stopped(leasedTo) {
			free++
		}
	}
	s.reign.done = 2*(s.members.count()-free) < s.members.count() || at.Sub(s.reign.since) >= settleTimeout
	return s.reign.done
}

// stopped reports whether a candidate is known to grant under no lease.
func (s *State) stopped(name string) bool {
	_, answered := s.reign.leasedTo[name]
	return name == "" || name == s.self || answered
}
