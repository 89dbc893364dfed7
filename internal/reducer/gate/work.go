package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// resultGrace is how long after its life a prefill result is cancelled.
const resultGrace = time.Second

// toStart returns the reservation whose work a message brings, or nil if there
// is nothing to start: the message was refused, or is a doubled one.
func (s *State) toStart(id SessionID, a message.Attempt, phase message.Phase) *reservation {
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

// start notes that a reservation's work goes to the server.
func (s *State) start(r *reservation) {
	r.stage = stageWorking
	r.startedAt = s.now
}

func (s *State) startPrefill(id SessionID, m message.Prefill) {
	r := s.toStart(id, m.Attempt, message.PhasePrefill)
	if r == nil {
		return
	}
	s.predict.prefillStarted(s.now)
	s.start(r)
	s.emit(RunPrefill{Request: engine.PrefillRequest{
		Attempt:  m.Attempt,
		Model:    r.reserve.Model,
		Version:  r.reserve.Version,
		Adapter:  r.reserve.Adapter,
		Prompt:   m.Prompt,
		Priority: r.reserve.Urgency,
	}})
}

// startDecode takes a decode, which starts once its room is really free: the
// release that it was promised may come later than predicted.
func (s *State) startDecode(id SessionID, m message.Decode) {
	r := s.toStart(id, m.Attempt, message.PhaseDecode)
	if r == nil {
		return
	}
	within := m.TransferWithin
	if within <= 0 {
		within = s.config.TransferWithin
	}
	r.stage = stageArrived
	r.decode = m
	r.endBy = s.now.Add(within)
	r.startBy = r.endBy
	if m.StartWithin > 0 {
		r.startBy = s.now.Add(min(m.StartWithin, within))
	}
	r.promisedAt = r.from
	r.from = s.now
	at, _ := slices.BinarySearchFunc(s.arrived, r, byArrival)
	s.arrived = slices.Insert(s.arrived, at, r)
}

// byArrival orders the decodes that wait for room.
func byArrival(a, b *reservation) int {
	if a.reserve.Urgency != b.reserve.Urgency {
		if a.reserve.Urgency == oriolebend.Urgent {
			return -1
		}
		return 1
	}
	if order := a.from.Compare(b.from); order != 0 {
		return order
	}
	return cmp.Compare(a.order, b.order)
}

// startArrived starts the decodes whose room is free. The first that has no
// room keeps the others waiting, or small ones would pass it until its
// prefill result is gone.
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

// mostImports is how many transfers of one urgency the server's link carries
// at once: few at a time end sooner than many side by side, and with one alone
// a stalled transfer would hold up all others. The small one of a ping does not
// wait for that of a long brief.
const mostImports = 2

// importing counts the decodes of an urgency whose transfer is under way.
func (s *State) importing(u oriolebend.Urgency) int {
	n := 0
	for _, held := range s.memory.holders {
		importing := held.stage == stageWorking && held.reserve.Phase == message.PhaseDecode && !held.firstPart
		if importing && held.reserve.Urgency == u {
			n++
		}
	}
	return n
}

// mayStart reports whether a decode's room is free. One that comes before the
// time it was promised must leave room for those whose time it is.
func (s *State) mayStart(r *reservation) bool {
	if s.importing(r.reserve.Urgency) >= mostImports {
		return false
	}
	used := s.usedTokens() + r.tokens
	if s.now.Before(r.promisedAt) {
		used += s.dueTokens()
	}
	if used > s.engine.info.KVTokens {
		return false
	}
	return r.reserve.Urgency == oriolebend.Urgent || s.usedPatient()+r.tokens <= s.patientTokens(r)
}

func (s *State) runDecode(r *reservation) {
	m := r.decode
	r.decode = message.Decode{}
	s.start(r)
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
		TransferWithin: max(r.endBy.Sub(s.now), time.Millisecond),
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
	r := s.toStart(id, m.Attempt, message.PhaseCall)
	if r == nil {
		return
	}
	s.start(r)
	s.emit(RunCall{Call: m})
}

// prefilled tells the entry where the result is. The engine holds it until it
// is released or expires.
func (s *State) prefilled(e EnginePrefilled) {
	r := s.attempts[e.Attempt]
	if r == nil {
		// The cancellation overtook the end of the prefill: its result would
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
	r.computing = false
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

// expireResults ends the reservations of prefill results that the engine no
// longer holds by its own word; a cancellation makes sure. It waits for a
// grace, as it would break off a transfer that began just in time.
func (s *State) expireResults() {
	for _, r := range s.inOrder() {
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

// part passes output on. The last part ends the session.
func (s *State) part(e EnginePart) {
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
	s.predict.decodeEnded(r)
	s.finish(r)
}

// stepMargin is the percentage of the target of the time between tokens that
// the limit steers to: around the target itself half of all requests miss it.
const stepMargin = 94

// observePart learns the transfer time from the first part and the time
// between tokens from the others.
func (s *State) observePart(r *reservation, p message.Part) {
	r.output += p.Tokens
	if !r.firstPart {
		r.firstPart = true
		s.predict.transferred(r, s.now)
	} else if p.Tokens > 0 {
		step := s.now.Sub(r.lastPart) / time.Duration(p.Tokens)
		s.predict.stepped(step)
		s.limit.decodeStep(step, s.config.BetweenWithin*stepMargin/100, s.committed().slots)
	}
	r.lastPart = s.now
}

// finish ends a reservation whose work ended well and whose room the server
// gave back with its last word.
func (s *State) finish(r *reservation) {
	s.closed.add(s, r.reserve.Attempt, true)
	id := r.session
	s.drop(r)
	if id == "" {
		return
	}
	s.emit(EndSession{Session: id})
	s.forgetSession(id)
}

// workFailed tells the entry that its work ended without a result.
func (s *State) workFailed(e WorkFailed) {
	r := s.attempts[e.Attempt]
	if r == nil {
		s.statusFailed(e)
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
	s.settleFailed(r, ran)
}

// settleFailed frees the room of failed work, if it is certain that the server
// holds none; otherwise the work is cancelled to make sure.
func (s *State) settleFailed(r *reservation, ran oriolebend.Ran) {
	if r.reserve.Phase == message.PhaseCall {
		s.limit.failed()
	}
	if ran == oriolebend.RanNo {
		s.closed.add(s, r.reserve.Attempt, false)
		s.drop(r)
		return
	}
	if r.reserve.Phase == message.PhaseCall {
		s.closed.add(s, r.reserve.Attempt, true)
		s.drop(r)
		return
	}
	s.cancel(r)
}
