package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// shortestRetry is the least that a refusal has its entry wait.
const shortestRetry = 50 * time.Millisecond

// reserve answers a Reserve by an Offer or a Refusal.
func (s *State) reserve(k *session, m message.Reserve) {
	if k.held != nil {
		s.reserveAgain(k, m)
		return
	}
	refusal, refused := s.unfit(m)
	if refused {
		s.refuseSession(k.id, refusal)
		return
	}
	r := s.newReservation(k, m)
	wait := s.predictedWait(r)
	refusal, refused = s.hopeless(r, wait)
	if refused {
		s.refuseSession(k.id, refusal)
		return
	}
	s.admit(k, r, wait)
}

// reserveAgain takes a second Reserve of one session: a doubled one is
// ignored, another one ends the session.
func (s *State) reserveAgain(k *session, m message.Reserve) {
	if k.held.reserve.Attempt == m.Attempt {
		s.count("doubled", "")
		return
	}
	held := k.held
	s.refuseSession(k.id, message.Refusal{
		Attempt: m.Attempt,
		Reason:  oriolebend.ReasonMalformed,
		Ran:     s.ranOf(m.Attempt),
		Detail:  "the session holds another attempt",
	})
	s.letGo(held)
}

// admit puts a reservation in the queue and offers what comes of it.
func (s *State) admit(k *session, r *reservation, wait time.Duration) {
	full := s.queue.length >= s.config.QueueBound
	k.held = r
	s.attempts[r.reserve.Attempt] = r
	r.stage = stageQueued
	s.queue.add(r)
	// Far behind, nothing can be granted that could not before.
	if s.queue.ahead(r) < backfillDepth {
		s.queue.changed = true
		s.grantQueued()
	}
	if r.stage != stageQueued {
		s.emit(Reply{Session: k.id, Message: s.offer(r, 0)})
		return
	}
	if full && r.reserve.Hold {
		full = s.displace(r)
	}
	if r.reserve.Hold && !full {
		r.offered = true
		s.emit(Reply{Session: k.id, Message: s.offer(r, wait)})
		return
	}
	reason := oriolebend.ReasonQueueFull
	if !r.reserve.Hold {
		reason = s.scarce(r)
	}
	s.drop(r)
	s.refuseSession(k.id, message.Refusal{
		Attempt:    r.reserve.Attempt,
		Reason:     reason,
		Ran:        oriolebend.RanNo,
		RetryAfter: max(wait, shortestRetry),
	})
}

// displace makes room in a full queue for r at the cost of another, and
// reports whether the queue is still full. Otherwise one organisation's flood
// would have every other refused, and briefs would have pings refused.
func (s *State) displace(r *reservation) (full bool) {
	victim := s.queue.victim(r)
	if victim == nil {
		return true
	}
	s.refuseWaiting(victim, message.Refusal{
		Reason:     oriolebend.ReasonQueueFull,
		RetryAfter: max(s.predictedWait(victim), shortestRetry),
	})
	return false
}

// scarce names what a reservation that can't be granted now waits for.
func (s *State) scarce(r *reservation) oriolebend.Reason {
	switch r.reserve.Phase {
	case message.PhaseDecode:
		return oriolebend.ReasonNoMemory
	case message.PhaseCall:
		return oriolebend.ReasonConcurrency
	default:
		return oriolebend.ReasonOverloaded
	}
}

// unfit refuses what this server can't or must not take, whatever its load.
func (s *State) unfit(m message.Reserve) (message.Refusal, bool) {
	refusal := message.Refusal{Attempt: m.Attempt, Ran: oriolebend.RanNo}
	known, closed := s.closed.find(m.Attempt)
	_, asked := s.status[m.Attempt]
	switch {
	case closed:
		refusal.Reason = known.reason()
		refusal.Ran = s.ranOf(m.Attempt)
	case s.attempts[m.Attempt] != nil || asked:
		refusal.Reason = oriolebend.ReasonAttemptUsed
		refusal.Ran = oriolebend.RanUnknown
	case s.state() == oriolebend.ServerLeaving:
		refusal.Reason = oriolebend.ReasonLeaving
	case s.engine.lost:
		refusal.Reason = oriolebend.ReasonServerLost
		refusal.RetryAfter = s.config.ListEvery
	case s.state() != oriolebend.ServerServing:
		refusal.Reason = oriolebend.ReasonLoading
		refusal.RetryAfter = s.config.CancelRetry
	default:
		refusal.Reason = s.mismatch(m)
	}
	return refusal, refusal.Reason != ""
}

