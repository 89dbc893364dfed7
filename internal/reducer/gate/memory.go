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
	// Of n decode slots, n/urgentSlotDivisor are kept for urgent work, and
	// urgent work may exceed them by n/urgentExtraDivisor, but by at least one.
	urgentSlotDivisor  = 8
	urgentExtraDivisor = 2
	// Transfers may be planned to take one part in linkDivisor of the time that
	// a transfer may take. With a smaller divisor, late or stalled transfers make
	// others miss the expiry of their results; with a larger one, links are idle.
	linkDivisor = 2
	// peakHalfLife is the half-life of the peak of urgent memory. peakMargin
	// times the peak is kept for urgent work, but at most one part in
	// maxUrgentDivisor of the whole memory.
	peakHalfLife     = time.Minute
	peakMargin       = 2
	maxUrgentDivisor = 4
	// slotSlack is by how many slots the expected number of occupied slots may
	// exceed a limit.
	slotSlack = 0.5
	// searchSteps bounds the search for the earliest capacity. With steps that
	// grow by half, it reaches about a minute ahead.
	searchSteps = 15
)

// memory contains the reservations that hold capacity, from their grant until
// the server freed it. Sums are computed from the holders each time, of which
// there are some tens, so that no counter can drift from the actual state.
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

// heldReservations returns a copy of the holders, in the order of their grants.
func (s *State) heldReservations() []*reservation {
	if len(s.memory.holders) == 0 {
		return nil
	}
	return append([]*reservation(nil), s.memory.holders...)
}

// atServer reports whether the server may hold memory for the reservation.
func (r *reservation) atServer() bool {
	return r.stage == stageWorking || r.stage == stagePrefilled || r.stage == stageCancelling
}

// usedTokens returns the memory of all work at the server.
func (s *State) usedTokens() int {
	used := 0
	for _, held := range s.memory.holders {
		if held.atServer() {
			used += held.tokens
		}
	}
	return used
}

// usedPatientTokens returns the memory of the patient work at the server.
func (s *State) usedPatientTokens() int {
	used := 0
	for _, held := range s.memory.holders {
		if held.atServer() && held.reserve.Urgency != oriolebend.Urgent {
			used += held.tokens
		}
	}
	return used
}

// dueTokens returns the memory of the granted reservations that are due and
// whose work has not arrived.
func (s *State) dueTokens() int {
	due := 0
	for _, held := range s.memory.holders {
		if held.stage == stageGranted && !held.heldFrom.After(s.now) {
			due += held.tokens
		}
	}
	return due
}

// committed returns the load of everything that is held now, including granted
// reservations that are due.
func (s *State) committed() load {
	var sum load
	for _, held := range s.memory.holders {
		if held.atServer() || !held.heldFrom.After(s.now) {
			sum.add(held)
		}
	}
	return sum
}

// freeTokens returns the memory that is neither used nor due. It is never
// negative.
func (s *State) freeTokens() int {
	return max(s.engine.info.KVTokens-s.committed().tokens, 0)
}

// load is what a set of reservations holds together. patientTokens is the part
// of tokens that patient reservations hold.
type load struct {
	tokens         int
	patientTokens  int
	slots          int
	uncachedTokens int
}

func (l *load) add(r *reservation) {
	l.tokens += r.tokens
	if r.reserve.Urgency != oriolebend.Urgent {
		l.patientTokens += r.tokens
	}
	if r.reserve.Phase != message.PhasePrefill {
		l.slots++
		return
	}
	if r.holdsSlot {
		l.slots++
		l.uncachedTokens += r.uncachedTokens
	}
}

// fits reports whether a reservation could be granted now, which means that its
// capacity is free after its lead time.
func (s *State) fits(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return s.fitsPrefill(r)
	case message.PhaseDecode:
		from := s.now.Add(r.leadTime)
		return s.fitsAt(r, from) && s.linkWait(r, from) == 0
	default:
		return s.committed().slots < s.limit.slots()
	}
}

