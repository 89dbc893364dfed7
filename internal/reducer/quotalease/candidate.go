package quotalease

import "time"

// applyDue sends the requests of a candidate or of a new leader.
func (s *State) applyDue(at time.Time) []Effect {
	for number, a := range s.asks {
		if at.Sub(a.at) > Lease {
			delete(s.asks, number)
		}
	}
	if s.leader == s.self {
		if s.settled(at) {
			return nil
		}
		return s.askAll(at, true)
	}
	if !s.mayRequest(at) {
		return nil
	}
	if s.candidateSince.IsZero() {
		s.candidateSince = at
	}
	if s.Share(at) > 0 {
		s.candidateSince = at
	} else if at.Sub(s.candidateSince) >= candidacy {
		s.endCandidacy()
		s.pausedUntil = at.Add(candidacy)
		return nil
	}
	s.grant = lease{to: s.self, until: at.Add(Lease)}
	return s.askAll(at, false)
}

// mayRequest reports whether this member is a candidate. A holder does not give way to a lower
// name, so that a member that returns does not interrupt it.
func (s *State) mayRequest(at time.Time) bool {
	if !s.Leaderless(at) || at.Before(s.noGrantUntil) || !s.members.has(s.self) || s.Holder(at) != "" {
		return false
	}
	if s.Share(at) > 0 {
		return true
	}
	return !at.Before(s.pausedUntil) && (s.lowerAsked.IsZero() || at.Sub(s.lowerAsked) >= Lease)
}

func (s *State) askAll(at time.Time, leads bool) []Effect {
	var effects []Effect
	for _, to := range s.members.others(s.self) {
		s.number++
		s.asks[s.number] = ask{to: to, at: at}
		effects = append(effects, Ask{To: to, Number: s.number, Leads: leads, Members: s.members.count()})
	}
	return effects
}

// endCandidacy gives up the leases held and this member's own.
func (s *State) endCandidacy() {
	if s.grant.to == s.self {
		s.grant = lease{}
	}
	clear(s.held)
	s.candidateSince = time.Time{}
}

func (s *State) applyAsked(e Asked) Effect {
	s.members.note(e.At, e.Ask.Members)
	answer := Answer{Number: e.Ask.Number}
	switch {
	case e.Ask.Leads:
		s.leaderAsked = e.At // this member may not know yet that the sender leads
		s.endCandidacy()
	case s.Leaderless(e.At) && !e.At.Before(s.noGrantUntil):
		answer.Granted = s.grantLease(e)
	}
	answer.LeasedTo, answer.Members = s.leasedTo(e.At), s.members.count()
	return answer
}

// grantLease grants the lease of this member to a candidate, unless another one has it.
func (s *State) grantLease(e Asked) bool {
	if e.From < s.self {
		s.lowerAsked = e.At
		if s.leasedTo(e.At) == s.self && s.Share(e.At) == 0 {
			s.endCandidacy()
		}
	}
	if to := s.leasedTo(e.At); to != "" && to != e.From {
		return false
	}
	s.grant = lease{to: e.From, until: e.At.Add(Lease)}
	return true
}

func (s *State) applyAnswered(e Answered) {
	s.members.note(e.At, e.Answer.Members)
	asked, found := s.asks[e.Answer.Number]
	if !found || asked.to != e.From {
		return
	}
	delete(s.asks, e.Answer.Number)
	if s.leader == s.self {
		s.election.applyAnswer(e)
		return
	}
	if e.Answer.Granted && s.leasedTo(e.At) == s.self {
		s.held[e.From] = asked.at.Add(Lease)
	}
}
