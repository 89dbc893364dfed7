package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// openDecodeIfDue reserves decode capacity, unless the pause before the next
// try is still running.
func (s *State) openDecodeIfDue(r *request, startIn time.Duration) {
	if r.due[alarmReserve].IsZero() {
		s.openDecode(r, startIn)
	}
}

// openDecode reserves decode capacity that is needed after startIn.
func (s *State) openDecode(r *request, startIn time.Duration) {
	reserve := s.decodeReservation(r, startIn)
	w := policy.Criteria{Domain: s.resultDomain(r), Count: s.config.DecodeProbes}
	if r.Urgency == oriolebend.Urgent {
		w.Count *= urgentProbeFactor
	}
	r.decode = s.openRound(r, alarmDecode, reserve, w, r.pool(oriolebend.Decode))
	if r.decode == nil {
		s.waitForServer(r)
	}
}

// urgentProbeFactor is how many times more decode gates an urgent request
// probes, one after the other until one has capacity.
const urgentProbeFactor = 2

func (s *State) decodeReservation(r *request, startIn time.Duration) message.Reserve {
	if r.decodeAttempt == r.attempt {
		r.attempt++
	}
	r.decodeAttempt = r.attempt
	reserve := s.newReservation(r, message.PhaseDecode)
	reserve.PromptTokens = r.PromptTokens + r.output.tokens
	reserve.MaxTokens = r.MaxTokens - r.output.tokens
	reserve.StartIn = startIn.Truncate(time.Millisecond)
	return reserve
}

// resultDomain returns the failure domain from which the KV cache comes.
func (s *State) resultDomain(r *request) string {
	if r.prefill != nil && r.prefill.chosen != nil {
		return r.prefill.chosen.server.FailureDomain
	}
	return s.config.FailureDomain
}

// advanceDecode advances a request that has a prefill result.
func (s *State) advanceDecode(r *request) {
	if r.decode == nil {
		if r.standby == nil {
			s.openDecodeIfDue(r, 0)
		}
		return
	}
	if r.decode.granted && r.decode.sent.IsZero() {
		s.sendDecode(r)
	}
}