// transfer is a transfer that the server's link carries or is to carry.
type transfer struct {
	from     time.Time
	duration time.Duration
	// rank orders transfers that are due at the same time.
	rank uint64
}

// linkWait returns how much too late a transfer that is due at the given time
// would end, or would make a transfer that is due then or later end, whichever
// is more. It is zero if each of them ends within the time planned for a
// transfer. Without this check, transfers that were granted capacity for the
// same moment wait for each other until prefill results expire, and prefills
// are wasted although decode memory is free.
func (s *State) linkWait(r *reservation, from time.Time) time.Duration {
	own := transfer{from: from, duration: s.predict.transferTime(r), rank: r.sequence}
	bound := max(s.config.TransferWithin/linkDivisor, own.duration)
	var excess time.Duration
	free := s.now
	for _, t := range s.transfers(r, own) {
		free = later(free, t.from).Add(t.duration)
		if !t.from.Before(from) {
			excess = max(excess, free.Sub(t.from)-bound)
		}
	}
	return excess
}

// transfers returns a reservation's own transfer and those that it would share
// the link with, in the order in which they are due.
func (s *State) transfers(r *reservation, own transfer) []transfer {
	all := make([]transfer, 0, len(s.memory.holders)+1)
	all = append(all, own)
	for _, held := range s.memory.holders {
		if held.reserve.Phase != message.PhaseDecode || held.hasOutput || held.stage == stageCancelling {
			continue
		}
		if r.reserve.Urgency == oriolebend.Urgent && held.reserve.Urgency != oriolebend.Urgent {
			continue // its small transfer runs in parallel with theirs
		}
		t := transfer{from: later(held.heldFrom, s.now), duration: s.predict.transferTime(held), rank: held.sequence}
		if held.stage == stageWorking {
			t.duration = max(t.duration-s.now.Sub(held.startedAt), 0)
		}
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b transfer) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.rank, b.rank))
	})
	return all
}

// fitsPrefill lets only a few prefills run at once, so that the queue decides
// the order of work and not the engine. Urgent ones may exceed PrefillSlots:
// the engine honours their priority, and a ping need not wait for the end of a
// long brief.
func (s *State) fitsPrefill(r *reservation) bool {
	held := s.committed()
	if held.tokens+r.tokens > s.engine.info.KVTokens {
		return false
	}
	if r.reserve.Urgency == oriolebend.Urgent {
		return held.slots < s.config.PrefillSlots+s.config.UrgentSlots
	}
	if held.slots >= s.config.PrefillSlots || held.patientTokens+r.tokens > s.maxPatientTokens(r) {
		return false
	}
	return held.slots == 0 || held.uncachedTokens+r.uncachedTokens <= s.config.PrefillBudget
}

// fitsAt reports whether a decode's capacity is free from a moment on, in
// addition to everything that is held and promised.
func (s *State) fitsAt(r *reservation, from time.Time) bool {
	candidate := *r
	candidate.heldFrom = from
	if !s.fitsMoment(&candidate, from) {
		return false
	}
	for _, held := range s.memory.holders {
		if held.heldFrom.After(from) && !s.fitsMoment(&candidate, held.heldFrom) {
			return false
		}
	}
	return true
}

// fitsMoment reports whether a decode's capacity is free at one moment that is
// not before its start.
func (s *State) fitsMoment(r *reservation, at time.Time) bool {
	var urgent, patient expectedLoad
	for _, held := range s.memory.holders {
		s.addExpected(&urgent, &patient, held, at)
	}
	s.addExpected(&urgent, &patient, r, at)
	if urgent.slots+patient.slots > s.slotsFor(r)+slotSlack {
		return false
	}
	total, maxPatient := float64(s.engine.info.KVTokens), float64(s.maxPatientTokens(r))
	margin := s.config.PromiseMargin
	if r.reserve.Urgency == oriolebend.Urgent {
		// Patient promises that became due before their capacity was free can't
		// take more than the patient part.
		return urgent.upperBound(margin)+min(patient.upperBound(margin), maxPatient) <= total
	}
	if patient.upperBound(margin) > maxPatient || patient.slots > s.maxPatientSlots()+slotSlack {
		return false
	}
	urgent.add(patient)
	return urgent.upperBound(margin) <= total
}

