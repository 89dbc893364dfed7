package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// openPrefill reserves prefill capacity. Once output was delivered, the text to
// compute is the caller's prompt followed by that output.
func (s *State) openPrefill(r *request) {
	r.attempt++
	s.chooseVersion(r)
	reserve := s.newReservation(r, message.PhasePrefill)
	reserve.PromptTokens = r.PromptTokens + r.output.tokens
	reserve.Prefix = r.Prefix
	want := policy.Criteria{Prefix: r.Prefix, Domain: s.config.FailureDomain, Count: s.config.Probes}
	r.prefill = s.openRound(r, alarmPrefill, reserve, want, r.pool(oriolebend.Prefill))
	if r.prefill == nil {
		s.waitForServer(r)
	}
}

// waitForServer lets a request wait because its pool is empty.
func (s *State) waitForServer(r *request) {
	s.count("refused", oriolebend.ReasonNoServer, r)
	r.lastReason = oriolebend.ReasonNoServer
	s.countWastedPrefill(r)
	s.closeAll(r)
	s.pause(r, 0)
}

// sendPrefill starts the prefill once its reservation is held. If the policy
// reserves decode capacity as well, advance calls sendPrefill only once that
// capacity is held too.
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
	s.setAlarm(r, alarmPrefill, max(s.config.StallWithin, 10*g.predictedDuration()))
}

// releasePrefillHold gives up a prefill reservation that is held while the
// request still waits for a decode reservation, so that others can use the
// capacity meanwhile. Once the decode reservation is held, prefill capacity is
// reserved again.
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

func (s *State) handlePrefilled(p *probe, m message.Prefilled) {
	r, g := p.request, p.round
	if g != r.prefill || g.sent.IsZero() || r.result != nil {
		return
	}
	s.learnPrefill(r, g, m)
	r.clearAlarm(alarmPrefill)
	r.result = &m
	r.resultExpires = s.now.Add(m.LivesFor)
	s.setAlarmAt(r, alarmTransfer, r.resultExpires)
	s.advance(r)
}

func (s *State) handlePrefillLoss(r *request, g *round, l loss) {
	if r.result != nil {
		s.handleResultLoss(r, l)
		return
	}
	s.closeRound(r, g)
	s.retryWork(r, l.reason)
}

// handleResultLoss handles the loss of a prefill server whose result is needed.
// A transfer that has begun may still succeed, so that only one that has not
// begun is given up here.
func (s *State) handleResultLoss(r *request, l loss) {
	s.closeRound(r, r.prefill)
	if r.decode != nil && !r.decode.sent.IsZero() {
		r.resultExpires = s.now
		return
	}
	s.retryWork(r, l.reason)
}

// dropResult frees the prefill's result at its server.
func (s *State) dropResult(r *request) {
	r.result = nil
	r.resultExpires = time.Time{}
	s.closeRound(r, r.prefill)
}

// countWastedPrefill counts a prefill whose result is thrown away.
func (s *State) countWastedPrefill(r *request) {
	if r.result == nil && (r.prefill == nil || r.prefill.sent.IsZero()) {
		return
	}
	s.count("prefillWasted", r.lastReason, r)
}
