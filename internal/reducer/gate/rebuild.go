package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// mostLists bounds the ListWork that are out.
	mostLists = 4
	// listsLost is after how many periods the oldest of so many counts as
	// lost.
	listsLost = 10
)

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
		s.limit = s.freshLimit()
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
	s.engine.listsStale = len(s.engine.listsAsked)
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
	s.engine.listsAsked = nil
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
}

// askWork reads the engine's work from time to time.
func (s *State) askWork() {
	if !s.engine.known || s.engine.lost || s.engine.info.Role == oriolebend.Service {
		return
	}
	since := s.now.Sub(s.engine.listAskedAt)
	if len(s.engine.listsAsked) >= mostLists {
		if since < listsLost*s.config.ListEvery {
			return
		}
		s.listAnswered()
	}
	every := s.config.ListEvery
	if !s.engine.listed {
		every = s.config.CancelRetry
	}
	if since >= every {
		s.listWork()
	}
}

// listAnswered returns when the oldest ListWork went that is out, and whether
// its answer counts. If an answer was lost, the next counts as the one that
// was lost: a list is then taken for older than it is, never for newer, and
// what ended meanwhile is left to the next list.
func (s *State) listAnswered() (asked time.Time, counts bool) {
	e := &s.engine
	if len(e.listsAsked) > 0 {
		asked = e.listsAsked[0]
		e.listsAsked = e.listsAsked[1:]
	}
	if e.listsStale > 0 {
		e.listsStale--
		return asked, false
	}
	return asked, e.known && !e.lost
}

func (s *State) listWork() {
	s.engine.listsAsked = append(s.engine.listsAsked, s.now)
	s.engine.listAskedAt = s.now
	s.emit(ListWork{})
}

// workListed compares the engine's work with the reservations. Work that no
// reservation owns is cancelled at once: no session survives a restart of the
// gate, and its entry may be gone. What the gate cancelled and the engine no
// longer lists is free.
func (s *State) workListed(e WorkListed) {
	asked, counts := s.listAnswered()
	if !counts || e.Failed {
		return
	}
	listed := map[message.Attempt]bool{}
	for _, w := range e.Work {
		listed[w.Attempt] = true
		s.cancelUnowned(w, asked)
	}
	for _, r := range s.inOrder() {
		if r.stage != stageCancelling || listed[r.reserve.Attempt] {
			continue
		}
		if r.cancelledAt.Before(asked) {
			s.count("cancelledByList", "")
			s.drop(r)
		}
	}
	s.engine.listed = true
	s.queue.changed = true
}

// cancelUnowned cancels work that no reservation owns. The list may have been
// read before an attempt ended, so one that ended since is left to the next;
// but not in the first list of an engine that was away, whose work was given
// up and not ended.
func (s *State) cancelUnowned(w engine.Work, asked time.Time) {
	if s.attempts[w.Attempt] != nil {
		return
	}
	ended, found := s.closed.find(w.Attempt)
	if found && s.engine.listed && !ended.endedAt.Before(asked) {
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
	if used <= s.usedTokens() || len(s.engine.listsAsked) > 0 {
		return
	}
	if s.now.Sub(s.engine.listAskedAt) >= s.config.RepairEvery && s.ready() {
		s.listWork()
	}
}
