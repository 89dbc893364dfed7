package agreement

import (
	"github.com/oriolebend/oriolebend/internal/message"
)

// removeAway removes one member that is leaving, or has not answered for a while, if the group is
// better or as well off without it.
//
// A VM that is replaced at another address remains a voter until it is removed. In a group of three
// that has grown to four by its successor, the next loss then leaves no quorum for good. The decision
// is made from the members in the log and their answers only, so that each leader makes it alike.
func (s *State) removeAway() {
	if s.Config.MinVoters == 0 || !s.commitIsCurrent() || s.MembersIndex > s.Commit || s.lead.transferTo != "" {
		return
	}
	s.trackAway()
	surplus := s.awayVoterIsSurplus()
	for _, m := range s.Members {
		if m.Name != s.Config.Name && s.removeNow(m, surplus) {
			s.remove(m)
			return
		}
	}
}

// trackAway records since when each member has not answered.
func (s *State) trackAway() {
	for name, p := range s.lead.progress {
		switch {
		case s.Active(name):
			p.awaySince = 0
		case p.awaySince == 0:
			p.awaySince = s.now
		}
	}
}

// away reports whether a member is leaving or does not answer.
func (p *progress) away() bool { return p.leaving || p.awaySince != 0 }

// removeNow reports whether a member is to be removed now. surplus is the result of
// awayVoterIsSurplus.
func (s *State) removeNow(m message.Member, surplus bool) bool {
	p := s.lead.progress[m.Name]
	if !p.away() || (m.Voter && s.voters() <= s.Config.MinVoters) || !s.removable(m.Name) {
		return false
	}
	if m.Voter && surplus {
		return p.leaving || s.awayTicks(p) >= s.Config.RemoveSurplusTicks
	}
	return s.awayTicks(p) >= s.Config.RemoveTicks
}

// awayTicks returns for how long a member has not answered.
func (s *State) awayTicks(p *progress) uint64 {
	if p.awaySince == 0 {
		return 0
	}
	return s.now - p.awaySince
}

// awayVoterIsSurplus reports whether the group could bear more losses without voters that are away:
// one of four, for example, or two of five, but not one of five.
func (s *State) awayVoterIsSurplus() bool {
	away := 0
	for _, m := range s.Members {
		if p := s.lead.progress[m.Name]; m.Voter && p != nil && p.away() {
			away++
		}
	}
	voters := s.voters()
	for left := voters - 1; left >= max(voters-away, s.Config.MinVoters); left-- {
		if spareVoters(left, away-(voters-left)) > spareVoters(voters, away) {
			return true
		}
	}
	return false
}

// spareVoters returns how many more voters may be lost before a quorum is, negative if it is lost.
func spareVoters(voters, away int) int { return voters - away - (voters/2 + 1) }

// remove appends the removal of a member. The member receives the entry, too, so that a process that
// stops can end, and one that starts again knows that it has to join.
func (s *State) remove(m message.Member) {
	p := s.lead.progress[m.Name]
	s.emit(MemberRemoved{Member: m, Leaving: p.leaving, Away: s.awayTicks(p)})
	s.appendNew(message.LogEntry{
		Type:    message.EntryMembers,
		Members: s.membersAfter(ChangeRequested{Action: ChangeRemove, Member: m}),
	})
	if p.chunk == nil && !p.probing && p.next <= s.log.last() {
		s.sendEntries(m, p)
	}
}

// handleStop makes this member leave: a leader transfers its leadership, and the next leader removes
// this member if the group can bear more losses without it.
func (s *State) handleStop() {
	s.leaving = true
	s.handleTransfer()
}

// AwaitsRemoval reports whether a leader would remove this member, which is leaving, at once.
func (s *State) AwaitsRemoval() bool {
	if s.Config.MinVoters == 0 || !s.isVoter(s.Config.Name) {
		return false
	}
	voters := s.voters()
	return voters > s.Config.MinVoters && spareVoters(voters-1, 0) > spareVoters(voters, 1)
}
