package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// backfillDepth is how many reservations behind the first that doesn't
	// fit are tried as well.
	backfillDepth = 8
	// passedFor is for how many times AgeAfter urgent prefills may pass an
	// aged patient one that has no room.
	passedFor = 4
)

// queue holds the reservations that wait: urgent ones before patient ones,
// within each by weighted fair queueing over the organisations, within each
// organisation by the time of acceptance.
type queue struct {
	urgent  class
	patient class
	length  int
	// changed is true if a grant may have become possible.
	changed bool
	// credit is the work, in cost, that aged patient reservations may take
	// before urgent ones.
	credit float64
	share  float64
	ageing time.Duration
}

func newQueue(c Config) queue {
	return queue{
		urgent:  newClass(c),
		patient: newClass(c),
		share:   c.PatientShare,
		ageing:  c.AgeAfter,
	}
}

func (q *queue) class(u oriolebend.Urgency) *class {
	if u == oriolebend.Urgent {
		return &q.urgent
	}
	return &q.patient
}

func (q *queue) add(r *reservation) {
	c := q.class(r.reserve.Urgency)
	c.arrive(r.reserve.Organisation)
	c.add(r)
	q.length++
}

// putBack adds one that was passed over; its organisation keeps its turn.
func (q *queue) putBack(r *reservation) {
	q.class(r.reserve.Urgency).add(r)
	q.length++
}

func (q *queue) remove(r *reservation) {
	q.class(r.reserve.Urgency).remove(r)
	q.length--
}

// next returns the reservation that is to be served first, or nil.
//
// Patient reservations that are old enough have a right to a share: each
// urgent grant that passes one earns credit, and once the credit pays for the
// patient one it goes first. So a steady load of urgent work slows patient
// work down to its share and never stops it, and what urgent work loses is
// bounded by the same share.
func (q *queue) next(now time.Time) *reservation {
	urgent := q.urgent.first()
	patient := q.patient.first()
	if urgent == nil {
		return patient
	}
	if patient == nil || !q.aged(now) || q.credit < patient.cost {
		return urgent
	}
	return patient
}

// aged reports whether a patient reservation has waited long enough.
func (q *queue) aged(now time.Time) bool {
	return now.Sub(q.patient.oldest()) >= q.ageing
}

// served accounts for a reservation that leaves the queue with a grant.
func (q *queue) served(r *reservation, now time.Time) {
	if r.reserve.Urgency == oriolebend.Urgent {
		if q.patient.length > 0 && q.aged(now) {
			q.credit += r.cost * q.share / (1 - q.share)
			q.credit = min(q.credit, q.patient.dearest())
		}
	} else {
		q.credit = max(q.credit-r.cost, 0)
	}
	q.class(r.reserve.Urgency).charge(r)
	if q.patient.length == 0 {
		q.credit = 0
	}
}

// ahead counts the reservations that are likely to be served before r.
func (q *queue) ahead(r *reservation) int {
	count := q.class(r.reserve.Urgency).ahead(r)
	if r.reserve.Urgency == oriolebend.Patient {
		count += q.urgent.length
	}
	return count
}

// costAhead sums the work that is likely to be served before r, which needn't
// be in the queue.
func (q *queue) costAhead(r *reservation) float64 {
	sum := q.class(r.reserve.Urgency).costAhead(r)
	if r.reserve.Urgency == oriolebend.Patient {
		sum += q.urgent.cost
	}
	return sum
}

// all returns every waiting reservation in the order of arrival.
func (q *queue) all() []*reservation {
	var all []*reservation
	for _, c := range []*class{&q.urgent, &q.patient} {
		for _, l := range c.active {
			all = append(all, l.waiting...)
		}
	}
	slices.SortFunc(all, func(a, b *reservation) int { return cmp.Compare(a.order, b.order) })
	return all
}

// lateReservation is one that waits and is predicted to start too late.
type lateReservation struct {
	reservation *reservation
	wait        time.Duration
}