// mismatch names why this kind of server can't take the reservation; empty
// if it can.
func (s *State) mismatch(m message.Reserve) oriolebend.Reason {
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
	if memoryOf(m) > info.KVTokens {
		return oriolebend.ReasonNoMemory
	}
	return ""
}

// phaseOf is the phase that servers of a role run.
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

// memoryOf is the KV memory that a reservation holds, in tokens. A decode
// holds its longest output too: an engine that ran out of memory in the middle
// of a generation would have to drop what was paid for.
func memoryOf(m message.Reserve) int {
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
	s.orders++
	r := &reservation{
		order:      s.orders,
		session:    k.id,
		reserve:    m,
		tokens:     memoryOf(m),
		acceptedAt: s.now.Add(-max(m.Waited, 0)),
	}
	if m.Phase == message.PhaseDecode {
		r.lead = max(m.StartIn, 0)
	}
	if m.Deadline > 0 {
		r.deadlineAt = s.now.Add(m.Deadline)
	}
	r.cached = s.cache.cachedTokens(m.Prefix, m.PromptTokens, s.engine.info.BlockTokens)
	r.compute = max(m.PromptTokens-r.cached, 1)
	r.cost = cost(r)
	r.took = s.predict.took(r)
	return r
}

// cost is what an organisation is charged for a reservation, in tokens.
func cost(r *reservation) float64 {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return float64(r.compute)
	case message.PhaseDecode:
		return float64(r.tokens)
	default:
		return 1
	}
}

// offer is the gate's true state for a reservation.
func (s *State) offer(r *reservation, wait time.Duration) message.Offer {
	m := message.Offer{
		Attempt:      r.reserve.Attempt,
		Granted:      r.stage != stageQueued,
		StartIn:      max(wait, r.lead),
		CachedTokens: r.cached,
		FreeTokens:   s.freeTokens(),
		LinkBytes:    s.linkLeft(),
		LeaseFor:     s.config.Lease,
	}
	if r.stage == stageQueued {
		m.Queued = s.queue.ahead(r)
	}
	if r.reserve.Phase == message.PhasePrefill {
		m.Took = r.took
		if m.Granted {
			m.Took = s.sharedTook(r)
		}
	}
	return m
}

// hopeless refuses early what can't meet its deadline: the entry may then
// answer or go elsewhere at once, and nothing is paid for in vain.
func (s *State) hopeless(r *reservation, wait time.Duration) (message.Refusal, bool) {
	if r.deadlineAt.IsZero() {
		return message.Refusal{}, false
	}
	refusal := message.Refusal{Attempt: r.reserve.Attempt, Ran: oriolebend.RanNo}
	first := s.predict.first(r)
	left := r.reserve.Deadline - first
	if left < r.lead {
		refusal.Reason = oriolebend.ReasonDeadline
		return refusal, true
	}
	if wait <= left {
		return message.Refusal{}, false
	}
	refusal.Reason = oriolebend.ReasonOverloaded
	refusal.RetryAfter = max(wait-left, shortestRetry)
	return refusal, true
}

// endHopeless refuses what waits and won't meet its deadline, as soon as that
// is clear: held back until its deadline, a caller would have lost the time in
// which it could still have gone elsewhere.
func (s *State) endHopeless() {
	for _, late := range s.queue.late(s) {
		s.refuseWaiting(late.reservation, message.Refusal{
			Reason:     oriolebend.ReasonDeadline,
			RetryAfter: max(late.wait, shortestRetry),
		})
	}
}

// refuseWaiting refuses a reservation whose work did not start.
func (s *State) refuseWaiting(r *reservation, m message.Refusal) {
	m.Attempt = r.reserve.Attempt
	m.Ran = oriolebend.RanNo
	if r.stage != stageQueued {
		s.closed.add(s, m.Attempt, false)
	}
	id := r.session
	s.drop(r)
	s.refuseSession(id, m)
}
