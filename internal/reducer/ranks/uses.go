// Package ranks tracks how much is requested at each rank and how often each rank is served. Reducers
// that divide a quota or memory between ranks use it. It is pure: time is an argument of its methods.
package ranks

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Max is the number of ranks that are distinguished; less urgent ones count as the last. Ranks of
// organisations and of their routes together make ten times ten.
const Max = 100

// Limit returns the rank by which a request is counted.
func Limit(rank int) int { return min(max(rank, 0), Max-1) }

// Uses is what is requested and served by rank. Rank 0 is the most urgent. The zero value knows
// of no request.
type Uses struct {
	at time.Time
	// uses holds the ranks that were requested, ordered by rank. Each request visits all of them,
	// and few of the possible ranks are requested.
	uses []use
}

// use is how much is requested at one rank.
type use struct {
	rank int
	// requests and units decay with rateDecay.
	requests, units float64
	// settled and served count requests and decay with shareDecay.
	settled, served float64
	// behind is set from when the rank is served too seldom until it has caught up.
	behind bool
}

const (
	// rateDecay and shareDecay are the time constants of the counts. Demand changes within
	// seconds; a rank must get its minimum share within any ten seconds.
	rateDecay  = 4 * time.Second
	shareDecay = 5 * time.Second
	// enoughRequests is how many recent requests of a rank are needed to reserve for it, and
	// enoughSettled how many to compare how often it is served.
	enoughRequests = 2.0
	enoughSettled  = 4.0
	// MinShare is the part of the share of all requests served below which a rank has
	// fallen behind, and caughtUp the part at which it has caught up. A rank goes on falling
	// until its next request is served; with 0.65 it stays above 0.6.
	MinShare = 0.65
	caughtUp = 0.75
	// shortfall is the probability with which a reservation may be too small.
	shortfall = 0.05
)

// Advance decays the counts by the time since the last call.
func (u *Uses) Advance(at time.Time) {
	passed := at.Sub(u.at).Seconds()
	if passed <= 0 {
		return
	}
	if !u.at.IsZero() {
		rate, share := math.Exp(-passed/rateDecay.Seconds()), math.Exp(-passed/shareDecay.Seconds())
		for i := range u.uses {
			r := &u.uses[i]
			r.requests, r.units = r.requests*rate, r.units*rate
			r.settled, r.served = r.settled*share, r.served*share
		}
	}
	u.at = at
}

// search returns the index of a rank in uses, or the one at which it would be inserted.
func (u *Uses) search(rank int) (index int, found bool) {
	return slices.BinarySearchFunc(u.uses, rank, func(r use, rank int) int { return cmp.Compare(r.rank, rank) })
}

// find returns the use of a rank, which is empty if the rank was never requested.
func (u *Uses) find(rank int) use {
	if i, found := u.search(rank); found {
		return u.uses[i]
	}
	return use{rank: rank}
}

// add returns the use of a rank for a change.
func (u *Uses) add(rank int) *use {
	i, found := u.search(rank)
	if !found {
		u.uses = slices.Insert(u.uses, i, use{rank: rank})
	}
	return &u.uses[i]
}

// Request counts a new request.
func (u *Uses) Request(rank int, units float64) {
	r := u.add(rank)
	r.requests, r.units = r.requests+1, r.units+units
}

// Settle counts requests that were decided, and how many of them were served.
func (u *Uses) Settle(rank, settled, served int) {
	r := u.add(rank)
	r.settled, r.served = r.settled+float64(settled), r.served+float64(served)
	u.compare()
}

// compare finds the ranks that are served too seldom.
func (u *Uses) compare() {
	var all use
	for _, r := range u.uses {
		all.settled, all.served = all.settled+r.settled, all.served+r.served
	}
	for i := range u.uses {
		r := &u.uses[i]
		share := MinShare
		if r.behind {
			share = caughtUp
		}
		r.behind = r.settled >= enoughSettled && r.served*all.settled < share*all.served*r.settled
	}
}

// Behind reports whether a rank is served too seldom.
func (u *Uses) Behind(rank int) bool { return u.find(rank).behind }

// Part is the part of all requested units that is requested at a rank.
func (u *Uses) Part(rank int) float64 {
	all := 0.0
	for _, r := range u.uses {
		all += r.units
	}
	if all == 0 {
		return 0
	}
	return u.find(rank).units / all
}

// InUse reports whether enough requests of a rank were seen to treat it as a rank of its own.
func (u *Uses) InUse(rank int) bool { return u.find(rank).inUse() }

func (r use) inUse() bool { return r.requests >= enoughRequests }

// MostUrgent returns the most urgent rank in use.
func (u *Uses) MostUrgent() int {
	for _, r := range u.uses {
		if r.inUse() {
			return r.rank
		}
	}
	return 0
}

// Several reports whether more than one rank is in use.
func (u *Uses) Several() bool {
	count := 0
	for _, r := range u.uses {
		if r.inUse() {
			count++
		}
	}
	return count > 1
}

// Demand is what several ranks request.
type Demand struct{ requests, units float64 }

// MoreUrgent returns the demand of the ranks before a rank. Those with few requests are left out.
func (u *Uses) MoreUrgent(rank int) Demand {
	var d Demand
	for _, r := range u.uses {
		if r.rank < rank && r.inUse() {
			d.requests, d.units = d.requests+r.requests, d.units+r.units
		}
	}
	return d
}

// None reports whether nothing is requested.
func (d Demand) None() bool { return d.requests == 0 }

// Size is the usual size of a request.
func (d Demand) Size() float64 { return d.units / d.requests }

// Load is the units requested a second, relative to the units that become available.
func (d Demand) Load(perSecond float64) float64 { return d.units / rateDecay.Seconds() / perSecond }

// Peak is what the requests take beyond what becomes available meanwhile. If they arrive at
// random, they take k requests more with a probability of load^k; Peak is the amount for which
// that is shortfall, and at least one request.
func (d Demand) Peak(perSecond float64) float64 {
	load := d.Load(perSecond)
	if load >= 1 {
		return math.Inf(1)
	}
	return d.Size() * max(1, math.Log(shortfall)/math.Log(load))
}
