package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// endLeases ends the sessions that were not heard of for a lease. The leases
// are in the order in which they end.
func (s *State) endLeases() {
	for first := s.leases.Front(); first != nil; first = s.leases.Front() {
		known := first.Value.(*session)
		if s.awake-known.heard < s.config.Lease {
			return
		}
		s.endLease(known)
	}
}

func (s *State) endLease(known *session) {
	held := known.held
	if held == nil {
		s.emit(EndSession{Session: known.id})
		s.forgetSession(known.id)
		return
	}
	ran := oriolebend.RanNo
	if !held.startedAt.IsZero() {
		ran = oriolebend.RanUnknown
	}
	s.refuseSession(known.id, message.Refusal{
		Attempt: held.reserve.Attempt,
		Reason:  oriolebend.ReasonLeaseEnded,
		Ran:     ran,
	})
	s.letGo(held)
}

// endLateStarts ends granted reservations whose work does not come although
// their sessions live, and decodes that found no room in time. The first
// would leave room idle for as long as their entry forgets them.
func (s *State) endLateStarts() {
	for _, r := range s.inOrder() {
		switch r.stage {
		case stageGranted:
			if s.now.Sub(r.from)-(s.paused-r.paused) > s.config.StartWithin {
				s.refuseWaiting(r, message.Refusal{Reason: oriolebend.ReasonLeaseEnded})
			}
		case stageArrived:
			if s.now.After(r.startBy) {
				s.refuseWaiting(r, message.Refusal{
					Reason:     oriolebend.ReasonNoMemory,
					RetryAfter: shortestRetry,
				})
			}
		}
	}
}

// letGo ends a reservation for its entry: what did not start is forgotten at
// once, what runs is cancelled and holds its room until the server confirms.
//
// A call that may run at most once runs on: to break it off would save
// nothing that it did already, and make its outcome uncertain for the service
// too. It keeps its slot until it ends.
func (s *State) letGo(r *reservation) {
	switch r.stage {
	case stageQueued, stageGranted, stageArrived:
		s.closed.add(s, r.reserve.Attempt, false)
		s.drop(r)
	case stageWorking, stagePrefilled:
		if r.reserve.Phase == message.PhaseCall && r.reserve.Once {
			return
		}
		s.cancel(r)
	}
}

// cancel has the server end a reservation's work.
func (s *State) cancel(r *reservation) {
	s.closed.add(s, r.reserve.Attempt, true)
	r.stage = stageCancelling
	r.cancelledAt = s.now
	s.askCancel(r)
}

func (s *State) askCancel(r *reservation) {
	r.askedAt = s.now
	s.count("cancel", "")
	s.emit(CancelWork{Attempt: r.reserve.Attempt})
}

// askCancelAgain repeats the cancellations that were not confirmed. One that
// was lost would leave memory held by work whose caller is gone.
func (s *State) askCancelAgain() {
	for _, r := range s.inOrder() {
		if r.stage == stageCancelling && s.now.Sub(r.askedAt) >= s.config.CancelRetry {
			s.askCancel(r)
		}
	}
}

// cancelled frees what the server confirmed as ended.
func (s *State) cancelled(e Cancelled) {
	r := s.attempts[e.Attempt]
	if r == nil || r.stage != stageCancelling || e.Failed {
		return
	}
	s.drop(r)
}

// drop frees all that a reservation holds.
func (s *State) drop(r *reservation) {
	switch r.stage {
	case stageOver:
		return
	case stageQueued:
		first := s.queue.next(s.now) == r
		s.queue.remove(r)
		s.queue.changed = s.queue.changed || first
	case stageArrived:
		s.removeArrived(r)
		s.memory.remove(r)
		s.queue.changed = true
	default:
		s.memory.remove(r)
		s.queue.changed = true
	}
	if r.computing && !r.startedAt.IsZero() {
		s.predict.prefillBroken(s.now)
	}
	r.stage = stageOver
	delete(s.attempts, r.reserve.Attempt)
	s.closed.ended(r.reserve.Attempt, s.now)
	if known := s.sessions[r.session]; known != nil && known.held == r {
		known.held = nil
	}
}
