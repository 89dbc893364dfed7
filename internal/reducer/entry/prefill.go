package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// openPrefill asks for prefill room. After output was delivered the prompt to
// compute is the caller's and that output.
func (s *State) openPrefill(r *request) {
	r.attempt++
	reserve := s.reservation(r, message.PhasePrefill)
	reserve.PromptTokens = r.PromptTokens + r.output.tokens
	reserve.Prefix = r.Prefix
	want := policy.Want{Prefix: r.Prefix, Domain: s.config.FailureDomain, Count: s.config.Probes}
	r.prefill = s.ask(r, alarmPrefill, reserve, want, r.pool(oriolebend.Prefill))
	if r.prefill == nil {
		s.noServer(r)
	}
}

// noServer has a request wait because its pool is empty.
func (s *State) noServer(r *request) {
	s.count("refused", oriolebend.ReasonNoServer, r)
	r.lastReason = oriolebend.ReasonNoServer
	s.dropWasted(r)
	s.closeAll(r)
	s.pause(r, 0)
}

// sendPrefill starts the prefill once its room is held, and the decode room
// behind it if the policy reserves that.
func (s *State) sendPrefill(r *request) {
	g := r.prefill
	if !g.granted || !g.sent.IsZero() {
		return
	}
	r.clearAlarm(alarmHold)
	g.sent = s.now
	r.dispatched = true
	s.emit(Send{Session: g.chosen.key, Message: message.Prefill{
		Attempt: g.chosen.key.Attempt,
		Prompt:  r.Prompt + r.output.text(),
	}})
	s.setAlarm(r, alarmPrefill, max(s.config.StallWithin, 10*g.took()))
}

// releasePrefillHold gives up prefill room that is held while decode room is
// still awaited: others can use it meanwhile. Once the decode room is held,
// prefill room is asked for again.
func (s *State) releasePrefillHold(r *request) {
	if r.prefill == nil || !r.prefill.granted || !r.prefill.sent.IsZero() {
		return
	}
	if r.decode != nil && r.decode.granted {
		return
	}
	s.count("prefillReleased", oriolebend.ReasonNoMemory, r)
	s.closeRound(r, r.prefill)
}

func (s *State) prefilled(p *probe, m message.Prefilled) {
	r, g := p.request, p.round
	if g != r.prefill || g.sent.IsZero() || r.result != nil {
		return
	}
	s.learnPrefill(r, g, m)
	r.clearAlarm(alarmPrefill)
	r.result = &m
	r.expires = s.now.Add(m.LivesFor)
	s.setAlarmAt(r, alarmTransfer, r.expires)
	s.advance(r)
}

func (s *State) prefillLost(r *request, g *round, l loss) {
	if r.result != nil {
		s.resultLost(r, l)
		return
	}
	s.closeRound(r, g)
	s.retryWork(r, l.reason)
}

// resultLost is met when the prefill server goes while its result is being
// fetched: the transfer may still end well, so that only a transfer that has
// not begun is given up here.
func (s *State) resultLost(r *request, l loss) {
	s.closeRound(r, r.prefill)
	if r.decode != nil && !r.decode.sent.IsZero() {
		r.expires = s.now
		return
	}
	s.retryWork(r, l.reason)
}

// dropResult frees the prefill's result at its server.
func (s *State) dropResult(r *request) {
	r.result = nil
	r.expires = time.Time{}
	s.closeRound(r, r.prefill)
}

// dropWasted counts a prefill whose result is thrown away.
func (s *State) dropWasted(r *request) {
	if r.result == nil && (r.prefill == nil || r.prefill.sent.IsZero()) {
		return
	}
	s.count("prefillWasted", r.lastReason, r)
}
