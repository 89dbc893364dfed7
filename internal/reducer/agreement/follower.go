package agreement

import (
	"fmt"

	"github.com/oriolebend/oriolebend/internal/message"
)

// handleAppend handles entries or a heartbeat from a leader.
func (s *State) handleAppend(m message.Append) {
	if !s.acceptLeader(m.Agreement) {
		return
	}
	answer := message.AppendAnswer{Agreement: s.header(), PrevIndex: m.PrevIndex, Round: m.Round, Leaving: s.leaving}
	s.confirmLeader(m)
	answer.Recovering = s.incomplete(m.Last)
	if m.PrevIndex < s.Commit {
		answer.Accepted = true
		answer.Match = s.Commit
		s.send(m.From, answer, afterAll)
		return
	}
	if term, ok := s.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		answer.HintIndex, answer.HintTerm = s.conflictHint(m.PrevIndex, m.PrevTerm)
		s.send(m.From, answer, afterHardState)
		return
	}
	s.beginRecovery(m.Last, len(m.Entries) > 0)
	s.lowerRecovery(m.Last)
	if !s.storeEntries(m.Entries) {
		return
	}
	answer.Recovering = s.incomplete(m.Last)
	answer.Accepted = true
	answer.Match = m.PrevIndex + uint64(len(m.Entries))
	s.Commit = max(s.Commit, min(m.Commit, answer.Match))
	if len(m.Entries) == 0 {
		// A heartbeat is answered at once, with the last index that is already durable: if the
		// answer waited for the log, a slow disk here would make the lease of the leader expire.
		answer.Match = min(answer.Match, s.Synced)
		s.send(m.From, answer, afterHardState)
		return
	}
	s.send(m.From, answer, afterAll)
}

// acceptLeader accepts the sender of a message as the leader of the current term. If this member leads
// the term itself, it emits Fatal and returns false.
func (s *State) acceptLeader(header message.Agreement) bool {
	leader := header.From
	if s.Role == Leader {
		s.emit(Fatal{Detail: fmt.Sprintf("two leaders in term %d: %s and %s",
			s.Hard.Term, s.Config.Name, leader)})
		return false
	}
	s.becomeFollower(s.Hard.Term, leader)
	s.restart.fresh = false
	s.lastContact = s.now
	s.adoptTimeoutScale(header)
	s.resetElection()
	if s.Hard.Vote == "" {
		s.Hard.Vote = leader
		s.markHardStateDirty()
	}
	return true
}

// incomplete reports whether the member may lack what it held before it lost its data folder, given
// the last index of the leader's log.
func (s *State) incomplete(leaderLast uint64) bool {
	return s.recovering() || (s.empty() && leaderLast > foundingIndex)
}

// confirmLeader ends the wait of a recovering member for a leader that is certainly the newest.
//
// The member has forgotten the term in which it voted last. A leader that was replaced with that vote
// and stood still since then, together with its clock, could otherwise commit entries with it.
func (s *State) confirmLeader(m message.Append) {
	if !m.Confirmed || s.leaderConfirmed {
		return
	}
	s.leaderConfirmed = true
	s.endRecovery()
}

// beginRecovery records the index that a member with an empty log must reach before it votes.
//
// A member that lost its data folder may have been the second of two members that held a
// committed entry. If it voted before it holds the entry again, a candidate without the entry
// could win, and the entry would be lost although only one member at a time had failed.
func (s *State) beginRecovery(leaderLast uint64, growing bool) {
	if !s.empty() || !growing || leaderLast <= foundingIndex {
		return
	}
	s.Hard.RecoverTo = leaderLast
	s.markHardStateDirty()
}

// lowerRecovery lowers the recovery index to the end of the leader's log if the index is beyond that
// end: the log of a leader holds all committed entries.
func (s *State) lowerRecovery(leaderLast uint64) {
	if s.Hard.RecoverTo > leaderLast {
		s.Hard.RecoverTo = leaderLast
		s.markHardStateDirty()
	}
}

// endRecovery lets the member vote again once it has caught up.
func (s *State) endRecovery() {
	if s.Hard.RecoverTo != 0 && !s.recovering() {
		s.Hard.RecoverTo = 0
		s.markHardStateDirty()
	}
}

// storeEntries appends the entries that the log lacks and replaces those that differ. If a
// committed entry differs, it emits Fatal and returns false.
func (s *State) storeEntries(entries []message.LogEntry) bool {
	for i, e := range entries {
		term, ok := s.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if e.Index <= s.Commit {
				s.emit(Fatal{Detail: fmt.Sprintf(
					"entry %d is committed with term %d, the leader has term %d",
					e.Index, term, e.Term)})
				return false
			}
			s.truncateLog(e.Index)
		}
		s.appendEntries(entries[i:]...)
		return true
	}
	return true
}

// conflictHint returns the last index at or before prev whose term is not higher than prevTerm,
// and that term.
func (s *State) conflictHint(prev, prevTerm uint64) (index, term uint64) {
	index = min(prev, s.log.last())
	for index > s.log.base {
		term, _ = s.log.term(index)
		if term <= prevTerm {
			return index, term
		}
		index--
	}
	return s.log.base, s.log.baseTerm
}