// slotsFor returns how many decodes may run together with a reservation, itself
// included. An urgent one may exceed the limit, because after the limit has
// shrunk, patient generations occupy all of it for seconds.
func (s *State) slotsFor(r *reservation) float64 {
	slots := s.limit.slots()
	if r.reserve.Urgency == oriolebend.Urgent {
		slots += max(slots/urgentExtraDivisor, 1)
	}
	return float64(slots)
}

// maxPatientSlots returns how many patient decodes may run together. The step
// time limits a batch long before pings would fill its memory: without slots
// that are kept for them, pings would wait for the end of long generations.
func (s *State) maxPatientSlots() float64 {
	slots := s.limit.slots()
	if s.urgentPeak < 1 {
		return float64(slots)
	}
	return float64(max(slots-slots/urgentSlotDivisor, 1))
}

// addExpected adds what a reservation is expected to hold at a moment.
func (s *State) addExpected(urgent, patient *expectedLoad, held *reservation, at time.Time) {
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

// expectedLoad is what a set of reservations is expected to hold at a moment.
type expectedLoad struct {
	slots    float64
	tokens   float64
	variance float64
}

func (e *expectedLoad) add(other expectedLoad) {
	e.slots += other.slots
	e.tokens += other.tokens
	e.variance += other.variance
}

// upperBound returns an upper bound of the tokens held: the expected value plus
// a margin of so many standard deviations.
func (e *expectedLoad) upperBound(margin float64) float64 {
	return e.tokens + margin*math.Sqrt(e.variance)
}

// updateUrgentPeak raises urgentPeak to the memory that urgent reservations
// hold now.
func (s *State) updateUrgentPeak() {
	held := 0
	for _, r := range s.memory.holders {
		if r.reserve.Urgency == oriolebend.Urgent {
			held += r.tokens
		}
	}
	s.urgentPeak = max(s.urgentPeak, float64(held))
}

// maxPatientTokens returns the memory that patient work may hold together. A
// margin over the recent peak of urgent work is kept free for urgent work.
// Otherwise long generations would hold all memory, and each ping would wait
// for the end of one. A patient reservation that is larger than the rest may
// use the whole memory.
func (s *State) maxPatientTokens(r *reservation) int {
	total := s.engine.info.KVTokens
	urgentTokens := min(int(peakMargin*s.urgentPeak), total/maxUrgentDivisor)
	if r.reserve.Urgency == oriolebend.Patient && r.tokens > total-urgentTokens {
		return total
	}
	return total - urgentTokens
}

// holdsAt predicts the probability that a reservation holds its capacity at a
// moment that is not in the past.
func (s *State) holdsAt(held *reservation, at time.Time) float64 {
	switch {
	case held.heldFrom.After(at):
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

// earliestFit predicts when a decode's capacity is free, which is after its
// lead time at the earliest. It looks ahead in growing steps.
func (s *State) earliestFit(r *reservation) time.Time {
	from := s.now.Add(r.leadTime)
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

// linkShare returns the rate of the server's link divided by one more than the
// number of transfers that share it.
func (s *State) linkShare() float64 {
	transfers := 1
	for _, held := range s.memory.holders {
		transferring := held.stage == stageWorking && held.reserve.Phase == message.PhaseDecode && !held.hasOutput
		if transferring || held.stage == stagePrefilled {
			transfers++
		}
	}
	return s.engine.info.LinkBytes / float64(transfers)
}
