package entry

import (
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
	case r.Once && !r.unrecorded:
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
		s.statusFailed(r)
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
	if r.outcome.told || !r.hasAudience() {
		s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
		return
	}
	s.retryWork(r, reason)
}

// outcomeLost is met when a call that may run once was sent and its answer
// will not come. It is never sent again. The service is asked for the outcome
// if it has a status call.
func (s *State) outcomeLost(r *request) {
	s.count("outcomeLost", or(r.lastReason, oriolebend.ReasonOutcomeLost), r)
	if r.StatusPath == "" {
		s.unknown(r)
		return
	}
	r.step = stepAsking
	r.tries = 0
	s.setAlarm(r, alarmStatus, s.config.StatusWithin)
	s.openStatus(r)
}

func (s *State) openStatus(r *request) {
	r.attempt++
	reserve := s.reservation(r, message.PhaseCall)
	want := policy.Want{Domain: s.config.FailureDomain, Count: 1}
	r.call = s.ask(r, alarmCall, reserve, want, r.pool(oriolebend.Service))
	if r.call == nil {
		s.statusFailed(r)
	}
}

// sendStatus asks for the outcome under the identity that the call carried.
func (s *State) sendStatus(r *request) {
	g := r.call
	if g == nil || !g.granted || !g.sent.IsZero() {
		return
	}
	g.sent = s.now
	s.emit(Send{Session: g.chosen.key, Message: message.StatusQuery{
		Attempt:  g.chosen.key.Attempt,
		Path:     r.StatusPath,
		Identity: r.Call.Identity,
	}})
}

// maxStatusTries bounds how often a lost outcome is asked for.
const maxStatusTries = 3

func (s *State) statusFailed(r *request) {
	s.closeRound(r, r.call)
	r.tries++
	if r.tries >= maxStatusTries {
		s.unknown(r)
		return
	}
	s.openStatus(r)
}

// statusAnswered takes the service's word for the outcome. Any answer but a
// success leaves the outcome unknown: a service that does not know the
// operation may still get it, if the call is on its way.
func (s *State) statusAnswered(r *request, m message.CallAnswer) {
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