func (s *State) sendDecode(r *request) {
	left := r.resultExpires.Sub(s.now)
	if left <= 0 {
		s.retryWork(r, oriolebend.ReasonResultExpired)
		return
	}
	g := r.decode
	g.sent = s.now
	r.output.held = nil
	within := s.transferStallAfter(r, g, left)
	s.emit(Send{Session: g.chosen.key, Message: message.Decode{
		Attempt:        g.chosen.key.Attempt,
		SourceURL:      r.result.SourceURL,
		KVBytes:        r.result.KVBytes,
		Prompt:         r.Prompt,
		Delivered:      r.output.text(),
		Offset:         r.output.tokens,
		MaxTokens:      r.MaxTokens,
		TransferWithin: left + r.result.LivesFor,
		StartWithin:    time.Duration(decodeStartShare * float64(left)).Truncate(time.Millisecond),
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
	// minTransferStall is the shortest time after which a transfer counts as
	// stalled.
	minTransferStall = 200 * time.Millisecond
	// transferStallFactor is how many times the time over an idle link a
	// transfer may take. Other transfers on the same link make it slow;
	// stopping it then would only start it again from the beginning behind
	// them.
	transferStallFactor = 8
	// secondTransferFactor and transferSlack set how much of a result's
	// lifetime is kept for a second transfer: a multiple of the time over an
	// idle link, and a slack for its messages. The time in which the first
	// output would follow the first transfer is kept as well.
	secondTransferFactor = 1.5
	transferSlack        = 20 * time.Millisecond
	// decodeStartShare is the share of a result's remaining lifetime for which
	// a decode may wait for capacity at its gate: after that another server can
	// still fetch the result.
	decodeStartShare = 0.7
)

// transferStallAfter returns how long a transfer may show no progress before a
// second server fetches the result in its place; zero means never. The time is
// well over the expected time of the transfer, and short enough that the second
// server can still begin.
//
// A transfer that began while its result was valid may continue for the
// result's lifetime once more. Aborting a transfer that is merely slow discards
// the bytes that it moved and loads the links with them again. The symptom
// would be retries for transferStalled that grow with the load.
func (s *State) transferStallAfter(r *request, g *round, left time.Duration) time.Duration {
	expected := idleTransfer(r.result.KVBytes, g.chosen)
	bound := left - time.Duration(secondTransferFactor*float64(expected)) - transferSlack - 2*r.BetweenWithin
	if bound < 2*expected {
		return 0
	}
	return min(bound, max(transferStallFactor*expected, minTransferStall))
}

// hedgeTransfer prepares a second decode server while a transfer is slow.
func (s *State) hedgeTransfer(r *request) {
	if r.result == nil || r.standby != nil || !s.now.Before(r.resultExpires) {
		return
	}
	s.openStandby(r)
}

// openStandby probes other decode servers for capacity that is free at once.
func (s *State) openStandby(r *request) {
	reserve := s.decodeReservation(r, 0)
	reserve.Hold = false
	w := policy.Criteria{Domain: s.resultDomain(r), Count: s.config.DecodeProbes}
	if r.decode != nil && r.decode.chosen != nil {
		w.Except = r.decode.chosen.server.Name
	}
	r.standby = s.openRound(r, alarmStandby, reserve, w, r.pool(oriolebend.Decode))
}

// handleStandbyGranted handles a second server that holds a reservation. It
// takes the place of the first server if that was lost meanwhile, or if the
// transfer has timed out.
func (s *State) handleStandbyGranted(r *request) {
	switch {
	case r.decode == nil:
		s.promoteStandby(r)
	case r.due[alarmTransfer].IsZero():
		s.handleTransferTimeout(r)
	}
}

func (s *State) handleStandbyFailure(r *request) {
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

// handleTransferTimeout lets a second server fetch the result if one holds a
// reservation. Without one the transfer continues, because it may still
// succeed.
func (s *State) handleTransferTimeout(r *request) {
	if r.decode == nil || r.decode.sent.IsZero() {
		s.handleResultExpiry(r)
		return
	}
	ready := r.standby != nil && r.standby.granted
	if r.result == nil || !ready || !s.now.Before(r.resultExpires) {
		return
	}
	s.switchToStandby(r, oriolebend.ReasonTransferStalled)
}

// switchToStandby replaces a decode server that has produced no output by the
// standby.
func (s *State) switchToStandby(r *request, reason oriolebend.Reason) {
	s.count("retry", reason, r)
	r.lastReason = reason
	if r.decode != nil {
		r.decode.chosen.server.health.RecordFailure(s.now)
	}
	s.closeRound(r, r.decode)
	s.spendRetry(r)
	s.promoteStandby(r)
}

// handleDecodeLoss handles the loss of a dispatched decode. While the result is
// valid and no output of it was used, another server fetches it. Otherwise the
// request resumes with a prefill of its prompt and the output that was
// delivered.
func (s *State) handleDecodeLoss(r *request, g *round, l loss) {
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
	if r.lostTooManyServers() {
		s.retryWork(r, l.reason)
		return
	}
	if r.standby != nil && s.resultValid(r) {
		s.switchIfStandbyGranted(r, l)
		return
	}
	if s.resultValid(r) {
		s.retryDecodeElsewhere(r, l, lostServer)
		return
	}
	s.retryWork(r, l.reason)
}

func (s *State) resultValid(r *request) bool {
	return r.result != nil && s.now.Before(r.resultExpires)
}

func (s *State) switchIfStandbyGranted(r *request, l loss) {
	if r.standby.granted {
		s.switchToStandby(r, l.reason)
	}
}

// retryDecodeElsewhere reserves decode capacity at another server, which then
// fetches the same result.
func (s *State) retryDecodeElsewhere(r *request, l loss, lostServer string) {
	s.count("retry", l.reason, r)
	if !lacksRoom(l.reason) {
		s.spendRetry(r)
	}
	reserve := s.decodeReservation(r, 0)
	reserve.Hold = false
	w := policy.Criteria{Domain: s.resultDomain(r), Count: s.config.DecodeProbes, Except: lostServer}
	r.decode = s.openRound(r, alarmDecode, reserve, w, r.pool(oriolebend.Decode))
	if r.decode == nil {
		s.retryWork(r, l.reason)
	}
}

// retryDecodeLater reserves decode capacity again after a short pause, while a
// prefill runs or its result is valid; it reports whether it did.
//
// Cancelling the prefill because its decode reservation was lost would throw
// away the most expensive part of the request.
func (s *State) retryDecodeLater(r *request) bool {
	running := r.prefill != nil && !r.prefill.sent.IsZero() && r.result == nil
	if !running && !s.resultValid(r) {
		return false
	}
	s.setAlarm(r, alarmReserve, s.jitter(r))
	r.tries++
	return true
}

func (s *State) retryReservation(r *request) {
	if r.step == stepQuerying {
		s.queryStatus(r)
		return
	}
	if r.result != nil && !s.resultValid(r) {
		s.handleResultExpiry(r)
		return
	}
	s.advance(r)
}

// handleResultExpiry runs the work again if no decode capacity was found while
// the result was valid.
func (s *State) handleResultExpiry(r *request) {
	if r.result != nil {
		s.retryWork(r, oriolebend.ReasonResultExpired)
	}
}

// handlePart handles a part of the output. Only parts from the session of the
// current attempt are used.
func (s *State) handlePart(p *probe, m message.Part) {
	r, g := p.request, p.round
	if g != r.decode || g.sent.IsZero() || m.Attempt != p.key.Attempt {
		s.emit(Count{Name: "outdatedMessage"})
		return
	}
	s.completeTransfer(r)
	m, v := r.output.classify(m)
	switch v {
	case partDuplicate:
		s.count("duplicatePart", "", r)
	case partBroken:
		s.handleBrokenOutput(r, g)
	case partAhead:
		if !r.output.hold(m) {
			s.handleBrokenOutput(r, g)
		}
	case partNext:
		s.deliverParts(r, m)
	}
}

// handleBrokenOutput ends an attempt whose output does not fit what was
// delivered.
func (s *State) handleBrokenOutput(r *request, g *round) {
	s.closeRound(r, g)
	s.retryWork(r, oriolebend.ReasonEngineFailed)
}

// completeTransfer frees what was kept for the transfer: the first output shows
// that the transfer ended.
func (s *State) completeTransfer(r *request) {
	r.lastProgress = s.now
	if r.result == nil {
		return
	}
	r.prefill.markDone()
	s.dropResult(r)
	s.closeRound(r, r.standby)
	r.clearAlarm(alarmHedge)
	r.clearAlarm(alarmTransfer)
	r.resetFailures()
}

// deliverParts delivers a new part to the caller, and then the held parts that
// follow it.
func (s *State) deliverParts(r *request, m message.Part) {
	for {
		s.deliver(r, m)
		if m.Finish != "" {
			s.completeOutput(r, m.Finish)
			return
		}
		next, found := r.output.popHeld()
		if !found {
			return
		}
		fitted, v := r.output.classify(next)
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

// handleStall handles dispatched work that has shown no progress for
// StallWithin.
func (s *State) handleStall(r *request) {
	if r.step != stepRouting {
		return
	}
	if quiet := s.now.Sub(r.lastProgress); quiet < s.config.StallWithin && !r.lastProgress.IsZero() {
		s.setAlarm(r, alarmStall, s.config.StallWithin-quiet)
		return
	}
	stalledRound := r.dispatchedRound()
	if stalledRound == nil {
		return
	}
	l := loss{reason: oriolebend.ReasonServerLost, ran: oriolebend.RanUnknown}
	stalledRound.chosen.server.health.RecordFailure(s.now)
	switch stalledRound {
	case r.decode:
		s.handleDecodeLoss(r, stalledRound, l)
	case r.prefill:
		s.handlePrefillLoss(r, stalledRound, l)
	default:
		s.handleCallLoss(r, stalledRound, l)
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
