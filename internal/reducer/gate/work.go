package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// resultGrace is the time between the expiry of a prefill result and its
// cancellation.
const resultGrace = time.Second

// reservationToStart returns the reservation whose work a message carries. It
// returns nil if nothing is to be started because the message was refused or is
// a duplicate.
func (s *State) reservationToStart(id SessionID, a message.Attempt, phase message.Phase) *reservation {
	r := s.reservationOf(id, a)
	if r == nil || r.reserve.Phase != phase || r.stage == stageQueued {
		s.refuseWork(id, a)
		return nil
	}
	if r.stage != stageGranted {
		s.count("doubled", "")
		return nil
	}
	return r
}

// markStarted records that a reservation's work is sent to the server.
func (s *State) markStarted(r *reservation) {
	r.stage = stageWorking
	r.startedAt = s.now
}

func (s *State) startPrefill(id SessionID, m message.Prefill) {
	r := s.reservationToStart(id, m.Attempt, message.PhasePrefill)
	if r == nil {
		return
	}
	s.predict.prefillStarted(s.now)
	s.markStarted(r)
	s.emit(RunPrefill{Request: engine.PrefillRequest{
		Attempt:  m.Attempt,
		Model:    r.reserve.Model,
		Version:  r.reserve.Version,
		Adapter:  r.reserve.Adapter,
		Prompt:   m.Prompt,
		Priority: r.reserve.Urgency,
	}})
}

// acceptDecode accepts a decode, which starts once its capacity is actually
// free: the release for which it was promised may come later than predicted.
func (s *State) acceptDecode(id SessionID, m message.Decode) {
	r := s.reservationToStart(id, m.Attempt, message.PhaseDecode)
	if r == nil {
		return
	}
	transferWithin := m.TransferWithin
	if transferWithin <= 0 {
		transferWithin = s.config.TransferWithin
	}
	r.stage = stageArrived
	r.decode = m
	r.transferBy = s.now.Add(transferWithin)
	r.startBy = r.transferBy
	if m.StartWithin > 0 {
		r.startBy = s.now.Add(min(m.StartWithin, transferWithin))
	}
	r.promisedAt = r.heldFrom
	r.heldFrom = s.now
	at, _ := slices.BinarySearchFunc(s.arrived, r, compareArrived)
	s.arrived = slices.Insert(s.arrived, at, r)
}

