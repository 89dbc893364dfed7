package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// urgentSlots is the part of a decode engine's slots that is kept for
	// urgent work, one in so many; urgentBeyond is by which part of its slots
	// urgent work may go beyond them.
	urgentSlots  = 8
	urgentBeyond = 2
	// linkPart is the part of the time that a transfer may take which it may be
	// planned to take, one in so many: more, and transfers that are late or
	// stalled make others miss the end of their results; less, and links idle.
	linkPart = 2
	// peakHalves is how long the peak of urgent memory takes to halve.
	// peakMargin times the peak is kept for urgent work, but no more than one
	// part in mostUrgentPart of the whole.
	peakHalves     = time.Minute
	peakMargin     = 2
	mostUrgentPart = 4
	// slotsSlack lets a promise count on half a slot.
	slotsSlack = 0.5
	// searchSteps bounds the search for the earliest room; with steps that
	// grow by half it reaches about a minute ahead.
	searchSteps = 15
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

// usedPatient is the memory of patient work at the server.
func (s *State) usedPatient() int {
	used := 0
	for _, held := range s.memory.holders {
		if held.atServer() && held.reserve.Urgency != oriolebend.Urgent {
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

// load is what some reservations hold together; patient is the part of tokens
// that is held by patient ones.
type load struct {
	tokens  int
	patient int
	slots   int
	compute int
}

func (l *load) add(r *reservation) {
	l.tokens += r.tokens
	if r.reserve.Urgency != oriolebend.Urgent {
		l.patient += r.tokens
	}
	if r.reserve.Phase != message.PhasePrefill {
		l.slots++
		return
	}
	if r.computing {
		l.slots++
		l.compute += r.compute
	}
}

// fits reports whether a reservation could be granted now: its room is free
// after its lead.
func (s *State) fits(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return s.fitsPrefill(r)
	case message.PhaseDecode:
		from := s.now.Add(r.lead)
		return s.fitsAt(r, from) && s.linkWait(r, from) == 0
	default:
		return s.committed().slots < s.limit.slots()
	}
}

// transfer is one that the server's link carries or is to carry.
type transfer struct {
	from time.Time
	took time.Duration
	// rank orders transfers that are due at the same time.
	rank uint64
}

// linkWait is how much too late a transfer that is due at a moment would end,
// or make one that is due after it end: zero if each ends within the time that
// a transfer may take. Without it transfers that were granted room for the same
// moment wait for each other until prefill results expire: seen as prefills that
// are wasted although decode memory is free.
func (s *State) linkWait(r *reservation, from time.Time) time.Duration {
	own := transfer{from: from, took: s.predict.transferTook(r), rank: r.order}
	bound := max(s.config.TransferWithin/linkPart, own.took)
	var late time.Duration
	free := s.now
	for _, t := range s.transfers(r, own) {
		free = later(free, t.from).Add(t.took)
		if !t.from.Before(from) {
			late = max(late, free.Sub(t.from)-bound)
		}
	}
	return late
}

// transfers lists the own transfer of a reservation and those that it would
// share the link with, in the order in which they are due.
func (s *State) transfers(r *reservation, own transfer) []transfer {
	all := make([]transfer, 0, len(s.memory.holders)+1)
	all = append(all, own)
	for _, held := range s.memory.holders {
		if held.reserve.Phase != message.PhaseDecode || held.firstPart || held.stage == stageCancelling {
			continue
		}
		if r.reserve.Urgency == oriolebend.Urgent && held.reserve.Urgency != oriolebend.Urgent {
			continue // its small transfer goes beside theirs
		}
		t := transfer{from: later(held.from, s.now), took: s.predict.transferTook(held), rank: held.order}
		if held.stage == stageWorking {
			t.took = max(t.took-s.now.Sub(held.startedAt), 0)
		}
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b transfer) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.rank, b.rank))
	})
	return all
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
	if held.slots >= s.config.PrefillSlots || held.patient+r.tokens > s.patientTokens(r) {
		return false
	}
	return held.slots == 0 || held.compute+r.compute <= s.config.PrefillBudget
}

// fitsAt reports whether a decode's room is free from a moment on, beside all
// that is held and promised.
func (s *State) fitsAt(r *reservation, from time.Time) bool {
	asked := *r
	asked.from = from
	if !s.fitsMoment(&asked, from) {
		return false
	}
	for _, held := range s.memory.holders {
		if held.from.After(from) && !s.fitsMoment(&asked, held.from) {
			return false
		}
	}
	return true
}

