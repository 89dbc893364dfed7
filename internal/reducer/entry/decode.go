package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// openDecodeFor asks for decode room unless a pause before it is not over.
func (s *State) openDecodeFor(r *request, startIn time.Duration) {
	if r.due[alarmReserve].IsZero() {
		s.openDecode(r, startIn)
	}
}

// openDecode asks for decode room that is needed after a while.
func (s *State) openDecode(r *request, startIn time.Duration) {
	reserve := s.decodeReservation(r, startIn)
	w := policy.Want{Domain: s.resultDomain(r), Count: s.config.DecodeProbes}
	if r.Urgency == oriolebend.Urgent {
		w.Count *= urgentProbes
	}
	r.decode = s.ask(r, alarmDecode, reserve, w, r.pool(oriolebend.Decode))
	if r.decode == nil {
		s.noServer(r)
	}
}

// urgentProbes is how many times more decode gates an urgent request asks, one
// after the other until one has room.
const urgentProbes = 2

func (s *State) decodeReservation(r *request, startIn time.Duration) message.Reserve {
	if r.decoded == r.attempt {
		r.attempt++
	}
	r.decoded = r.attempt
	reserve := s.reservation(r, message.PhaseDecode)
	reserve.PromptTokens = r.PromptTokens + r.output.tokens
	reserve.MaxTokens = r.MaxTokens - r.output.tokens
	reserve.StartIn = startIn.Truncate(time.Millisecond)
	return reserve
}

// resultDomain is the failure domain that the KV cache comes from.
func (s *State) resultDomain(r *request) string {
	if r.prefill != nil && r.prefill.chosen != nil {
		return r.prefill.chosen.server.FailureDomain
	}
	return s.config.FailureDomain
}

// advanceDecode takes a request on that has a prefill result.
func (s *State) advanceDecode(r *request) {
	if r.decode == nil {
		if r.standby == nil {
			s.openDecodeFor(r, 0)
		}
		return
	}
	if r.decode.granted && r.decode.sent.IsZero() {
		s.sendDecode(r)
	}
}

func (s *State) sendDecode(r *request) {
	left := r.expires.Sub(s.now)
	if left <= 0 {
		s.retryWork(r, oriolebend.ReasonResultExpired)
		return
	}
	g := r.decode
	g.sent = s.now
	r.output.held = nil
	within := s.stallAfter(r, g, left)
	s.emit(Send{Session: g.chosen.key, Message: message.Decode{
		Attempt:        g.chosen.key.Attempt,
		SourceURL:      r.result.SourceURL,
		KVBytes:        r.result.KVBytes,
		Prompt:         r.Prompt,
		Delivered:      r.output.text(),
		Offset:         r.output.tokens,
		MaxTokens:      r.MaxTokens,
		TransferWithin: left + r.result.LivesFor,
		StartWithin:    time.Duration(startShare * float64(left)).Truncate(time.Millisecond),
	}})
	if within == 0 {
		r.clearAlarm(alarmTransfer)
		s.setAlarm(r, alarmStall, s.config.StallWithin)
		return
	}
	s.setAlarm(r, alarmHedge, max(within/2, idleTransfer(r.result.KVBytes, g.chosen)+2*r.BetweenWithin))
	s.setAlarm(r, alarmTransfer, within+2*r.BetweenWithin)
	s.setAlarm(r, alarmStall, s.config.StallWithin)
}

const (
	// leastTransfer is the shortest time after which a transfer is stalled.
	leastTransfer = 200 * time.Millisecond
	// slowestTransfer is how many times what an idle link takes a transfer may
	// take: others that share the link make it slow, and to stop it then would
	// only start it anew behind them.
	slowestTransfer = 8
	// secondTransfer is what is kept of a result's life for a second transfer,
	// in times of what an idle link takes, with transferSlack for its messages
	// and the time in which the first output would follow the first transfer.
	secondTransfer = 1.5
	transferSlack  = 20 * time.Millisecond
	// startShare is the part of a result's remaining life for which a decode may
	// wait for room at its gate: behind it another server can still fetch it.
	startShare = 0.7
)

