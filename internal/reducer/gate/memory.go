package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// urgentPart is the part of a decode engine's memory that is kept for
	// urgent work, one in so many.
	urgentPart = 16
	// urgentMost bounds that part in tokens: some tens of short prompts.
	urgentMost = 4096
	// urgentSeen is how long after the latest urgent reservation it is kept.
	urgentSeen = time.Minute
)

// memory holds the reservations that have room, from their grant until the
// server gave it back. Sums are taken anew from the holders, of which there
// are some tens: no counter can drift from the truth.
type memory struct {
	holders []*reservation
}

func (m *memory) add(r *reservation) {
	m.holders = append(m.holders, r)
}

func (m *memory) remove(r *reservation) {
	for i, held := range m.holders {
		if held == r {
			m.holders = append(m.holders[:i], m.holders[i+1:]...)
			return
		}
	}
}

// inOrder returns a copy of the holders, in the order of their grants.
func (s *State) inOrder() []*reservation {
	if len(s.memory.holders) == 0 {
		return nil
	}
	return append([]*reservation(nil), s.memory.holders...)
}

// atServer reports whether the server may hold memory for the reservation.
func (r *reservation) atServer() bool {
	return r.stage == stageWorking || r.stage == stagePrefilled || r.stage == stageCancelling
}

// usedTokens is the memory of all work at the server.
func (s *State) usedTokens() int {
	used := 0
	for _, held := range s.memory.holders {
		if held.atServer() {
			used += held.tokens
		}
	}
	return used
}

// dueTokens is the memory of granted reservations whose time has come and whose
// work has not.
func (s *State) dueTokens() int {
	due := 0
	for _, held := range s.memory.holders {
		if held.stage == stageGranted && !held.from.After(s.now) {
			due += held.tokens
		}
	}
	return due
}

// committed sums what is held now, with granted reservations that are due.
func (s *State) committed() load {
	var sum load
	for _, held := range s.memory.holders {
		if held.atServer() || !held.from.After(s.now) {
			sum.add(held)
		}
	}
	return sum
}

// freeTokens is the memory that is neither used nor due, never below zero.
func (s *State) freeTokens() int {
	return max(s.engine.info.KVTokens-s.committed().tokens, 0)
}

// load is what some reservations hold together.
type load struct {
	tokens  int
	slots   int
	compute int
}

func (l *load) add(r *reservation) {
	l.tokens += r.tokens
	if r.reserve.Phase != message.PhasePrefill {
		l.slots++
		return
	}
	if r.computing {
		l.slots++
		l.compute += r.compute
	}
}

// fits reports whether a reservation's room is free from the time it asks
// for, or from now if that has passed.
func (s *State) fits(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return s.fitsPrefill(r)
	case message.PhaseDecode:
		return s.fitsAt(r, s.wanted(r))
	default:
		return s.committed().slots < s.limit.slots()
	}
}

// wanted is when a reservation that waits can use its room at the earliest.
//
// A decode that was asked for ahead of its prefill can't begin before its
// prefill, which runs once the room is granted: to grant room that is free only
// now would leave it idle for that long, each time.
func (s *State) wanted(r *reservation) time.Time {
	if r.reserve.Phase != message.PhaseDecode {
		return later(r.from, s.now)
	}
	return later(r.from, s.now.Add(max(r.reserve.StartIn, 0)))
}

// fitsPrefill lets few prefills run at once, so that the order of work is the
// queue's and not the engine's. Urgent ones may run beyond: the engine honours
// their priority, and a ping needn't wait for the end of a long brief.
func (s *State) fitsPrefill(r *reservation) bool {
	held := s.committed()
	if held.tokens+r.tokens > s.engine.info.KVTokens {
		return false
	}
	if r.reserve.Urgency == oriolebend.Urgent {
		return held.slots < s.config.PrefillSlots+s.config.UrgentSlots
	}
	if held.slots >= s.config.PrefillSlots || !s.fitsLinkOut(r) {
		return false
	}
	return held.slots == 0 || held.compute+r.compute <= s.config.PrefillBudget
}

// fitsAt reports whether a decode's room is free from a moment to the
// predicted end of its work, beside all that is held or promised.
func (s *State) fitsAt(r *reservation, from time.Time) bool {
	until := from.Add(r.took)
	if !s.fitsMoment(r, from) || (r.reserve.Urgency != oriolebend.Urgent && !s.fitsLink(r, from)) {
		return false
	}
	for _, held := range s.memory.holders {
		if held.from.After(from) && held.from.Before(until) && !s.fitsMoment(r, held.from) {
			return false
		}
	}
	return true
}

// fitsMoment reports whether a decode's room is free at one moment.
func (s *State) fitsMoment(r *reservation, at time.Time) bool {
	tokens, patient, slots := r.tokens, 0, 1
	if r.reserve.Urgency == oriolebend.Patient {
		patient = r.tokens
	}
	for _, held := range s.memory.holders {
		if !s.holdsAt(held, at) {
			continue
		}
		tokens += held.tokens
		slots++
		if held.reserve.Urgency != oriolebend.Urgent {
			patient += held.tokens
		}
	}
	if tokens > s.engine.info.KVTokens || slots > s.limit.slots() {
		return false
	}
	return patient <= s.patientTokens(r)
}

// patientTokens is the memory that patient decodes may take together. While
// urgent work comes a part is kept for it: all memory would otherwise be held
// by long generations, and each ping would wait for the end of one of them.
func (s *State) patientTokens(r *reservation) int {
	whole := s.engine.info.KVTokens
	if s.urgentAt.IsZero() || s.now.Sub(s.urgentAt) > urgentSeen {
		return whole
	}
	return max(whole-min(whole/urgentPart, urgentMost), min(r.tokens, whole))
}

// holdsAt predicts whether a holder has its room at a moment that is not in
// the past.
func (s *State) holdsAt(held *reservation, at time.Time) bool {
	if !at.After(s.now) && (held.atServer() || !held.from.After(s.now)) {
		return true
	}
	return !held.from.After(at) && at.Before(s.releaseAt(held))
}

// releaseAt predicts when a holder gives its room back. Work that took longer
// than predicted is expected to take an eighth of its time more.
func (s *State) releaseAt(held *reservation) time.Time {
	if held.stage == stageCancelling {
		return s.now.Add(s.config.CancelRetry)
	}
	until := held.until
	if !held.atServer() {
		until = later(held.from, s.now).Add(held.took)
	}
	if until.After(s.now) {
		return until
	}
	return s.now.Add(max(held.took/8, s.config.TickEvery))
}

// earliest predicts when a decode's room is free, at the earliest when it is
// asked for.
func (s *State) earliest(r *reservation) time.Time {
	from := s.wanted(r)
	if s.fitsAt(r, from) {
		return from
	}
	best := time.Time{}
	for _, held := range s.memory.holders {
		at := s.releaseAt(held)
		if !at.After(from) || (!best.IsZero() && !at.Before(best)) {
			continue
		}
		if s.fitsAt(r, at) {
			best = at
		}
	}
	if best.IsZero() {
		return from.Add(r.took)
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// linkLeft is the rate of the server's link over the transfers that share it,
// with one more.
func (s *State) linkLeft() float64 {
	transfers := 1
	for _, held := range s.memory.holders {
		importing := held.stage == stageWorking && held.reserve.Phase == message.PhaseDecode && !held.firstPart
		if importing || held.stage == stagePrefilled {
			transfers++
		}
	}
	return s.engine.info.LinkBytes / float64(transfers)
}