// fitsMoment reports whether a decode's room is free at one moment that is not
// before its start.
func (s *State) fitsMoment(r *reservation, at time.Time) bool {
	var urgent, patient expected
	for _, held := range s.memory.holders {
		s.expect(&urgent, &patient, held, at)
	}
	s.expect(&urgent, &patient, r, at)
	if urgent.slots+patient.slots > s.slotsFor(r)+slotsSlack {
		return false
	}
	whole, most := float64(s.engine.info.KVTokens), float64(s.patientTokens(r))
	margin := s.config.PromiseMargin
	if r.reserve.Urgency == oriolebend.Urgent {
		// Patient promises that came due before their room was free can't take
		// more than their part.
		return urgent.most(margin)+min(patient.most(margin), most) <= whole
	}
	if patient.most(margin) > most || patient.slots > s.patientSlots()+slotsSlack {
		return false
	}
	urgent.add(patient)
	return urgent.most(margin) <= whole
}

// slotsFor is how many decodes may run beside a reservation and with it. An
// urgent one may run beyond the limit: when the limit shrinks, patient
// generations hold it all for seconds.
func (s *State) slotsFor(r *reservation) float64 {
	slots := s.limit.slots()
	if r.reserve.Urgency == oriolebend.Urgent {
		slots += max(slots/urgentBeyond, 1)
	}
	return float64(slots)
}

// patientSlots is how many patient decodes may run together. A batch is full
// by its step time long before its memory is full of pings: without slots kept
// for them pings wait for the end of long generations.
func (s *State) patientSlots() float64 {
	slots := s.limit.slots()
	if s.urgentPeak < 1 {
		return float64(slots)
	}
	return float64(max(slots-slots/urgentSlots, 1))
}

// expect adds what a reservation is expected to hold at a moment.
func (s *State) expect(urgent, patient *expected, held *reservation, at time.Time) {
	share := s.holdsAt(held, at)
	if share == 0 {
		return
	}
	sum := patient
	if held.reserve.Urgency == oriolebend.Urgent {
		sum = urgent
	}
	sum.slots += share
	sum.tokens += share * float64(held.tokens)
	sum.variance += share * (1 - share) * float64(held.tokens) * float64(held.tokens)
}

// expected is what some reservations are expected to hold at a moment.
type expected struct {
	slots    float64
	tokens   float64
	variance float64
}

func (e *expected) add(other expected) {
	e.slots += other.slots
	e.tokens += other.tokens
	e.variance += other.variance
}

// most is what they hold at most, but for what is less likely than a margin
// of so many standard deviations.
func (e *expected) most(margin float64) float64 {
	return e.tokens + margin*math.Sqrt(e.variance)
}

// noteUrgent follows how much memory urgent reservations hold at most.
func (s *State) noteUrgent() {
	held := 0
	for _, r := range s.memory.holders {
		if r.reserve.Urgency == oriolebend.Urgent {
			held += r.tokens
		}
	}
	s.urgentPeak = max(s.urgentPeak, float64(held))
}

// patientTokens is the memory that patient work may take together. As much as
// urgent work needed of late is kept for it: all memory would otherwise be
// held by long generations, and each ping would wait for the end of one.
func (s *State) patientTokens(r *reservation) int {
	whole := s.engine.info.KVTokens
	kept := min(int(peakMargin*s.urgentPeak), whole/mostUrgentPart)
	if r.reserve.Urgency == oriolebend.Patient && r.tokens > whole-kept {
		return whole
	}
	return whole - kept
}

// holdsAt predicts the probability that a reservation has its room at a moment
// that is not in the past.
func (s *State) holdsAt(held *reservation, at time.Time) float64 {
	switch {
	case held.from.After(at):
		return 0
	case !at.After(s.now):
		return 1
	case held.stage == stageCancelling:
		if at.Sub(s.now) > s.config.CancelRetry {
			return 0
		}
		return 1
	}
	return s.predict.holds(held, s.now, at)
}

// earliest predicts when a decode's room is free, at the earliest after its
// lead: it looks ahead in growing steps.
func (s *State) earliest(r *reservation) time.Time {
	from := s.now.Add(r.lead)
	step := s.config.TickEvery / 2
	for range searchSteps {
		if s.fitsAt(r, from) {
			return from
		}
		from = from.Add(step)
		step += step / 2
	}
	return from
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