// stallAfter is how long a transfer may show nothing before a second server
// fetches the result in its place: well over what it should take, and short
// enough that the other one can still begin; zero is never.
//
// A transfer that began while its result lived may go on for as long again, so
// that to break off one that is merely slow throws away what it moved and loads
// the links with the same bytes once more: one would notice retries with reason
// transferStalled that grow with the load.
func (s *State) stallAfter(r *request, g *round, left time.Duration) time.Duration {
	expected := idleTransfer(r.result.KVBytes, g.chosen)
	bound := left - time.Duration(secondTransfer*float64(expected)) - transferSlack - 2*r.BetweenWithin
	if bound < 2*expected {
		return 0
	}
	return min(bound, max(slowestTransfer*expected, leastTransfer))
}

// hedgeTransfer gets a second decode server ready while a transfer is slow.
func (s *State) hedgeTransfer(r *request) {
	if r.result == nil || r.standby != nil || !s.now.Before(r.expires) {
		return
	}
	s.openStandby(r)
}

// openStandby asks other decode servers for room at once.
func (s *State) openStandby(r *request) {
	reserve := s.decodeReservation(r, 0)
	reserve.Hold = false
	w := policy.Want{Domain: s.resultDomain(r), Count: s.config.DecodeProbes}
	if r.decode != nil && r.decode.chosen != nil {
		w.Except = r.decode.chosen.server.Name
	}
	r.standby = s.ask(r, alarmStandby, reserve, w, r.pool(oriolebend.Decode))
}

// standbyReady is met when a second server holds room: it takes the result if
// the first was lost meanwhile.
func (s *State) standbyReady(r *request) {
	switch {
	case r.decode == nil:
		s.promoteStandby(r)
	case r.due[alarmTransfer].IsZero():
		s.transferLate(r)
	}
}

func (s *State) standbyFailed(r *request) {
	if r.decode != nil {
		return
	}
	s.retryWork(r, cmp.Or(r.lastReason, oriolebend.ReasonNoMemory))
}

func (s *State) promoteStandby(r *request) {
	r.decode, r.standby = r.standby, nil
	r.clearAlarm(alarmStandby)
	r.decode.alarm = alarmDecode
	s.advance(r)
}

// transferLate has a second server fetch the result if one is ready. Without
// one the transfer goes on: it may yet end well.
func (s *State) transferLate(r *request) {
	if r.decode == nil || r.decode.sent.IsZero() {
		s.resultExpired(r)
		return
	}
	ready := r.standby != nil && r.standby.granted
	if r.result == nil || !ready || !s.now.Before(r.expires) {
		return
	}
	s.takeOver(r, oriolebend.ReasonTransferStalled)
}

// takeOver replaces a decode server that has not begun by the standby.
func (s *State) takeOver(r *request, reason oriolebend.Reason) {
	s.count("retry", reason, r)
	r.lastReason = reason
	if r.decode != nil {
		r.decode.chosen.server.health.Fail(s.now)
	}
	s.closeRound(r, r.decode)
	s.takeRetry(r)
	s.promoteStandby(r)
}

// decodeLost takes the loss of a dispatched decode. While the result lives and
// nothing of it was used, another server fetches it; else the request resumes
// by a prefill of its prompt and what was delivered.
func (s *State) decodeLost(r *request, g *round, l loss) {
	if g != r.decode {
		s.closeRound(r, g)
		return
	}
	lostServer := g.chosen.server.Name
	s.closeRound(r, g)
	for _, a := range []alarm{alarmHedge, alarmTransfer, alarmStall} {
		r.clearAlarm(a)
	}
	r.lastReason = l.reason
	if r.lostInARow() {
		s.retryWork(r, l.reason)
		return
	}
	if r.standby != nil && s.resultLives(r) {
		s.standbyInstead(r, l)
		return
	}
	if s.resultLives(r) {
		s.decodeElsewhere(r, l, lostServer)
		return
	}
	s.retryWork(r, l.reason)
}

func (s *State) resultLives(r *request) bool {
	return r.result != nil && s.now.Before(r.expires)
}

func (s *State) standbyInstead(r *request, l loss) {
	if r.standby.granted {
		s.takeOver(r, l.reason)
	}
}

func (s *State) decodeElsewhere(r *request, l loss, lostServer string) {
	s.count("retry", l.reason, r)
	if !lacksRoom(l.reason) {
		s.takeRetry(r)
	}
	reserve := s.decodeReservation(r, 0)
	reserve.Hold = false
	w := policy.Want{Domain: s.resultDomain(r), Count: s.config.DecodeProbes, Except: lostServer}
	r.decode = s.ask(r, alarmDecode, reserve, w, r.pool(oriolebend.Decode))
	if r.decode == nil {
		s.retryWork(r, l.reason)
	}
}