// late returns the waiting reservations whose first result can't come before
// their deadline: for certain, or by a prediction that misses it by half.
func (q *queue) late(s *State) []lateReservation {
	var late []lateReservation
	before := 0.0
	for _, c := range []*class{&q.urgent, &q.patient} {
		for _, l := range c.active {
			own := 0.0
			for _, r := range l.waiting {
				ahead := before + min(c.cost-r.cost, own*float64(len(c.active)))
				own += r.cost
				if r.deadlineAt.IsZero() {
					continue
				}
				wait := s.waitBehind(r, ahead)
				left := r.deadlineAt.Sub(later(r.from, s.now)) - s.predict.first(r)
				if left < 0 || wait > left+left/2 {
					late = append(late, lateReservation{reservation: r, wait: wait})
				}
			}
		}
		before = c.cost
	}
	slices.SortFunc(late, func(a, b lateReservation) int {
		return cmp.Compare(a.reservation.order, b.reservation.order)
	})
	return late
}

// grantQueued grants what has room, in the queue's order.
//
// The first that doesn't fit is promised the earliest room that is predicted
// for it, and what waits behind may only take room that this promise leaves.
// Without the promise small reservations would pass a large one for ever; if
// they might not pass at all, memory would lie idle until the large one fits.
func (s *State) grantQueued() {
	if !s.queue.changed {
		return
	}
	s.queue.changed = false
	if !s.ready() {
		return
	}
	var passed []*reservation
	var promise *reservation
	for len(passed) < backfillDepth {
		r := s.queue.next(s.now)
		if r == nil {
			break
		}
		if len(passed) > 0 && r.reserve.Urgency == oriolebend.Patient && r.reserve.Phase != message.PhaseDecode {
			break
		}
		if s.fits(r) {
			s.grant(r)
			continue
		}
		if !s.mayPass(r) {
			break
		}
		if promise == nil && r.reserve.Phase == message.PhaseDecode {
			promise = s.promise(r)
		}
		s.queue.remove(r)
		passed = append(passed, r)
	}
	if promise != nil {
		s.memory.remove(promise)
	}
	for _, r := range passed {
		s.queue.putBack(r)
	}
}

// mayPass reports whether others may be tried behind a reservation that has no
// room. Slots come free one by one and who takes them is the queue's order, so
// prefills and calls aren't passed, with one exception: an aged patient prefill
// whose turn has come would keep pings waiting for the end of another brief, so
// they may pass it while a brief is computed or only memory lacks. This too
// has its end, or pings could keep the memory short for ever.
func (s *State) mayPass(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhaseDecode:
		return true
	case message.PhaseCall:
		return false
	}
	if r.reserve.Urgency == oriolebend.Urgent || s.queue.urgent.length == 0 {
		return false
	}
	if s.now.Sub(r.acceptedAt) > passedFor*s.config.AgeAfter {
		return false
	}
	return s.computesPatient() || s.committed().slots < s.config.PrefillSlots
}

// computesPatient reports whether a patient prefill takes a slot now.
func (s *State) computesPatient() bool {
	for _, held := range s.memory.holders {
		if held.computing && held.reserve.Urgency == oriolebend.Patient {
			return true
		}
	}
	return false
}

// promise holds the earliest room that is predicted for r, by a stand-in that
// is taken away at the end of the round.
func (s *State) promise(r *reservation) *reservation {
	held := *r
	held.stage = stageGranted
	held.from = s.earliest(r)
	held.until = held.from.Add(held.took)
	s.memory.add(&held)
	return &held
}

// grant gives a waiting reservation its room.
func (s *State) grant(r *reservation) {
	s.queue.remove(r)
	s.queue.served(r, s.now)
	r.stage = stageGranted
	r.from = later(r.from, s.now)
	r.until = r.from.Add(r.took)
	r.paused = s.paused
	r.computing = r.reserve.Phase == message.PhasePrefill
	s.memory.add(r)
	if r.offered {
		s.emit(Reply{Session: r.session, Message: message.Grant{
			Attempt:  r.reserve.Attempt,
			LeaseFor: s.config.Lease,
		}})
	}
}

