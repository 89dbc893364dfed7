package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// restart is what a member that has just started knows of the others' starts.
//
// A member that starts again may have granted a lease a moment before it ended, and gives no
// vote until that is over. Where every voter has started again no lease can run: its holder
// has forgotten that it led. After a power loss of everything the group is without a leader
// for the time of a lease less, in which no request is answered.
type restart struct {
	// fresh is set until the member follows, votes or stands for election.
	fresh bool
	// askDue is when the others are asked next.
	askDue uint64
	// told holds the answers of the voters that are fresh too.
	told map[string]message.VoteAnswer
	// standDue is when the member stands for election, once all voters are fresh; zero
	// before that.
	standDue uint64
}

// restartTicked asks the other voters whether they have just started too, and stands for
// election once all have.
func (s *State) restartTicked() {
	if !s.restart.fresh || !s.loyal() || !s.mayCampaign() {
		return
	}
	if s.restart.standDue != 0 && s.now >= s.restart.standDue {
		s.stand()
		return
	}
	if s.now >= s.restart.askDue {
		s.restart.askDue = s.now + s.Config.PreVoteTicks
		part := s.part()
		part.Term++
		s.askVotes(message.Vote{Agreement: part, Pre: true}, afterNothing)
	}
}

// startTold takes in that another voter is fresh. The members that the two know must be the
// same: a voter that one of them does not know of might lead.
func (s *State) startTold(m message.VoteAnswer) {
	if !s.restart.fresh || m.Term != s.Hard.Term+1 || m.MembersIndex != s.MembersIndex {
		return
	}
	if s.restart.told == nil {
		s.restart.told = map[string]message.VoteAnswer{}
	}
	s.restart.told[m.From] = m
	if s.restart.standDue == 0 && s.allFresh() {
		// One after the other, so that votes are not split.
		s.restart.standDue = s.now + s.rank()*s.Config.PreVoteTicks
		s.restartTicked()
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
		answer, told := s.restart.told[m.Name]
		if !told {
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

// rank is the member's place among the voters by their names.
func (s *State) rank() uint64 {
	rank := uint64(0)
	for _, m := range s.Members {
		if m.Voter && m.Name < s.Config.Name {
			rank++
		}
	}
	return rank
}

// stand stands for election without waiting for a lease.
func (s *State) stand() {
	starts := map[string]uint64{}
	for name, answer := range s.restart.told {
		starts[name] = answer.Start
	}
	s.campaign(message.Vote{Starts: starts})
}

// startOf is the start of a member that is fresh, zero of one that is not.
func (s *State) startOf() uint64 {
	if !s.restart.fresh {
		return 0
	}
	return s.Config.Start
}

// waived reports whether a vote need not wait for a lease that this member may have granted
// before it started. A candidate that learnt of an earlier start of this member knows nothing
// of what happened since.
func (s *State) waived(m message.Vote) bool {
	start := s.startOf()
	return start != 0 && m.Starts[s.Config.Name] == start
}
