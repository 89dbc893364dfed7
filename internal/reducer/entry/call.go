package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// advanceCall advances a call of a plain service.
func (s *State) advanceCall(r *request) {
	switch {
	case r.call == nil:
		s.openCall(r)
	case !r.call.granted || !r.call.sent.IsZero():
	case r.Once:
		s.recordCallRunning(r)
	default:
		s.sendCall(r)
	}
}

func (s *State) openCall(r *request) {
	r.attempt++
	reserve := s.newReservation(r, message.PhaseCall)
	want := policy.Criteria{Domain: s.config.FailureDomain, Count: s.config.Probes}
	r.call = s.openRound(r, alarmCall, reserve, want, r.pool(oriolebend.Service))
	if r.call == nil {
		s.waitForServer(r)
	}
}

// recordCallRunning sets the record of a call to running before the call is
// sent.
//
// If the call was sent first and this entry died, another claim would find a
// record which says that nothing ran, and would send the call again: a customer
// would be charged twice. The symptom would be two executions under one
// downstream identity.
func (s *State) recordCallRunning(r *request) {
	r.step = stepStarting
	s.settle(r, message.Settle{
		Attempt: r.call.attempt,
		State:   message.RecordRunning,
		Server:  r.call.chosen.server.Name,
	})
}

// sendRecordedCall sends a call once its record says that the call runs.
func (s *State) sendRecordedCall(r *request) {
	s.dropSettlement(r)
	r.step = stepRouting
	s.sendCall(r)
}

func (s *State) sendCall(r *request) {
	g := r.call
	g.sent = s.now
	r.dispatched = true
	r.callAttempt = g.chosen.key.Attempt.Number
	r.callServer = g.chosen.server.Name
	call := *r.Call
	call.Attempt = g.chosen.key.Attempt
	s.emit(Send{Session: g.chosen.key, Message: call})
	s.setAlarm(r, alarmCall, s.config.CallWithin)
}

func (s *State) handleCallAnswer(p *probe, m message.CallAnswer) {
	r, g := p.request, p.round
	if g != r.call || g.sent.IsZero() {
		return
	}
	if r.step == stepQuerying {
		s.handleStatusAnswer(r, m)
		return
	}
	s.completeCall(r, m)
}

func (s *State) completeCall(r *request, m message.CallAnswer) {
	if r.call != nil {
		r.call.markDone()
	}
	r.outcome.call = &m
	s.noteSuccess(r)
	s.observe("answer", r, s.now.Sub(r.arrived).Seconds())
	s.conclude(r, message.RecordAnswered, &message.Answer{
		Status: m.Status,
		Header: m.Header,
		Body:   m.Body,
	})
}

// handleCallLoss handles the loss of a call that was sent. A call that may run
// once may be tried again only if the gate reports that the attempt did not run
// and will never run.
func (s *State) handleCallLoss(r *request, g *round, l loss) {
	if r.step == stepQuerying {
		s.retryStatusQuery(r, l.retryAfter)
		return
	}
	s.closeRound(r, g)
	if l.ran == oriolebend.RanNo {
		r.dispatched = false
		s.retryUnlessDetached(r, l.reason)
		return
	}
	if !r.Once {
		s.retryUnlessDetached(r, l.reason)
		return
	}
	r.lastReason = l.reason
	s.resolveLostCall(r)
}

// retryUnlessDetached retries a call, unless its outcome was reported or its
// caller left while the call ran.
func (s *State) retryUnlessDetached(r *request, reason oriolebend.Reason) {
	if r.outcome.reported || r.detached {
		s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
		return
	}
	s.retryWork(r, reason)
}

// resolveLostCall handles a call that may run once, was sent, and whose answer
// will not come. The call is never sent again. If the service has a status
// call, it is queried for the outcome.
func (s *State) resolveLostCall(r *request) {
	s.count("outcomeLost", cmp.Or(r.lastReason, oriolebend.ReasonOutcomeLost), r)
	if r.StatusPath == "" {
		s.concludeUnknown(r)
		return
	}
	r.step = stepQuerying
	r.tries = 0
	s.setAlarm(r, alarmStatus, s.config.StatusWithin)
	s.queryStatus(r)
}

// queryStatus queries the outcome under the identity that the call carried. The
// gate that had the call is queried first: it closes the attempt before it
// queries its service, so that the call can't run after the answer.
func (s *State) queryStatus(r *request) {
	v := s.pickStatusServer(r)
	if v == nil {
		s.retryStatusQuery(r, 0)
		return
	}
	key := SessionKey{
		Attempt: message.Attempt{RequestID: r.record, Number: r.callAttempt},
		Phase:   message.PhaseCall,
		Server:  v.Name,
	}
	g := &round{phase: message.PhaseCall, alarm: alarmCall, granted: true, sent: s.now, done: true}
	p := &probe{key: key, request: r, round: g, server: v}
	g.probes = append(g.probes, p)
	g.chosen = p
	r.call = g
	s.sessions[key] = p
	s.emit(OpenSession{Session: key, Address: v.GateAddress, Status: &message.StatusQuery{
		Attempt:  key.Attempt,
		Path:     r.StatusPath,
		Identity: r.Call.Identity,
	}})
}

func (s *State) pickStatusServer(r *request) *server {
	if v := s.servers[r.callServer]; v != nil && r.tries == 0 {
		return v
	}
	p := s.pool(r.pool(oriolebend.Service))
	if p.Len() == 0 {
		return nil
	}
	s.pickCandidates(p.Pool, policy.Criteria{Domain: s.config.FailureDomain, Count: 1})
	return s.candidates[0]
}

// retryStatusQuery queries the outcome again after a pause, until StatusWithin
// has passed.
func (s *State) retryStatusQuery(r *request, after time.Duration) {
	s.closeRound(r, r.call)
	s.setAlarm(r, alarmReserve, max(after, s.jitter(r)))
	r.tries++
}

// statusCallRunning is a service's answer that the call still runs (409
// Conflict).
const statusCallRunning = 409

// handleStatusAnswer takes the outcome from the service's answer to a status
// query. A call that still runs is queried again, since its outcome will be
// known; the same server is queried unless an earlier query failed. Any other
// answer but a success leaves the outcome unknown: a service that does not know
// the operation may still receive the call, if that is on its way.
func (s *State) handleStatusAnswer(r *request, m message.CallAnswer) {
	if m.Status == statusCallRunning {
		s.closeRound(r, r.call)
		s.setAlarm(r, alarmReserve, s.config.StatusEvery)
		return
	}
	if m.Status < 200 || m.Status > 299 {
		s.concludeUnknown(r)
		return
	}
	s.count("outcomeResolved", oriolebend.ReasonOutcomeLost, r)
	s.completeCall(r, m)
}

func (s *State) statusTimedOut(r *request) {
	if r.step == stepQuerying {
		s.concludeUnknown(r)
	}
}

func (s *State) concludeUnknown(r *request) {
	r.outcome.problem = &oriolebend.Problem{
		Reason: oriolebend.ReasonOutcomeLost,
		Ran:    oriolebend.RanUnknown,
		Detail: "the call was sent and its outcome was lost; it is not sent again",
	}
	s.conclude(r, message.RecordUnknown, nil)
}
