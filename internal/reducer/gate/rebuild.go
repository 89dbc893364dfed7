package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// maxPendingLists bounds the ListWork effects that are not answered yet.
	maxPendingLists = 4
	// lostAfterPeriods is the number of ListEvery periods since the latest
	// ListWork after which the oldest of maxPendingLists counts as lost.
	lostAfterPeriods = 10
)

// handleEngineKnown applies what the engine reports of itself. After the gate's
// own start, and after the engine was unreachable or restarted, the gate grants
// nothing until it has read the engine's list of work.
func (s *State) handleEngineKnown(e EngineKnown) {
	previous := s.engine
	restarted := previous.known && previous.info.Incarnation != e.Info.Incarnation
	if restarted {
		s.failAll(oriolebend.ReasonServerLost)
	}
	s.engine.known = true
	s.engine.lost = false
	s.engine.info = e.Info
	if previous.info.Role != e.Info.Role {
		s.limit = s.initialLimit()
	}
	if !previous.known || previous.lost || restarted {
		s.rebuild()
	}
	s.refuseMismatched()
	s.queue.changed = true
}

// rebuild reads the engine's work and cache.
func (s *State) rebuild() {
	if s.engine.info.Role == oriolebend.Service {
		s.engine.workListed = true
		return
	}
	s.engine.workListed = false
	s.engine.staleLists = len(s.engine.pendingLists)
	s.listWork()
	s.resetCache()
}

// refuseMismatched refuses reservations that have not started and whose model
// the engine no longer holds.
func (s *State) refuseMismatched() {
	unstarted := s.queue.all()
	for _, r := range s.heldReservations() {
		if r.stage == stageGranted || r.stage == stageArrived {
			unstarted = append(unstarted, r)
		}
	}
	for _, r := range unstarted {
		if reason := s.mismatchReason(r.reserve); reason != "" {
			s.refuseUnstarted(r, message.Refusal{Reason: reason})
		}
	}
}

// handleEngineLost ends all reservations. Nothing can be started, and whether
// started work still runs is learned from the work list once the engine
// answers.
func (s *State) handleEngineLost() {
	s.engine.pendingLists = nil
	s.engine.staleLists = 0
	if s.engine.lost {
		return
	}
	s.engine.lost = true
	s.engine.workListed = false
	for _, r := range s.queue.all() {
		s.refuseUnstarted(r, message.Refusal{
			Reason:     oriolebend.ReasonServerLost,
			RetryAfter: s.config.ListEvery,
		})
	}
	s.failAll(oriolebend.ReasonServerLost)
}

// failAll ends every reservation that holds capacity.
func (s *State) failAll(reason oriolebend.Reason) {
	for _, r := range s.heldReservations() {
		if !r.atServer() {
			s.refuseUnstarted(r, message.Refusal{Reason: reason})
			continue
		}
		s.closed.add(s, r.reserve.Attempt, true)
		id := r.session
		s.free(r)
		if id == "" {
			continue
		}
		s.refuseSession(id, message.Refusal{
			Attempt: r.reserve.Attempt,
			Reason:  reason,
			Ran:     oriolebend.RanUnknown,
		})
	}
}

// listWorkIfDue reads the engine's work periodically.
func (s *State) listWorkIfDue() {
	if !s.engine.known || s.engine.lost || s.engine.info.Role == oriolebend.Service {
		return
	}
	since := s.now.Sub(s.engine.lastListAt)
	if len(s.engine.pendingLists) >= maxPendingLists {
		if since < lostAfterPeriods*s.config.ListEvery {
			return
		}
		s.popPendingList()
	}
	every := s.config.ListEvery
	if !s.engine.workListed {
		every = s.config.CancelRetry
	}
	if since >= every {
		s.listWork()
	}
}

// popPendingList removes the oldest unanswered ListWork and returns when it was
// emitted, and whether its answer counts. If an answer was lost, the next
// answer is attributed to the lost request. A list is then taken for older than
// it is, never for newer, and what ended in the meantime is left to the next
// list.
func (s *State) popPendingList() (requestedAt time.Time, counts bool) {
	e := &s.engine
	if len(e.pendingLists) > 0 {
		requestedAt = e.pendingLists[0]
		e.pendingLists = e.pendingLists[1:]
	}
	if e.staleLists > 0 {
		e.staleLists--
		return requestedAt, false
	}
	return requestedAt, e.known && !e.lost
}

func (s *State) listWork() {
	s.engine.pendingLists = append(s.engine.pendingLists, s.now)
	s.engine.lastListAt = s.now
	s.emit(ListWork{})
}

// handleWorkListed compares the engine's work with the reservations. Work that
// no reservation owns is cancelled at once: no session survives a restart of
// the gate, and its entry may no longer exist. The capacity of work that the
// gate cancelled and that the engine no longer lists is free.
func (s *State) handleWorkListed(e WorkListed) {
	requestedAt, counts := s.popPendingList()
	if !counts || e.Failed {
		return
	}
	listed := map[message.Attempt]bool{}
	for _, w := range e.Work {
		listed[w.Attempt] = true
		s.cancelUnowned(w, requestedAt)
	}
	for _, r := range s.heldReservations() {
		if r.stage != stageCancelling || listed[r.reserve.Attempt] {
			continue
		}
		if r.cancelledAt.Before(requestedAt) {
			s.count("cancelledByList", "")
			s.free(r)
		}
	}
	s.engine.workListed = true
	s.queue.changed = true
}

// cancelUnowned cancels work that no reservation owns. The list may have been
// read before an attempt ended, so an attempt that ended since the request is
// left to the next list. This does not apply to the first list of an engine
// that was unreachable, whose work was given up and may still run.
func (s *State) cancelUnowned(w engine.Work, requestedAt time.Time) {
	if s.attempts[w.Attempt] != nil {
		return
	}
	record, found := s.closed.find(w.Attempt)
	if found && s.engine.workListed && !record.endedAt.Before(requestedAt) {
		return
	}
	s.lastSequence++
	r := &reservation{
		sequence:  s.lastSequence,
		reserve:   message.Reserve{Attempt: w.Attempt, Phase: w.Phase},
		stage:     stageCancelling,
		tokens:    w.Tokens,
		heldFrom:  s.now,
		startedAt: s.now,
	}
	s.attempts[w.Attempt] = r
	s.memory.add(r)
	s.count("unowned", "")
	s.cancel(r)
}

// handleLoadReported uses the engine's lagging report only to detect work that
// the gate does not know of. The gate's own sums take precedence.
func (s *State) handleLoadReported(e LoadReported) {
	used := e.Report.TotalTokens - e.Report.FreeTokens
	if used <= s.usedTokens() || len(s.engine.pendingLists) > 0 {
		return
	}
	if s.now.Sub(s.engine.lastListAt) >= s.config.RepairEvery && s.ready() {
		s.listWork()
	}
}
