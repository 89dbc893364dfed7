package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// advanceCall takes a call of a plain service on.
func (s *State) advanceCall(r *request) {
	switch {
	case r.call == nil:
		s.openCall(r)
	case !r.call.granted || !r.call.sent.IsZero():
	case r.Once:
		s.startCall(r)
	default:
		s.sendCall(r)
	}
}

func (s *State) openCall(r *request) {
	r.attempt++
	reserve := s.reservation(r, message.PhaseCall)
	want := policy.Want{Domain: s.config.FailureDomain, Count: s.config.Probes}
	r.call = s.ask(r, alarmCall, reserve, want, r.pool(oriolebend.Service))
	if r.call == nil {
		s.noServer(r)
	}
}

// startCall has the record say that the call runs before it is sent.
//
// If the call went out first and this entry died, another claim would find a
// record that says nothing ran and would send the call again: a patron charged
// twice. One would notice two executions under one downstream identity.
func (s *State) startCall(r *request) {
	r.step = stepStarting
	s.settle(r, message.Settle{
		Attempt: r.call.attempt,
		State:   message.RecordRunning,
		Server:  r.call.chosen.server.Name,
	})
}

// started is met once the record says that the call runs.
func (s *State) started(r *request) {
	s.unsettle(r)
	r.step = stepRouting
	s.sendCall(r)
}

func (s *State) sendCall(r *request) {
	g := r.call
	g.sent = s.now
	r.dispatched = true
	r.sentCall = g.chosen.key.Attempt.Number
	r.calledAt = g.chosen.server.Name
	call := *r.Call
	call.Attempt = g.chosen.key.Attempt
	s.emit(Send{Session: g.chosen.key, Message: call})
	s.setAlarm(r, alarmCall, s.config.CallWithin)
}

func (s *State) callAnswered(p *probe, m message.CallAnswer) {
	r, g := p.request, p.round
	if g != r.call || g.sent.IsZero() {
		return
	}
	if r.step == stepAsking {
		s.statusAnswered(r, m)
		return
	}
	s.callEnded(r, m)
}

func (s *State) callEnded(r *request, m message.CallAnswer) {
	if r.call != nil {
		r.call.finish()
	}
	r.outcome.call = &m
	s.succeeded(r)
	s.observe("answer", r, s.now.Sub(r.arrived).Seconds())
	s.conclude(r, message.RecordAnswered, &message.Answer{
		Status: m.Status,
		Header: m.Header,
		Body:   m.Body,
	})
}

// callLost takes the loss of a call that was sent. Only a gate that says "no"
// and will never let the attempt through makes another try allowed for a call
// that may run once.
func (s *State) callLost(r *request, g *round, l loss) {
	if r.step == stepAsking {
		s.statusFailed(r, l.retryAfter)
		return
	}
	s.closeRound(r, g)
	if l.ran == oriolebend.RanNo {
		r.dispatched = false
		s.retryUnlessGone(r, l.reason)
		return
	}
	if !r.Once {
		s.retryUnlessGone(r, l.reason)
		return
	}
	r.lastReason = l.reason
	s.outcomeLost(r)
}

// retryUnlessGone tries again, unless the caller was told or left while the
// call went on.
func (s *State) retryUnlessGone(r *request, reason oriolebend.Reason) {
	if r.outcome.told || r.gone {
		s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
		return
	}
	s.retryWork(r, reason)
}

// outcomeLost is met when a call that may run once was sent and its answer
// will not come. It is never sent again. The service is asked for the outcome
// if it has a status call.
func (s *State) outcomeLost(r *request) {
	s.count("outcomeLost", cmp.Or(r.lastReason, oriolebend.ReasonOutcomeLost), r)
	if r.StatusPath == "" {
		s.unknown(r)
		return
	}
	r.step = stepAsking
	r.tries = 0
	s.setAlarm(r, alarmStatus, s.config.StatusWithin)
	s.askStatus(r)
}

// askStatus asks for the outcome under the identity that the call carried. The
// gate that had the call is asked first: it closes the attempt before it asks
// its service, so that the call can't run behind the answer.
func (s *State) askStatus(r *request) {
	v := s.statusServer(r)
	if v == nil {
		s.statusFailed(r, 0)
		return
	}
	key := SessionKey{
		Attempt: message.Attempt{RequestID: r.record, Number: r.sentCall},
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

func (s *State) statusServer(r *request) *server {
	if v := s.servers[r.calledAt]; v != nil && r.tries == 0 {
		return v
	}
	p := s.pool(r.pool(oriolebend.Service))
	if p.Len() == 0 {
		return nil
	}
	s.pick(p.Pool, policy.Want{Domain: s.config.FailureDomain, Count: 1})
	return s.picked[0]
}

// statusFailed has the outcome asked for again after a pause, until that took
// too long.
func (s *State) statusFailed(r *request, after time.Duration) {
	s.closeRound(r, r.call)
	s.setAlarm(r, alarmReserve, max(after, s.jitter(r)))
	r.tries++
}

// statusRuns is a service's answer that the call still runs (409 Conflict).
const statusRuns = 409

// statusAnswered takes the service's word for the outcome. A call that still
// runs is asked for again, at the same server: its outcome will be known. Any
// other answer but a success leaves the outcome unknown: a service that does
// not know the operation may still get it, if the call is on its way.
func (s *State) statusAnswered(r *request, m message.CallAnswer) {
	if m.Status == statusRuns {
		s.closeRound(r, r.call)
		s.setAlarm(r, alarmReserve, s.config.StatusEvery)
		return
	}
	if m.Status < 200 || m.Status > 299 {
		s.unknown(r)
		return
	}
	s.count("outcomeResolved", oriolebend.ReasonOutcomeLost, r)
	s.callEnded(r, m)
}

func (s *State) statusDue(r *request) {
	if r.step == stepAsking {
		s.unknown(r)
	}
}

func (s *State) unknown(r *request) {
	r.outcome.problem = &oriolebend.Problem{
		Reason: oriolebend.ReasonOutcomeLost,
		Ran:    oriolebend.RanUnknown,
		Detail: "the call was sent and its outcome was lost; it is not sent again",
	}
	s.conclude(r, message.RecordUnknown, nil)
}
