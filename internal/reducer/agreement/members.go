package agreement

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// adoptMembers finds the members that the log and snapshot tell of.
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

// changeAsked appends a change of members, one at a time.
func (s *State) changeAsked(e ChangeAsked) {
	if s.Role != Leader {
		s.refuseNotLeader(e.ID)
		return
	}
	if e.Action == ChangeRemove && e.Member.Name == s.Config.Name && s.voters() > 1 {
		s.removeLater(e.ID)
		return
	}
	if refused, ok := s.checkChange(e); !ok {
		refused.ID = e.ID
		refused.Ran = oriolebend.RanNo
		s.emit(refused)
		return
	}
	members := s.changed(e)
	index := s.appendNew(message.LogEntry{Type: message.EntryMembers, Members: members})
	s.lead.waiting[index] = e.ID
}

// removeLater hands leadership over, so that the next leader can remove this
// member.
//
// A leader that removed itself and died before the others had the entry would
// leave a group that can elect nobody: it holds the longest log and may no
// longer stand, the others may stand and lack the entry.
func (s *State) removeLater(id uint64) {
	s.emit(Refused{
		ID:         id,
		Reason:     oriolebend.ReasonNotLeader,
		Ran:        oriolebend.RanNo,
		Detail:     "this control VM hands leadership over before it is removed",
		RetryAfter: retryLeader,
	})
	s.transferAsked()
}

// changed returns the members after a change. A change that is in force
// already leaves them as they are, so that it can be asked again.
func (s *State) changed(e ChangeAsked) []message.Member {
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

// checkChange tells why a change can't be made now.
func (s *State) checkChange(e ChangeAsked) (Refused, bool) {
	_, exists := s.Member(e.Member.Name)
	switch {
	case !s.settled() || s.MembersIndex > s.Commit:
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

// removable tells whether the group can lose a member: what is left must have
// a quorum that answers now, or nothing could be agreed ever again.
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
		if m.Voter && m.Name != name && s.mayElect(m.Name) {
			active++
		}
	}
	return active >= left/2+1
}

// Active tells, on a leader, whether a member answered within the lease.
func (s *State) Active(name string) bool {
	if name == s.Config.Name {
		return true
	}
	p := s.lead.progress[name]
	return p != nil && p.acked && s.now < p.ackTick+s.Config.LeaseTicks
}

// mayElect tells whether a member answers and grants votes.
func (s *State) mayElect(name string) bool {
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

// promote lets a member vote that has caught up: it has synced all that is
// committed, and would grant votes itself. A voter that grants none could be
// the one that the next election needs.
//
// Were it to vote from the start, the loss of one more member while it still
// catches up would leave the group without a quorum that holds the log.
func (s *State) promote(name string, p *progress) {
	m, ok := s.Member(name)
	if !ok || m.Voter || !s.settled() || s.MembersIndex > s.Commit || p.match < s.Commit {
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
