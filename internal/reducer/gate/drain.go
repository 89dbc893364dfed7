package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// drain is what the operators declared and what was told of it.
type drain struct {
	// declared is the declared state; empty until it is known.
	declared oriolebend.ServerState
	stopping bool
	// announced is the state that control was told last.
	announced oriolebend.ServerState
	// told is true once Drained was emitted for this drain.
	told bool
}

// state says whether new work is taken, and if not, why.
func (s *State) state() oriolebend.ServerState {
	switch {
	case s.draining():
		return oriolebend.ServerLeaving
	case !s.ready() || s.drain.declared == oriolebend.ServerLoading || s.undeclared():
		return oriolebend.ServerLoading
	default:
		return oriolebend.ServerServing
	}
}

// draining reports whether the server is to end its work and take no more.
func (s *State) draining() bool {
	d := s.drain
	switch d.declared {
	case oriolebend.ServerLeaving, oriolebend.ServerStopping, oriolebend.ServerGone:
		return true
	default:
		return d.stopping
	}
}

// undeclared reports whether the gate still waits for its declared state. A
// gate that restarts beside a leaving server would otherwise take new work
// until control tells it again.
func (s *State) undeclared() bool {
	return s.drain.declared == "" && s.now.Sub(s.started) < s.config.DeclaredWithin
}

func (s *State) declared(e Declared) {
	s.drain.declared = e.State
	s.refuseQueued()
}

func (s *State) stopping() {
	s.drain.stopping = true
	// A server that had left before is told to be drained once more: the
	// process that stops waits for it.
	s.drain.told = false
	s.refuseQueued()
}

// refuseQueued sends what waits elsewhere once no new work is taken. What was
// granted is in progress for its entry and may still start.
func (s *State) refuseQueued() {
	reason := oriolebend.ReasonLeaving
	switch {
	case s.draining():
	case s.drain.declared == oriolebend.ServerLoading:
		reason = oriolebend.ReasonLoading
	default:
		return
	}
	for _, r := range s.queue.all() {
		s.refuseWaiting(r, message.Refusal{Reason: reason, RetryAfter: shortestRetry})
	}
}

// announce tells control of a new state, and that a drain is at its end.
func (s *State) announce() {
	state := s.state()
	if state != s.drain.announced {
		s.drain.announced = state
		s.emit(Announce{State: state})
	}
	if !s.draining() && s.drain.declared != oriolebend.ServerLoading {
		s.drain.told = false
		return
	}
	if !s.drain.told && s.idle() {
		s.drain.told = true
		s.emit(Drained{})
	}
}

// idle reports whether no work is left, nor any that was not listed yet.
//
// An engine that is lost can't list its work, and may never come back: a
// server that leaves, or a process that stops, would wait for it until it is
// killed. No entry waits for that work any more; what still runs then is found
// by the next gate's first list. A role change waits for the list: it must not
// meet work in an engine that was only frozen.
func (s *State) idle() bool {
	unlisted := s.engine.known && !s.engine.listed
	if s.engine.lost && s.draining() {
		unlisted = false
	}
	return !unlisted && len(s.attempts) == 0 && len(s.status) == 0
}
