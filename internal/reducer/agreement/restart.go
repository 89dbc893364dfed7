package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// restart tracks which voters, like this member, have just restarted.
//
// A member that restarts may have granted a lease just before it crashed, and grants no vote
// until that lease has expired. If every voter has restarted, no lease can be in force, because
// its holder has lost its leadership too. After a power loss of all members, detecting this
// shortens the time without a leader, in which no request is answered, by the length of a lease.
type restart struct {
	// fresh is true until the member follows a leader, grants a vote or stands for election.
	fresh bool
	// requestDue is the tick at which the other voters are asked next.
	requestDue uint64
	// answers holds the answers of the voters that are fresh too.
	answers map[string]message.VoteAnswer
	// campaignDue is the tick at which the member stands for election. It is zero until all
	// voters are known to be fresh.
	campaignDue uint64
}

// tickRestart asks the other voters whether they are fresh too, and stands for election once all
// are.
func (s *State) tickRestart() {
	if !s.restart.fresh || !s.inLease() || !s.mayCampaign() {
		return
	}
	if s.restart.campaignDue != 0 && s.now >= s.restart.campaignDue {
		s.campaignAfterRestart()
		return
	}
	if s.now >= s.restart.requestDue {
		s.restart.requestDue = s.now + s.Config.PreVoteTicks
		header := s.header()
		header.Term++
		s.requestVotes(message.Vote{Agreement: header, Pre: true}, afterNothing)
	}
}

// handleFreshVoter records the answer of another voter that is fresh. Both must know the same
// members: a voter that is missing from the members of one of them might lead.
func (s *State) handleFreshVoter(m message.VoteAnswer) {
	if !s.restart.fresh || m.Term != s.Hard.Term+1 || m.MembersIndex != s.MembersIndex {
		return
	}
	if s.restart.answers == nil {
		s.restart.answers = map[string]message.VoteAnswer{}
	}
	s.restart.answers[m.From] = m
	if s.restart.campaignDue == 0 && s.allFresh() {
		// The voters stand one after another, so that votes are not split.
		s.restart.campaignDue = s.now + s.rank()*s.Config.PreVoteTicks
		s.tickRestart()
	}
}

// allFresh reports whether all other voters are fresh, and enough of them would vote for this
// member.
func (s *State) allFresh() bool {
	would := 1
	for _, m := range s.Members {
		if !m.Voter || m.Name == s.Config.Name {
			continue
		}
		answer, answered := s.restart.answers[m.Name]
		if !answered {
			return false
		}
		if answer.Would {
			would++
		}
	}
	if s.founding() {
		return would == s.voters()
	}
	return would >= s.quorum()
}

// rank is the position of the member among the voters, ordered by name.
func (s *State) rank() uint64 {
	rank := uint64(0)
	for _, m := range s.Members {
		if m.Voter && m.Name < s.Config.Name {
			rank++
		}
	}
	return rank
}

// campaignAfterRestart stands for election without waiting for a lease.
func (s *State) campaignAfterRestart() {
	starts := map[string]uint64{}
	for name, answer := range s.restart.answers {
		starts[name] = answer.Start
	}
	s.campaign(message.Vote{Starts: starts})
}

// freshStart returns Config.Start if the member is fresh, else zero.
func (s *State) freshStart() uint64 {
	if !s.restart.fresh {
		return 0
	}
	return s.Config.Start
}

// leaseWaived reports whether a vote need not wait for a lease that this member may have granted
// before it restarted. A candidate that received an earlier Start of this member knows nothing of
// what happened since then.
func (s *State) leaseWaived(m message.Vote) bool {
	start := s.freshStart()
	return start != 0 && m.Starts[s.Config.Name] == start
}
