package agreement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Delays after which a refused caller may retry.
const (
	// retryFull applies when the queue of proposals is full.
	retryFull = 100 * time.Millisecond
	// retryLeader applies when this member is not a leader that accepts requests.
	retryLeader = 500 * time.Millisecond
)

// handleProposals appends the commands that are admitted.
func (s *State) handleProposals(proposals []Proposal) {
	var entries []message.LogEntry
	index := s.log.last()
	bytes := s.unappliedBytes()
	for _, p := range proposals {
		if !s.admit(p, index-s.Applied, bytes) {
			continue
		}
		index++
		e := message.LogEntry{
			Index: index, Term: s.Hard.Term, Type: message.EntryCommand, Command: p.Command,
		}
		bytes += entryBytes(e)
		entries = append(entries, e)
		s.lead.waiting[index] = p.ID
	}
	s.appendEntries(entries...)
}

// admit reports whether a proposal can be appended now, and refuses it if not.
func (s *State) admit(p Proposal, unapplied uint64, bytes int) bool {
	refused := Refused{ID: p.ID, Ran: oriolebend.RanNo}
	switch {
	case !s.leads():
		s.refuseNotLeader(p.ID)
		return false
	case s.founding():
		refused.Reason = oriolebend.ReasonControlAway
		refused.Detail = "not every founding member has been heard of"
		refused.RetryAfter = retryLeader
	case s.lead.transferTo != "":
		refused.Reason = oriolebend.ReasonStopping
		refused.Detail = "leadership is being handed over"
		refused.RetryAfter = retryLeader
	case len(p.Command) > s.Config.MaxCommandBytes:
		refused.Reason = oriolebend.ReasonTooLarge
		refused.Detail = "the command is larger than an entry may be"
	case unapplied >= s.Config.MaxUnapplied || bytes >= s.Config.MaxUnappliedBytes:
		refused.Reason = oriolebend.ReasonQueueFull
		refused.Detail = "too many commands wait to be applied"
		refused.RetryAfter = retryFull
	default:
		return true
	}
	s.emit(refused)
	return false
}

func (s *State) unappliedBytes() int {
	size := 0
	for i := max(s.Applied, s.log.base) + 1; i <= s.log.last(); i++ {
		size += entryBytes(s.log.at(i))
	}
	return size
}

func (s *State) refuseNotLeader(id uint64) {
	s.emit(Refused{
		ID:         id,
		Reason:     oriolebend.ReasonNotLeader,
		Ran:        oriolebend.RanNo,
		Detail:     "this control VM does not lead",
		RetryAfter: retryLeader,
	})
}

// handleApplied records the last index that the state machine has applied.
func (s *State) handleApplied(index uint64) {
	s.Applied = max(s.Applied, index)
	s.answerReads()
}
