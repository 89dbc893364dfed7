package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// minRetryAfter is the lower bound of the retry delays that follow from a
// prediction, and the retry delay of some refusals without a prediction.
const minRetryAfter = 50 * time.Millisecond

// handleReserve answers a Reserve with an Offer or a Refusal.
func (s *State) handleReserve(k *session, m message.Reserve) {
	if k.reservation != nil {
		s.handleRepeatedReserve(k, m)
		return
	}
	refusal, refused := s.checkReserve(m)
	if refused {
		s.refuseSession(k.id, refusal)
		return
	}
	r := s.newReservation(k, m)
	wait := s.predictedWait(r)
	refusal, refused = s.checkDeadline(r, wait)
	if refused {
		s.refuseSession(k.id, refusal)
		return
	}
	s.admit(k, r, wait)
}

// handleRepeatedReserve handles a second Reserve of one session. A duplicate is
// ignored; a Reserve of another attempt ends the session.
func (s *State) handleRepeatedReserve(k *session, m message.Reserve) {
	if k.reservation.reserve.Attempt == m.Attempt {
		s.count("doubled", "")
		return
	}
	held := k.reservation
	s.refuseSession(k.id, message.Refusal{
		Attempt: m.Attempt,
		Reason:  oriolebend.ReasonMalformed,
		Ran:     s.ranOf(m.Attempt),
		Detail:  "the session holds another attempt",
	})
	s.abandon(held)
}

// admit puts a reservation in the queue, grants it if it can, and replies with
// an Offer or a Refusal.
func (s *State) admit(k *session, r *reservation, wait time.Duration) {
	full := s.queue.length >= s.config.QueueBound
	k.reservation = r
	s.attempts[r.reserve.Attempt] = r
	r.stage = stageQueued
	s.queue.add(r)
	// Beyond this depth, a new reservation makes no grant possible that was not
	// possible before.
	if s.queue.countAhead(r) < backfillDepth {
		s.queue.changed = true
		s.grantQueued()
	}
	if r.stage != stageQueued {
		s.emit(Reply{Session: k.id, Message: s.newOffer(r, 0)})
		return
	}
	if full && r.reserve.Hold {
		full = s.evictFor(r)
	}
	if r.reserve.Hold && !full {
		r.offerSent = true
		s.emit(Reply{Session: k.id, Message: s.newOffer(r, wait)})
		return
	}
	reason := oriolebend.ReasonQueueFull
	if !r.reserve.Hold {
		reason = s.shortageReason(r)
	}
	s.free(r)
	s.refuseSession(k.id, message.Refusal{
		Attempt:    r.reserve.Attempt,
		Reason:     reason,
		Ran:        oriolebend.RanNo,
		RetryAfter: max(wait, minRetryAfter),
	})
}

// evictFor evicts another reservation from a full queue in favour of r, and
// reports whether the queue is still full. Without it, a flood from one
// organisation would cause the requests of all others to be refused, and briefs
// would cause pings to be refused.
func (s *State) evictFor(r *reservation) (full bool) {
	evicted := s.queue.evictionCandidate(r)
	if evicted == nil {
		return true
	}
	s.refuseUnstarted(evicted, message.Refusal{
		Reason:     oriolebend.ReasonQueueFull,
		RetryAfter: max(s.predictedWait(evicted), minRetryAfter),
	})
	return false
}

// shortageReason returns the reason for which a reservation can't be granted
// now.
func (s *State) shortageReason(r *reservation) oriolebend.Reason {
	switch r.reserve.Phase {
	case message.PhaseDecode:
		return oriolebend.ReasonNoMemory
	case message.PhaseCall:
		return oriolebend.ReasonConcurrency
	default:
		return oriolebend.ReasonOverloaded
	}
}

// checkReserve refuses a reservation that this server can't or must not accept,
// whatever its load.
func (s *State) checkReserve(m message.Reserve) (message.Refusal, bool) {
	refusal := message.Refusal{Attempt: m.Attempt, Ran: oriolebend.RanNo}
	record, closed := s.closed.find(m.Attempt)
	_, queried := s.statusQueries[m.Attempt]
	switch {
	case closed:
		refusal.Reason = record.reason()
		refusal.Ran = s.ranOf(m.Attempt)
	case s.attempts[m.Attempt] != nil || queried:
		refusal.Reason = oriolebend.ReasonAttemptUsed
		refusal.Ran = oriolebend.RanUnknown
	case s.serverState() == oriolebend.ServerLeaving:
		refusal.Reason = oriolebend.ReasonLeaving
	case s.engine.lost:
		refusal.Reason = oriolebend.ReasonServerLost
		refusal.RetryAfter = s.config.ListEvery
	case s.serverState() != oriolebend.ServerServing:
		refusal.Reason = oriolebend.ReasonLoading
		refusal.RetryAfter = s.config.CancelRetry
	default:
		refusal.Reason = s.mismatchReason(m)
	}
	return refusal, refusal.Reason != ""
}

