// Package peak holds the highest of the values that were reported within a period, in constant time
// a report on average.
package peak

import (
	"cmp"
	"slices"
	"time"
)

// Peak is the highest of the recently reported values. Its zero value has none.
type Peak[V cmp.Ordered] struct {
	// Period is for how long a value counts.
	Period time.Duration
	// reports are in the order of time; each is higher than all after it.
	reports []report[V]
}

type report[V cmp.Ordered] struct {
	at    time.Time
	value V
}

// Report adds a value.
func (p *Peak[V]) Report(at time.Time, value V) {
	p.expire(at)
	lower := slices.IndexFunc(p.reports, func(r report[V]) bool { return r.value <= value })
	if lower >= 0 {
		p.reports = p.reports[:lower]
	}
	p.reports = append(p.reports, report[V]{at: at, value: value})
}

// Highest returns the highest value that counts; the last report counts however old it is. It
// returns the zero value if none was reported.
func (p *Peak[V]) Highest(at time.Time) V {
	p.expire(at)
	if len(p.reports) == 0 {
		var none V
		return none
	}
	return p.reports[0].value
}

// LastReport returns the time of the last report, zero if there was none.
func (p *Peak[V]) LastReport() time.Time {
	if len(p.reports) == 0 {
		return time.Time{}
	}
	return p.reports[len(p.reports)-1].at
}

func (p *Peak[V]) expire(at time.Time) {
	for len(p.reports) > 1 && at.Sub(p.reports[0].at) > p.Period {
		p.reports = p.reports[1:]
	}
}
