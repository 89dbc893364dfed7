package agreement

import (
	"fmt"

	"github.com/oriolebend/oriolebend/internal/message"
)

// appendReceived takes a leader's entries.
func (s *State) appendReceived(m message.Append) {
	if !s.obey(m.From) {
		return
	}
	answer := message.AppendAnswer{Agreement: s.part(), PrevIndex: m.PrevIndex, Round: m.Round}
	answer.Recovering = s.recovering()
	if m.PrevIndex < s.Commit {
		answer.Accepted = true
		answer.Match = s.Commit
		s.send(m.From, answer, afterAll)
		return
	}
	if term, ok := s.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		answer.HintIndex, answer.HintTerm = s.hint(m.PrevIndex, m.PrevTerm)
		s.send(m.From, answer, afterHard)
		return
	}
	s.beginRecovery(m.Last, len(m.Entries) > 0)
	s.easeRecovery(m.Last)
	if !s.take(m.Entries) {
		return
	}
	answer.Recovering = s.recovering()
	answer.Accepted = true
	answer.Match = m.PrevIndex + uint64(len(m.Entries))
	s.Commit = max(s.Commit, min(m.Commit, answer.Match))
	if len(m.Entries) == 0 {
		// A heartbeat is answered at once, for what is durable by now: were it to
		// wait for the log, a slow disk here would cost the leader its lease.
		answer.Match = min(answer.Match, s.Synced)
		s.send(m.From, answer, afterHard)
		return
	}
	s.send(m.From, answer, afterAll)
}

// obey accepts the sender as the leader of the present term.
func (s *State) obey(leader string) bool {
	if s.Role == Leader {
		s.emit(Fatal{Detail: fmt.Sprintf("two leaders in term %d: %s and %s",
			s.Hard.Term, s.Config.Name, leader)})
		return false
	}
	s.follow(s.Hard.Term, leader)
	s.restart.fresh = false
	s.heard = s.now
	s.resetElection()
	if s.Hard.Vote == "" {
		s.Hard.Vote = leader
		s.changeHard()
	}
	return true
}

// beginRecovery notes how far a member with a new folder must catch up before
// it votes.
//
// A member that lost its folder may have been the second holder of a committed
// entry. If it voted before it holds the entry again, a candidate without the
// entry could win, and the entry would be lost though only one member at a
// time had failed.
func (s *State) beginRecovery(leaderLast uint64, growing bool) {
	if !s.empty() || !growing || leaderLast <= foundingIndex {
		return
	}
	s.Hard.RecoverTo = leaderLast
	s.changeHard()
}

// easeRecovery follows a leader whose log is shorter than the one that the
// recovery began with: a leader's log holds all that is committed.
func (s *State) easeRecovery(leaderLast uint64) {
	if s.Hard.RecoverTo > leaderLast {
		s.Hard.RecoverTo = leaderLast
		s.changeHard()
	}
}

// endRecovery lets the member vote again once it has caught up.
func (s *State) endRecovery() {
	if s.Hard.RecoverTo != 0 && !s.recovering() {
		s.Hard.RecoverTo = 0
		s.changeHard()
	}
}

// take appends what is new of the entries and replaces what differs.
func (s *State) take(entries []message.LogEntry) bool {
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

// hint returns the last index at or before prev whose term is not higher than
// prevTerm, and that term.
func (s *State) hint(prev, prevTerm uint64) (index, term uint64) {
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
