package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// queue holds the reservations that wait: urgent ones before patient ones;
// within an urgency by weighted fair queueing over the organisations; within an
// organisation by the time of acceptance.
type queue struct {
	urgent  class
	patient class
	length  int
	// changed is true if a grant may have become possible.
	changed bool
	// credit is the work, in cost, that aged patient reservations may take
	// before urgent ones.
	credit       float64
	patientShare float64
	ageAfter     time.Duration
}

func newQueue(c Config) queue {
	return queue{
		urgent:       newClass(c),
		patient:      newClass(c),
		patientShare: c.PatientShare,
		ageAfter:     c.AgeAfter,
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
	c.prepare(r.reserve.Organisation)
	c.add(r)
	q.length++
}

// putBack adds a reservation that was passed. Its organisation keeps its turn.
func (q *queue) putBack(r *reservation) {
	q.class(r.reserve.Urgency).add(r)
	q.length++
}

func (q *queue) remove(r *reservation) {
	q.class(r.reserve.Urgency).remove(r)
	q.length--
}

// next returns the reservation to serve first, or nil.
//
// Patient reservations that are old enough are entitled to a share. Each urgent
// grant that passes one earns credit, and once the credit covers the cost of
// the patient one, it goes first. So a steady load of urgent work slows patient
// work down to its share and never stops it, and the loss of urgent work is
// bounded by the same share.
func (q *queue) next(now time.Time) *reservation {
	urgent := q.urgent.first()
	patient := q.patient.first()
	if urgent == nil {
		return patient
	}
	if patient == nil || !q.patientAged(now) || q.credit < patient.cost {
		return urgent
	}
	return patient
}

// patientAged reports whether a patient reservation has waited long enough for
// its share.
func (q *queue) patientAged(now time.Time) bool {
	return now.Sub(q.patient.oldest()) >= q.ageAfter
}

// chargeGrant accounts for a reservation that leaves the queue with a grant.
func (q *queue) chargeGrant(r *reservation, now time.Time) {
	if r.reserve.Urgency == oriolebend.Urgent {
		if q.patient.length > 0 && q.patientAged(now) {
			q.credit += r.cost * q.patientShare / (1 - q.patientShare)
			q.credit = min(q.credit, q.patient.maxHeadCost())
		}
	} else {
		q.credit = max(q.credit-r.cost, 0)
	}
	q.class(r.reserve.Urgency).charge(r)
	if q.patient.length == 0 {
		q.credit = 0
	}
}

// evictionCandidate returns the reservation to evict from a full queue in
// favour of r. It is the latest one of the organisation that has most waiting
// in r's urgency, if that organisation has more waiting than r's own. If r is
// urgent and patient ones wait, it is the latest patient one of the
// organisation that has most of them. It returns nil if r itself is to be
// refused.
func (q *queue) evictionCandidate(r *reservation) *reservation {
	own := q.class(r.reserve.Urgency)
	if longest := q.patient.longest(); r.reserve.Urgency == oriolebend.Urgent && longest != nil {
		return longest.last()
	}
	longest := own.longest()
	if len(longest.waiting) <= len(own.orgQueues[r.reserve.Organisation].waiting) {
		return nil
	}
	return longest.last()
}

// countAhead counts the reservations that are likely to be served before r.
func (q *queue) countAhead(r *reservation) int {
	count := q.class(r.reserve.Urgency).countAhead(r)
	if r.reserve.Urgency == oriolebend.Patient {
		count += q.urgent.length
	}
	return count
}

// costAhead sums the cost of the work that is likely to be served before r. It
// also works for an r that is not in the queue.
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
		for _, oq := range c.active {
			all = append(all, oq.waiting...)
		}
	}
	slices.SortFunc(all, func(a, b *reservation) int { return cmp.Compare(a.sequence, b.sequence) })
	return all
}

// lateReservation is a waiting reservation that is predicted to start too late.
type lateReservation struct {
	reservation *reservation
	wait        time.Duration
}

// late returns the waiting reservations whose first result can't come before
// their deadline: either certainly, or because the predicted wait exceeds the
// time left by more than half.
func (q *queue) late(s *State) []lateReservation {
	var late []lateReservation
	earlierCost := 0.0
	for _, c := range []*class{&q.urgent, &q.patient} {
		for _, oq := range c.active {
			ownCost := 0.0
			for _, r := range oq.waiting {
				costAhead := earlierCost + min(c.cost-r.cost, ownCost*float64(len(c.active)))
				ownCost += r.cost
				if r.deadlineAt.IsZero() {
					continue
				}
				wait := s.waitBehind(r, costAhead)
				left := r.deadlineAt.Sub(s.now) - r.leadTime - s.predict.firstResultTime(r)
				if left < 0 || wait > left+left/2 {
					late = append(late, lateReservation{reservation: r, wait: wait})
				}
			}
		}
		earlierCost = c.cost
	}
	slices.SortFunc(late, func(a, b lateReservation) int {
		return cmp.Compare(a.reservation.sequence, b.reservation.sequence)
	})
	return late
}
