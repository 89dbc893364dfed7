package gate

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// listsLost is after how many periods an unanswered ListWork counts as lost.
const listsLost = 3

// engineKnown takes in what the engine is. After the gate's own start, and
// after the engine was away, the gate grants nothing before it has read what
// work the engine holds.
func (s *State) engineKnown(e EngineKnown) {
	before := s.engine
	restarted := before.known && before.info.Incarnation != e.Info.Incarnation
	if restarted {
		s.failAll(oriolebend.ReasonServerLost)
	}
	s.engine.known = true
	s.engine.lost = false
	s.engine.info = e.Info
	if before.info.Role != e.Info.Role {
		s.limit = newLimit(s.mostSlots())
	}
	if !before.known || before.lost || restarted {
		s.rebuild()
	}
	s.refuseMismatched()
	s.queue.changed = true
}

// rebuild reads the engine's work and cache.
func (s *State) rebuild() {
	if s.engine.info.Role == oriolebend.Service {
		s.engine.listed = true
		return
	}
	s.engine.listed = false
	s.engine.listsStale = s.engine.listsOut
	s.listWork()
	s.resetCache()
}

// refuseMismatched refuses what waits for a model that the engine no longer
// holds.
func (s *State) refuseMismatched() {
	waiting := s.queue.all()
	for _, r := range s.inOrder() {
		if r.stage == stageGranted || r.stage == stageArrived {
			waiting = append(waiting, r)
		}
	}
	for _, r := range waiting {
		if reason := s.mismatch(r.reserve); reason != "" {
			s.refuseWaiting(r, message.Refusal{Reason: reason})
		}
	}
}

// engineLost ends everything: nothing can be started, and whether what was
// started still runs is found out from the work list once the engine answers.
func (s *State) engineLost() {
	s.engine.listsOut = 0
	s.engine.listsStale = 0
	if s.engine.lost {
		return
	}
	s.engine.lost = true
	s.engine.listed = false
	for _, r := range s.queue.all() {
		s.refuseWaiting(r, message.Refusal{
			Reason:     oriolebend.ReasonServerLost,
			RetryAfter: s.config.ListEvery,
		})
	}
	s.failAll(oriolebend.ReasonServerLost)
}

// failAll ends every reservation that has room.
func (s *State) failAll(reason oriolebend.Reason) {
	for _, r := range s.inOrder() {
		if !r.atServer() {
			s.refuseWaiting(r, message.Refusal{Reason: reason})
			continue
		}
		s.closed.add(s, r.reserve.Attempt, true)
		id := r.session
		s.drop(r)
		if id == "" {
			continue
		}
		s.refuseSession(id, message.Refusal{
			Attempt: r.reserve.Attempt,
			Reason:  reason,
			Ran:     oriolebend.RanUnknown,
		})
	}
	s.predict.running = 0
}

// askWork reads the engine's work from time to time.
func (s *State) askWork() {
	if !s.engine.known || s.engine.lost || s.engine.info.Role == oriolebend.Service {
		return
	}
	since := s.now.Sub(s.engine.listAskedAt)
	if s.engine.listsOut > 0 && since < listsLost*s.config.ListEvery {
		return
	}
	if since >= s.config.ListEvery {
		s.engine.listsOut = 0
		s.engine.listsStale = 0
		s.listWork()
	}
}

func (s *State) listWork() {
	s.engine.listsOut++
	s.engine.listAskedAt = s.now
	s.emit(ListWork{})
}

// workListed compares the engine's work with the reservations. Work that no
// reservation owns is cancelled at once: no session survives a restart of the
// gate, and its entry may be gone. What the gate cancelled and the engine no
// longer lists is free.
func (s *State) workListed(e WorkListed) {
	s.engine.listsOut = max(s.engine.listsOut-1, 0)
	if s.engine.listsStale > 0 {
		s.engine.listsStale--
		return
	}
	if !s.engine.known || s.engine.lost {
		return
	}
	listed := map[message.Attempt]bool{}
	for _, w := range e.Work {
		listed[w.Attempt] = true
		s.cancelUnowned(w)
	}
	for _, r := range s.inOrder() {
		if r.stage != stageCancelling || listed[r.reserve.Attempt] {
			continue
		}
		if r.cancelledAt.Before(s.engine.listAskedAt) {
			s.count("cancelledByList", "")
			s.drop(r)
		}
	}
	s.engine.listed = true
	s.queue.changed = true
}

// cancelUnowned cancels work that no reservation owns. The list may have been
// read before an attempt ended, so one that ended since is left to the next.
func (s *State) cancelUnowned(w engine.Work) {
	if s.attempts[w.Attempt] != nil {
		return
	}
	if ended, found := s.closed.find(w.Attempt); found && !ended.endedAt.Before(s.engine.listAskedAt) {
		return
	}
	s.orders++
	r := &reservation{
		order:     s.orders,
		reserve:   message.Reserve{Attempt: w.Attempt, Phase: w.Phase},
		stage:     stageCancelling,
		tokens:    w.Tokens,
		from:      s.now,
		startedAt: s.now,
	}
	s.attempts[w.Attempt] = r
	s.memory.add(r)
	s.count("unowned", "")
	s.cancel(r)
}

// loadReported uses the engine's lagging report only to look for work that
// the gate does not know of; the gate's own sums come first.
func (s *State) loadReported(e LoadReported) {
	used := e.Report.TotalTokens - e.Report.FreeTokens
	if used <= s.usedTokens() || s.engine.listsOut > 0 {
		return
	}
	if s.now.Sub(s.engine.listAskedAt) >= s.config.RepairEvery && s.ready() {
		s.listWork()
	}
}
