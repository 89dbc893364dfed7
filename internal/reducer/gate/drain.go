package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// drain holds the declared and the reported state of the server.
type drain struct {
	// declared is the declared state. It is empty until it is known.
	declared oriolebend.ServerState
	stopping bool
	// announced is the state that was last reported to the control VMs.
	announced oriolebend.ServerState
	// drainedSent is true once Drained was emitted for this drain.
	drainedSent bool
}

// serverState returns whether new work is accepted, and if not, why.
func (s *State) serverState() oriolebend.ServerState {
	switch {
	case s.draining():
		return oriolebend.ServerLeaving
	case !s.ready() || s.drain.declared == oriolebend.ServerLoading || s.awaitsDeclaredState():
		return oriolebend.ServerLoading
	default:
		return oriolebend.ServerServing
	}
}

// draining reports whether the server is to complete its work and accept no
// more.
func (s *State) draining() bool {
	d := s.drain
	switch d.declared {
	case oriolebend.ServerLeaving, oriolebend.ServerStopping, oriolebend.ServerGone:
		return true
	default:
		return d.stopping
	}
}

// awaitsDeclaredState reports whether the gate still waits for its declared
// state. Without this wait, a gate that restarts in front of a leaving server
// would accept new work until the control VMs report the state again.
func (s *State) awaitsDeclaredState() bool {
	return s.drain.declared == "" && s.now.Sub(s.started) < s.config.DeclaredWithin
}

func (s *State) handleDeclared(e Declared) {
	s.drain.declared = e.State
	s.refuseQueued()
}

func (s *State) handleStopping() {
	s.drain.stopping = true
	// Drained is emitted again for a server that had left before, because the
	// stopping process waits for it.
	s.drain.drainedSent = false
	s.refuseQueued()
}

// refuseQueued refuses the waiting reservations once no new work is accepted,
// so that their entries try other servers. Granted reservations are in progress
// for their entries and may still start.
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
		s.refuseUnstarted(r, message.Refusal{Reason: reason, RetryAfter: minRetryAfter})
	}
}

// announceState reports a new state to the control VMs, and the end of a drain.
func (s *State) announceState() {
	state := s.serverState()
	if state != s.drain.announced {
		s.drain.announced = state
		s.emit(Announce{State: state})
	}
	if !s.draining() && s.drain.declared != oriolebend.ServerLoading {
		s.drain.drainedSent = false
		return
	}
	if !s.drain.drainedSent && s.idle() {
		s.drain.drainedSent = true
		s.emit(Drained{})
	}
}

// idle reports whether no work is left, including work that was not listed yet.
//
// A lost engine can't list its work and may never answer again. A leaving
// server or a stopping process would wait for that list until it is killed. No
// entry waits for that work any more, and the next gate's first list shows what
// still runs. A role change does wait for the list, because it must not meet
// work in an engine that was only frozen.
func (s *State) idle() bool {
	unlisted := s.engine.known && !s.engine.workListed
	if s.engine.lost && s.draining() {
		unlisted = false
	}
	return !unlisted && len(s.attempts) == 0 && len(s.statusQueries) == 0
}