// mismatchReason returns the reason for which this kind of server can't serve
// the reservation. It is empty if the server can.
func (s *State) mismatchReason(m message.Reserve) oriolebend.Reason {
	info := s.engine.info
	if phaseOf(info.Role) != m.Phase {
		return oriolebend.ReasonWrongRole
	}
	if m.Phase == message.PhaseCall {
		if s.config.Service != "" && m.Service != s.config.Service {
			return oriolebend.ReasonUnknownService
		}
		return ""
	}
	server := oriolebend.Server{Role: info.Role, Models: info.Models}
	if !server.Serves(info.Role, m.Model, m.Version, m.Adapter) {
		return oriolebend.ReasonWrongModel
	}
	if m.PromptTokens < 0 || m.MaxTokens < 0 {
		return oriolebend.ReasonMalformed
	}
	if kvTokens(m) > info.KVTokens {
		return oriolebend.ReasonNoMemory
	}
	return ""
}

// phaseOf returns the phase that servers of a role run.
func phaseOf(role oriolebend.PoolRole) message.Phase {
	switch role {
	case oriolebend.Prefill:
		return message.PhasePrefill
	case oriolebend.Decode:
		return message.PhaseDecode
	default:
		return message.PhaseCall
	}
}

// kvTokens returns the KV memory that a reservation holds, in tokens. A decode
// also holds the memory of its longest possible output: an engine that ran out
// of memory in the middle of a generation would have to drop work that was
// already paid for.
func kvTokens(m message.Reserve) int {
	switch m.Phase {
	case message.PhasePrefill:
		return m.PromptTokens
	case message.PhaseDecode:
		return m.PromptTokens + m.MaxTokens
	default:
		return 0
	}
}

func (s *State) newReservation(k *session, m message.Reserve) *reservation {
	s.lastSequence++
	r := &reservation{
		sequence:   s.lastSequence,
		session:    k.id,
		reserve:    m,
		tokens:     kvTokens(m),
		acceptedAt: s.now.Add(-max(m.Waited, 0)),
	}
	if m.Phase == message.PhaseDecode {
		r.leadTime = max(m.StartIn, 0)
	}
	if m.Deadline > 0 {
		r.deadlineAt = s.now.Add(m.Deadline)
	}
	r.cachedTokens = s.cache.cachedTokens(m.Prefix, m.PromptTokens, s.engine.info.BlockTokens)
	r.uncachedTokens = max(m.PromptTokens-r.cachedTokens, 1)
	r.cost = reservationCost(r)
	r.workTime = s.predict.workTime(r)
	return r
}

// reservationCost returns what an organisation is charged for a reservation, in
// tokens. A call costs one.
func reservationCost(r *reservation) float64 {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return float64(r.uncachedTokens)
	case message.PhaseDecode:
		return float64(r.tokens)
	default:
		return 1
	}
}

// newOffer returns an Offer with the gate's actual state for a reservation.
func (s *State) newOffer(r *reservation, wait time.Duration) message.Offer {
	m := message.Offer{
		Attempt:      r.reserve.Attempt,
		Granted:      r.stage != stageQueued,
		StartIn:      max(wait, r.leadTime),
		CachedTokens: r.cachedTokens,
		FreeTokens:   s.freeTokens(),
		LinkBytes:    s.linkShare(),
		LeaseFor:     s.config.Lease,
	}
	if r.stage == stageQueued {
		m.Queued = s.queue.countAhead(r)
	}
	if r.reserve.Phase == message.PhasePrefill {
		m.Took = r.workTime
		if m.Granted {
			m.Took = s.sharedPrefillTime(r)
		}
	}
	return m
}

// checkDeadline refuses a reservation that can't meet its deadline. The entry
// can then answer its caller or try another server at once, and no work is
// wasted.
func (s *State) checkDeadline(r *reservation, wait time.Duration) (message.Refusal, bool) {
	if r.deadlineAt.IsZero() {
		return message.Refusal{}, false
	}
	refusal := message.Refusal{Attempt: r.reserve.Attempt, Ran: oriolebend.RanNo}
	firstResult := s.predict.firstResultTime(r)
	left := r.reserve.Deadline - firstResult
	if left < r.leadTime {
		refusal.Reason = oriolebend.ReasonDeadline
		return refusal, true
	}
	if wait <= left {
		return message.Refusal{}, false
	}
	refusal.Reason = oriolebend.ReasonOverloaded
	refusal.RetryAfter = max(wait-left, minRetryAfter)
	return refusal, true
}

// refuseLate refuses waiting reservations that won't meet their deadline, as
// soon as this is clear. A caller that was kept waiting until its deadline
// would have lost the time in which another server could still have served it.
func (s *State) refuseLate() {
	for _, late := range s.queue.late(s) {
		s.refuseUnstarted(late.reservation, message.Refusal{
			Reason:     oriolebend.ReasonDeadline,
			RetryAfter: max(late.wait, minRetryAfter),
		})
	}
}

// refuseUnstarted refuses a reservation whose work did not start.
func (s *State) refuseUnstarted(r *reservation, m message.Refusal) {
	m.Attempt = r.reserve.Attempt
	m.Ran = oriolebend.RanNo
	if r.stage != stageQueued {
		s.closed.add(s, m.Attempt, false)
	}
	id := r.session
	s.free(r)
	s.refuseSession(id, m)
}
