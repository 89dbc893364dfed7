package agreement

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// adoptMembers sets the members from the last EntryMembers in the log, else from the snapshot,
// else from the founders.
func (s *State) adoptMembers() {
	for i := s.log.last(); i > s.log.base; i-- {
		e := s.log.at(i)
		if e.Type == message.EntryMembers {
			s.Members, s.MembersIndex = e.Members, i
			return
		}
	}
	if s.Snapshot.Index > 0 {
		s.Members, s.MembersIndex = s.Snapshot.Members, s.Snapshot.Index
		return
	}
	s.Members, s.MembersIndex = s.Config.Founders, 0
}

// handleChange appends a membership change, or refuses it.
func (s *State) handleChange(e ChangeRequested) {
	if s.Role != Leader {
		s.refuseNotLeader(e.ID)
		return
	}
	if e.Action == ChangeRemove && e.Member.Name == s.Config.Name && s.voters() > 1 {
		s.transferBeforeRemoval(e.ID)
		return
	}
	if refused, ok := s.checkChange(e); !ok {
		refused.ID = e.ID
		refused.Ran = oriolebend.RanNo
		s.emit(refused)
		return
	}
	members := s.membersAfter(e)
	index := s.appendNew(message.LogEntry{Type: message.EntryMembers, Members: members})
	s.lead.waiting[index] = e.ID
}

// transferBeforeRemoval transfers leadership, so that the next leader can remove this member.
//
// If a leader removed itself and crashed before the others had the entry, the group could not
// elect a leader: this member would have the longest log and could no longer stand for election,
// and the others could stand but would lack the entry.
func (s *State) transferBeforeRemoval(id uint64) {
	s.emit(Refused{
		ID:         id,
		Reason:     oriolebend.ReasonNotLeader,
		Ran:        oriolebend.RanNo,
		Detail:     "this control VM hands leadership over before it is removed",
		RetryAfter: retryLeader,
	})
	s.handleTransfer()
}

// membersAfter returns the members after a change. A change that is already in force leaves them
// as they are, so that a request can be repeated.
func (s *State) membersAfter(e ChangeRequested) []message.Member {
	members := slices.Clone(s.Members)
	at := slices.IndexFunc(members, func(m message.Member) bool { return m.Name == e.Member.Name })
	switch {
	case e.Action == ChangeRemove && at >= 0:
		return slices.Delete(members, at, at+1)
	case e.Action == ChangeAdd && at >= 0:
		e.Member.Voter = members[at].Voter
		members[at] = e.Member
	case e.Action == ChangeAdd:
		e.Member.Voter = false
		members = append(members, e.Member)
	}
	return members
}

// checkChange returns the reason why a change is not possible now, and false, or true if it is
// possible.
func (s *State) checkChange(e ChangeRequested) (Refused, bool) {
	_, exists := s.Member(e.Member.Name)
	switch {
	case !s.commitIsCurrent() || s.MembersIndex > s.Commit:
		return Refused{
			Reason:     oriolebend.ReasonRevisionRace,
			Detail:     "another change of members is under way",
			RetryAfter: retryLeader,
		}, false
	case e.Member.Name == "" || (e.Action == ChangeAdd && e.Member.Address == ""):
		return invalidChange("a member needs a name and an address"), false
	case e.Action == ChangeAdd && !exists && len(s.Members) >= MaxMembers:
		return invalidChange("the group has as many members as it may have"), false
	case e.Action == ChangeRemove && !s.removable(e.Member.Name):
		return invalidChange("the rest would be too few, or have no quorum that answers"), false
	case e.Action != ChangeAdd && e.Action != ChangeRemove:
		return invalidChange("no such change"), false
	}
	return Refused{}, true
}

func invalidChange(detail string) Refused {
	return Refused{Reason: oriolebend.ReasonInvalidResource, Detail: detail}
}

// removable reports whether the group can lose a member: the remaining voters must include a
// quorum that answers now, or nothing could ever be agreed again.
func (s *State) removable(name string) bool {
	if !s.isVoter(name) {
		return true
	}
	left := s.voters() - 1
	if left < 1 || (left < MinVoters && s.voters() >= MinVoters) {
		return false
	}
	active := 0
	for _, m := range s.Members {
		if m.Voter && m.Name != name && s.mayGrantVotes(m.Name) {
			active++
		}
	}
	return active >= left/2+1
}

// Active reports, on a leader, whether a member has answered within the lease.
func (s *State) Active(name string) bool {
	if name == s.Config.Name {
		return true
	}
	p := s.lead.progress[name]
	return p != nil && p.acked && s.now < p.ackTick+s.leaseTicks()
}

// mayGrantVotes reports whether a member answers and grants votes.
func (s *State) mayGrantVotes(name string) bool {
	p := s.lead.progress[name]
	return s.Active(name) && (p == nil || !p.recovering)
}

// Match returns, on a leader, the last index that a member has synced.
func (s *State) Match(name string) uint64 {
	if name == s.Config.Name {
		return s.Synced
	}
	if p := s.lead.progress[name]; p != nil {
		return p.match
	}
	return 0
}

// promote makes a member a voter once it has caught up: it has synced all committed entries, and
// would grant votes itself. A voter that grants none could be the one that the next election
// needs.
//
// If a new member voted from the start, the loss of one more member while it catches up would
// leave the group without a quorum that holds the log.
func (s *State) promote(name string, p *progress) {
	m, ok := s.Member(name)
	if !ok || m.Voter || !s.commitIsCurrent() || s.MembersIndex > s.Commit || p.match < s.Commit {
		return
	}
	if p.recovering {
		return
	}
	members := slices.Clone(s.Members)
	for i := range members {
		if members[i].Name == name {
			members[i].Voter = true
		}
	}
	s.appendNew(message.LogEntry{Type: message.EntryMembers, Members: members})
}