// compareArrived orders the decodes that wait for capacity.
func compareArrived(a, b *reservation) int {
	if a.reserve.Urgency != b.reserve.Urgency {
		if a.reserve.Urgency == oriolebend.Urgent {
			return -1
		}
		return 1
	}
	if order := a.heldFrom.Compare(b.heldFrom); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// startArrived starts the decodes whose capacity is free. The first one without
// capacity makes the others wait; otherwise small ones would pass it until its
// prefill result has expired.
func (s *State) startArrived() {
	for len(s.arrived) > 0 {
		r := s.arrived[0]
		if !s.mayStart(r) {
			return
		}
		s.arrived = s.arrived[1:]
		s.runDecode(r)
	}
}

// maxTransfers is how many transfers of one urgency the server's link carries
// at once. A few at a time end sooner than many in parallel, and with a limit
// of one, a stalled transfer would hold up all others. Each urgency has its own
// limit, so that the small transfer of a ping does not wait for the large one
// of a brief.
const maxTransfers = 2

// countTransfers counts the decodes of an urgency whose transfer is in
// progress.
func (s *State) countTransfers(u oriolebend.Urgency) int {
	n := 0
	for _, held := range s.memory.holders {
		transferring := held.stage == stageWorking && held.reserve.Phase == message.PhaseDecode && !held.hasOutput
		if transferring && held.reserve.Urgency == u {
			n++
		}
	}
	return n
}

// mayStart reports whether a decode's capacity is free. A decode that arrives
// before the time it was promised must leave capacity for the granted
// reservations that are already due.
func (s *State) mayStart(r *reservation) bool {
	if s.countTransfers(r.reserve.Urgency) >= maxTransfers {
		return false
	}
	used := s.usedTokens() + r.tokens
	if s.now.Before(r.promisedAt) {
		used += s.dueTokens()
	}
	if used > s.engine.info.KVTokens {
		return false
	}
	return r.reserve.Urgency == oriolebend.Urgent || s.usedPatientTokens()+r.tokens <= s.maxPatientTokens(r)
}

func (s *State) runDecode(r *reservation) {
	m := r.decode
	r.decode = message.Decode{}
	s.markStarted(r)
	s.emit(RunDecode{Request: engine.DecodeRequest{
		Attempt:        m.Attempt,
		Model:          r.reserve.Model,
		Version:        r.reserve.Version,
		Adapter:        r.reserve.Adapter,
		SourceURL:      m.SourceURL,
		Prompt:         m.Prompt,
		Delivered:      m.Delivered,
		Offset:         m.Offset,
		MaxTokens:      m.MaxTokens,
		Priority:       r.reserve.Urgency,
		TransferWithin: max(r.transferBy.Sub(s.now), time.Millisecond),
	}})
}

func (s *State) removeArrived(r *reservation) {
	for i, waiting := range s.arrived {
		if waiting == r {
			s.arrived = slices.Delete(s.arrived, i, i+1)
			return
		}
	}
}

func (s *State) startCall(id SessionID, m message.Call) {
	r := s.reservationToStart(id, m.Attempt, message.PhaseCall)
	if r == nil {
		return
	}
	s.markStarted(r)
	s.emit(RunCall{Call: m})
}

// handlePrefilled informs the entry where the result is. The engine holds the
// result until it is released or expires.
func (s *State) handlePrefilled(e EnginePrefilled) {
	r := s.attempts[e.Attempt]
	if r == nil {
		// The cancellation overtook the end of the prefill. Its result would
		// hold memory until it expires.
		s.count("stray", "")
		s.emit(CancelWork{Attempt: e.Attempt})
		return
	}
	if r.stage != stageWorking || r.reserve.Phase != message.PhasePrefill {
		return
	}
	s.predict.prefillEnded(s.now, e.Result.Tokens-e.Result.CachedTokens)
	r.stage = stagePrefilled
	r.holdsSlot = false
	r.expiresAt = s.now.Add(e.Result.LivesFor + resultGrace)
	s.queue.changed = true
	s.emit(Reply{Session: r.session, Message: message.Prefilled{
		Attempt:      e.Attempt,
		SourceURL:    e.Result.SourceURL,
		KVBytes:      e.Result.KVBytes,
		CachedTokens: e.Result.CachedTokens,
		LivesFor:     e.Result.LivesFor,
		Took:         e.Result.Took,
	}})
}

// expireResults ends the reservations of prefill results that have expired by
// the lifetime that the engine reported, and cancels them to make sure. It
// waits for resultGrace, because a cancellation would abort a transfer that
// began just in time.
func (s *State) expireResults() {
	for _, r := range s.heldReservations() {
		if r.stage != stagePrefilled || !s.now.After(r.expiresAt) {
			continue
		}
		s.refuseSession(r.session, message.Refusal{
			Attempt: r.reserve.Attempt,
			Reason:  oriolebend.ReasonResultExpired,
			Ran:     oriolebend.RanUnknown,
		})
		s.cancel(r)
	}
}

// handlePart forwards output to the entry. The last part ends the session.
func (s *State) handlePart(e EnginePart) {
	r := s.attempts[e.Part.Attempt]
	if r == nil || r.stage != stageWorking || r.reserve.Phase != message.PhaseDecode {
		s.count("stray", "")
		return
	}
	s.observePart(r, e.Part)
	s.emit(Reply{Session: r.session, Message: e.Part})
	if e.Part.Finish == "" {
		return
	}
	s.predict.observeOutput(r)
	s.finish(r)
}

// stepTargetPercent is the percentage of the target time between tokens that
// the limit is steered to. If it were steered to the target itself, half of all
// requests would miss it.
const stepTargetPercent = 94

// observePart updates the predicted transfer time from the first part and the
// predicted time between tokens from the others.
func (s *State) observePart(r *reservation, p message.Part) {
	r.outputTokens += p.Tokens
	if !r.hasOutput {
		r.hasOutput = true
		s.predict.observeTransfer(r, s.now)
	} else if p.Tokens > 0 {
		step := s.now.Sub(r.lastOutputAt) / time.Duration(p.Tokens)
		s.predict.observeStep(step)
		s.limit.observeStep(step, s.config.BetweenWithin*stepTargetPercent/100, s.committed().slots)
	}
	r.lastOutputAt = s.now
}

// finish ends a reservation whose work completed. The server freed its capacity
// with the last part or the answer.
func (s *State) finish(r *reservation) {
	s.closed.add(s, r.reserve.Attempt, true)
	id := r.session
	s.free(r)
	if id == "" {
		return
	}
	s.emit(EndSession{Session: id})
	s.removeSession(id)
}

// handleWorkFailed informs the entry that its work ended without a result.
func (s *State) handleWorkFailed(e WorkFailed) {
	r := s.attempts[e.Attempt]
	if r == nil {
		s.handleStatusFailed(e)
		return
	}
	if r.stage != stageWorking && r.stage != stagePrefilled {
		return
	}
	ran := oriolebend.RanUnknown
	if e.Ran == oriolebend.RanNo {
		ran = oriolebend.RanNo
	}
	if r.session != "" {
		s.refuseSession(r.session, message.Refusal{
			Attempt: e.Attempt,
			Reason:  e.Reason,
			Ran:     ran,
			Detail:  e.Detail,
		})
	}
	s.freeFailed(r, ran)
}

// freeFailed frees the capacity of failed work if the server certainly holds
// none for it. Otherwise it cancels the work to make sure.
func (s *State) freeFailed(r *reservation, ran oriolebend.Ran) {
	if r.reserve.Phase == message.PhaseCall {
		s.limit.observeFailure()
	}
	if ran == oriolebend.RanNo {
		s.closed.add(s, r.reserve.Attempt, false)
		s.free(r)
		return
	}
	if r.reserve.Phase == message.PhaseCall {
		s.closed.add(s, r.reserve.Attempt, true)
		s.free(r)
		return
	}
	s.cancel(r)
}
