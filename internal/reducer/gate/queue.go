package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
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

// victim returns the reservation that gives way to r in a full queue: the
// latest of the organisation that has most waiting, if that is more than r's
// own, or any patient one if r is urgent. It returns nil if r is to give way.
func (q *queue) victim(r *reservation) *reservation {
	own := q.class(r.reserve.Urgency)
	if longest := q.patient.longest(); r.reserve.Urgency == oriolebend.Urgent && longest != nil {
		return longest.last()
	}
	longest := own.longest()
	if len(longest.waiting) <= len(own.lines[r.reserve.Organisation].waiting) {
		return nil
	}
	return longest.last()
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
				left := r.deadlineAt.Sub(s.now) - r.lead - s.predict.first(r)
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