// class holds the waiting reservations of one urgency.
type class struct {
	shares map[string]float64
	lines  map[string]*line
	// active is a heap of the lines that hold reservations.
	active lineHeap
	// virtual is the virtual time of the last line served; a line that was
	// empty starts from it and gains nothing by having been away.
	virtual float64
	length  int
	cost    float64
}

// line holds the waiting reservations of one organisation.
type line struct {
	organisation string
	virtual      float64
	cost         float64
	waiting      []*reservation
	index        int
}

// idleLines is how many lines without reservations are kept with their
// virtual time.
const idleLines = 1024

func newClass(c Config) class {
	return class{shares: c.Shares, lines: map[string]*line{}}
}

func (c *class) first() *reservation {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].waiting[0]
}

// arrive readies an organisation's line for one more; after having been empty
// it starts from the present virtual time.
func (c *class) arrive(organisation string) {
	l := c.lines[organisation]
	if l == nil {
		c.forgetIdle()
		l = &line{organisation: organisation}
		c.lines[organisation] = l
	}
	if len(l.waiting) == 0 {
		l.virtual = max(l.virtual, c.virtual)
	}
}

func (c *class) add(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	l.waiting = slices.Insert(l.waiting, at, r)
	l.cost += r.cost
	c.cost += r.cost
	c.length++
	if len(l.waiting) == 1 {
		heap.Push(&c.active, l)
		return
	}
	heap.Fix(&c.active, l.index)
}

func (c *class) remove(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	l.waiting = slices.Delete(l.waiting, at, at+1)
	l.cost -= r.cost
	c.cost -= r.cost
	c.length--
	if len(l.waiting) > 0 {
		heap.Fix(&c.active, l.index)
		return
	}
	l.cost = 0
	heap.Remove(&c.active, l.index)
	if c.length == 0 {
		c.cost = 0
	}
}

// charge moves the virtual time of the reservation's organisation on by its
// cost over the organisation's share.
func (c *class) charge(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	share := c.shares[l.organisation]
	if share <= 0 {
		share = 1
	}
	c.virtual = max(c.virtual, l.virtual)
	l.virtual += r.cost / share
	if len(l.waiting) > 0 {
		heap.Fix(&c.active, l.index)
	}
}

// oldest is the earliest acceptance among the waiting.
func (c *class) oldest() time.Time {
	var oldest time.Time
	for _, l := range c.active {
		at := l.waiting[0].acceptedAt
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// dearest is the largest cost among the first of each line; it bounds the
// credit of the aged.
func (c *class) dearest() float64 {
	dearest := 0.0
	for _, l := range c.active {
		dearest = max(dearest, l.waiting[0].cost)
	}
	return dearest
}

// ahead counts those before r: with fair shares, as many of each other line
// as are before it in its own.
func (c *class) ahead(r *reservation) int {
	l := c.lines[r.reserve.Organisation]
	if l == nil {
		return 0
	}
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	return min(c.length-1, (at+1)*len(c.active)-1)
}

// costAhead sums the work before r in the same way.
func (c *class) costAhead(r *reservation) float64 {
	own := 0.0
	others := len(c.active)
	if l := c.lines[r.reserve.Organisation]; l != nil && len(l.waiting) > 0 {
		own = l.cost
		others--
	}
	return min(c.cost, own+float64(others)*(own+r.cost))
}

// forgetIdle drops the lines that are empty once there are many of them.
func (c *class) forgetIdle() {
	if len(c.lines)-len(c.active) < idleLines {
		return
	}
	for name, l := range c.lines {
		if len(l.waiting) == 0 {
			delete(c.lines, name)
		}
	}
}

func byAcceptance(a, b *reservation) int {
	if order := a.acceptedAt.Compare(b.acceptedAt); order != 0 {
		return order
	}
	return cmp.Compare(a.order, b.order)
}

// lineHeap orders lines by virtual time, then by acceptance of their first.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }

func (h lineHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return byAcceptance(h[i].waiting[0], h[j].waiting[0]) < 0
}

func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *lineHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}