// decodeLater has decode room asked for once more after a short pause, while a
// prefill runs or its result lives; it reports whether it did.
//
// To cancel the prefill because its decode room was lost would throw away
// what is the dearest part of the request.
func (s *State) decodeLater(r *request) bool {
	running := r.prefill != nil && !r.prefill.sent.IsZero() && r.result == nil
	if !running && !s.resultLives(r) {
		return false
	}
	s.setAlarm(r, alarmReserve, s.jitter(r))
	r.tries++
	return true
}

func (s *State) reserveAgain(r *request) {
	if r.step == stepAsking {
		s.askStatus(r)
		return
	}
	if r.result != nil && !s.resultLives(r) {
		s.resultExpired(r)
		return
	}
	s.advance(r)
}

// resultExpired is met when no decode room was found while the result lived.
func (s *State) resultExpired(r *request) {
	if r.result != nil {
		s.retryWork(r, oriolebend.ReasonResultExpired)
	}
}

// part takes output. Only the session of the live attempt passes any on.
func (s *State) part(p *probe, m message.Part) {
	r, g := p.request, p.round
	if g != r.decode || g.sent.IsZero() || m.Attempt != p.key.Attempt {
		s.emit(Count{What: "outdatedMessage"})
		return
	}
	s.transferred(r)
	m, v := r.output.fit(m)
	switch v {
	case partDuplicate:
		s.count("duplicatePart", "", r)
	case partBroken:
		s.brokenOutput(r, g)
	case partAhead:
		if !r.output.keep(m) {
			s.brokenOutput(r, g)
		}
	case partNext:
		s.passOn(r, m)
	}
}

// brokenOutput ends an attempt whose output does not fit what was delivered.
func (s *State) brokenOutput(r *request, g *round) {
	s.closeRound(r, g)
	s.retryWork(r, oriolebend.ReasonEngineFailed)
}

// transferred frees what was kept for the transfer: the first output tells
// that it ended.
func (s *State) transferred(r *request) {
	r.heard = s.now
	if r.result == nil {
		return
	}
	r.prefill.finish()
	s.dropResult(r)
	s.closeRound(r, r.standby)
	r.clearAlarm(alarmHedge)
	r.clearAlarm(alarmTransfer)
	r.progressed()
}

// passOn gives the caller new output, and what was held behind it.
func (s *State) passOn(r *request, m message.Part) {
	for {
		s.deliver(r, m)
		if m.Finish != "" {
			s.answered(r, m.Finish)
			return
		}
		next, found := r.output.nextHeld()
		if !found {
			return
		}
		fitted, v := r.output.fit(next)
		if v != partNext {
			m = message.Part{Offset: r.output.tokens}
			continue
		}
		m = fitted
	}
}

func (s *State) deliver(r *request, m message.Part) {
	if m.Tokens == 0 && m.Text == "" {
		return
	}
	s.observeOutput(r, m.Tokens)
	r.output.add(m)
	s.emit(AnswerPart{RequestID: r.ID, Offset: m.Offset, Tokens: m.Tokens, Text: m.Text})
}

// stalled is met when dispatched work shows no progress for long.
func (s *State) stalled(r *request) {
	if r.step != stepRouting {
		return
	}
	if quiet := s.now.Sub(r.heard); quiet < s.config.StallWithin && !r.heard.IsZero() {
		s.setAlarm(r, alarmStall, s.config.StallWithin-quiet)
		return
	}
	stalledRound := r.dispatchedRound()
	if stalledRound == nil {
		return
	}
	l := loss{reason: oriolebend.ReasonServerLost, ran: oriolebend.RanUnknown}
	stalledRound.chosen.server.health.Fail(s.now)
	switch stalledRound {
	case r.decode:
		s.decodeLost(r, stalledRound, l)
	case r.prefill:
		s.prefillLost(r, stalledRound, l)
	default:
		s.callLost(r, stalledRound, l)
	}
}

func (r *request) dispatchedRound() *round {
	for _, g := range []*round{r.decode, r.prefill, r.call} {
		if g != nil && !g.sent.IsZero() {
			return g
		}
	}
	return nil
}
