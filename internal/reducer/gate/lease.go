package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// expireLeases ends the sessions that were not renewed for the length of a
// lease. The leases are in the order in which they expire.
func (s *State) expireLeases() {
	for front := s.leases.Front(); front != nil; front = s.leases.Front() {
		sess := front.Value.(*session)
		if s.leaseClock-sess.renewedAt < s.config.Lease {
			return
		}
		s.expireLease(sess)
	}
}

func (s *State) expireLease(sess *session) {
	held := sess.reservation
	if held == nil {
		s.emit(EndSession{Session: sess.id})
		s.removeSession(sess.id)
		return
	}
	ran := oriolebend.RanNo
	if !held.startedAt.IsZero() {
		ran = oriolebend.RanUnknown
	}
	s.refuseSession(sess.id, message.Refusal{
		Attempt: held.reserve.Attempt,
		Reason:  oriolebend.ReasonLeaseEnded,
		Ran:     ran,
	})
	s.abandon(held)
}

// refuseLateStarts ends granted reservations whose work does not arrive
// although their sessions are alive, and decodes that found no capacity in
// time. A granted reservation that its entry has forgotten would otherwise keep
// its capacity idle for as long as the session lives.
func (s *State) refuseLateStarts() {
	for _, r := range s.heldReservations() {
		switch r.stage {
		case stageGranted:
			if s.now.Sub(r.heldFrom)-(s.paused-r.pausedAtGrant) > s.config.StartWithin {
				s.refuseUnstarted(r, message.Refusal{Reason: oriolebend.ReasonLeaseEnded})
			}
		case stageArrived:
			if s.now.After(r.startBy) {
				s.refuseUnstarted(r, message.Refusal{
					Reason:     oriolebend.ReasonNoMemory,
					RetryAfter: minRetryAfter,
				})
			}
		}
	}
}

// abandon ends a reservation for its entry. A reservation that did not start is
// removed at once. One that runs is cancelled and holds its capacity until the
// server confirms.
//
// A call that may run at most once keeps running: aborting it would undo
// nothing that it did already, and would make its outcome uncertain for the
// service too. It keeps its slot until it ends.
func (s *State) abandon(r *reservation) {
	switch r.stage {
	case stageQueued, stageGranted, stageArrived:
		s.closed.add(s, r.reserve.Attempt, false)
		s.free(r)
	case stageWorking, stagePrefilled:
		if r.reserve.Phase == message.PhaseCall && r.reserve.Once {
			return
		}
		s.cancel(r)
	}
}

// cancel makes the server end a reservation's work.
func (s *State) cancel(r *reservation) {
	s.closed.add(s, r.reserve.Attempt, true)
	r.stage = stageCancelling
	r.cancelledAt = s.now
	s.sendCancel(r)
}

func (s *State) sendCancel(r *reservation) {
	r.cancelSentAt = s.now
	s.count("cancel", "")
	s.emit(CancelWork{Attempt: r.reserve.Attempt})
}

// retryCancels repeats the cancellations that were not confirmed. A lost
// cancellation would leave memory held by work whose caller has left.
func (s *State) retryCancels() {
	for _, r := range s.heldReservations() {
		if r.stage == stageCancelling && s.now.Sub(r.cancelSentAt) >= s.config.CancelRetry {
			s.sendCancel(r)
		}
	}
}

// handleCancelled frees the capacity of work that the server confirmed as
// ended.
func (s *State) handleCancelled(e Cancelled) {
	r := s.attempts[e.Attempt]
	if r == nil || r.stage != stageCancelling || e.Failed {
		return
	}
	s.free(r)
}

// free removes a reservation and frees everything that it holds.
func (s *State) free(r *reservation) {
	switch r.stage {
	case stageEnded:
		return
	case stageQueued:
		wasFirst := s.queue.next(s.now) == r
		s.queue.remove(r)
		s.queue.changed = s.queue.changed || wasFirst
	case stageArrived:
		s.removeArrived(r)
		s.memory.remove(r)
		s.queue.changed = true
	default:
		s.memory.remove(r)
		s.queue.changed = true
	}
	if r.holdsSlot && !r.startedAt.IsZero() {
		s.predict.prefillAborted(s.now)
	}
	r.stage = stageEnded
	delete(s.attempts, r.reserve.Attempt)
	s.closed.markEnded(r.reserve.Attempt, s.now)
	if sess := s.sessions[r.session]; sess != nil && sess.reservation == r {
		sess.reservation = nil
	}
}
