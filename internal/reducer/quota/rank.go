package quota

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
)

// maxRanks is the number of ranks that are told apart; less urgent ones count as the last.
const maxRanks = 10

// ranks is how much an organisation requests by rank. All of it is lost with the process, and
// nothing is reserved until enough requests were seen.
type ranks struct {
	at time.Time
	// spare is the part of the quota that would be left if every request had been granted:
	// below zero, the organisation requests more than its quota.
	spare float64
	uses  [maxRanks]rankUse
}

// rankUse is how much is requested at one rank. Calls that are repeated count once.
type rankUse struct {
	// requests and units decay with rateDecay.
	requests, units float64
	// asked and served count requests and decay with shareDecay.
	asked, served float64
	// behind is set from when the rank is served too seldom until it has caught up.
	behind bool
}

const (
	// rateDecay and shareDecay are the time constants of the counts. Demand changes within
	// seconds; a rank must get its minimum share within any ten seconds.
	rateDecay  = 4 * time.Second
	shareDecay = 5 * time.Second
	// excessMemory is for how long an excess of requests counts: an organisation that
	// requests nothing is within its quota again after that time.
	excessMemory = time.Second
	// enoughRequests is how many recent requests of more urgent ranks are needed to reserve
	// units for them, and enoughAsked how many of a rank to compare how often it is served.
	enoughRequests = 2.0
	enoughAsked    = 4.0
	// minShare is the part of the share of all requests served below which a rank is
	// exempt from the reservation, and caughtUp the part at which that ends.
	minShare, caughtUp = 0.65, 0.75
	// shortfall is the probability with which more urgent requests may find less than they
	// need because a less urgent one was granted.
	shortfall = 0.05
	// mostReserved is the largest reserved part of the burst. The rest takes up what is
	// refilled until the next request, which is lost once the bucket is full.
	mostReserved = 0.5
)

// observe counts a request, unless it repeats one that was refused.
func (r *ranks) observe(e Requested, b *limit.Bucket, repeated bool) {
	r.advance(e.At, b)
	if repeated || e.Late {
		return
	}
	u := &r.uses[e.Rank]
	u.requests, u.units, u.asked = u.requests+1, u.units+e.Cost, u.asked+1
	r.spare = max(r.spare-e.Cost, -excessMemory.Seconds()*b.PerSecond)
	r.compare()
}

func (r *ranks) countServed(rank int) {
	r.uses[rank].served++
	r.compare()
}

// advance decays the counts by the time since the last call.
func (r *ranks) advance(at time.Time, b *limit.Bucket) {
	passed := at.Sub(r.at).Seconds()
	if r.at.IsZero() {
		r.at, r.spare, passed = at, b.Burst, 0
	}
	if passed > 0 {
		r.at = at
		r.spare += passed * b.PerSecond
		rate, share := math.Exp(-passed/rateDecay.Seconds()), math.Exp(-passed/shareDecay.Seconds())
		for i := range r.uses {
			u := &r.uses[i]
			u.requests, u.units = u.requests*rate, u.units*rate
			u.asked, u.served = u.asked*share, u.served*share
		}
	}
	r.spare = min(r.spare, b.Burst)
}

// compare finds the ranks that are served too seldom.
func (r *ranks) compare() {
	asked, served := 0.0, 0.0
	for _, u := range r.uses {
		asked, served = asked+u.asked, served+u.served
	}
	for i := range r.uses {
		u := &r.uses[i]
		share := minShare
		if u.behind {
			share = caughtUp
		}
		u.behind = u.asked >= enoughAsked && u.served*asked < share*served*u.asked
	}
}

// exceeded reports whether the organisation requests more than its quota.
func (r *ranks) exceeded() bool { return r.spare < 0 }

// moreUrgent sums what is requested at more urgent ranks that have enough requests.
func (r *ranks) moreUrgent(rank int) rankUse {
	var sum rankUse
	for _, u := range r.uses[:rank] {
		if u.requests >= enoughRequests {
			sum.requests, sum.units = sum.requests+u.requests, sum.units+u.units
		}
	}
	return sum
}

// load is the units requested a second, relative to the quota.
func (u rankUse) load(b *limit.Bucket) float64 {
	return u.units / rateDecay.Seconds() / b.PerSecond
}

// reserved returns the units that a request of a rank leaves to more urgent ones.
//
// Their requests take from the bucket while it is refilled. If they arrive at random, the
// probability that they take k requests more than is refilled before they have made up for it
// is load^k. The reservation is the amount for which that is shortfall. A rank that is served
// too seldom leaves only one request: otherwise it would refuse a more urgent one now.
func (r *ranks) reserved(rank int, b *limit.Bucket) float64 {
	urgent := r.moreUrgent(rank)
	if !r.exceeded() || urgent.requests == 0 {
		return 0
	}
	size, load := urgent.units/urgent.requests, urgent.load(b)
	switch {
	case r.uses[rank].behind:
		return size
	case load >= 1:
		return mostReserved * b.Burst
	}
	return min(mostReserved*b.Burst, size*max(1, math.Log(shortfall)/math.Log(load)))
}

// available returns the share of the quota that is left for a rank.
func (r *ranks) available(rank int, b *limit.Bucket) float64 {
	if r.reserved(rank, b) == 0 {
		return 1
	}
	total := 0.0
	for _, u := range r.uses {
		total += u.units
	}
	least := minShare * r.uses[rank].units / total
	return min(1, max(leastAvailable, least, 1-r.moreUrgent(rank).load(b)))
}

// leastAvailable bounds the retry times of a rank that is hardly used.
const leastAvailable = 0.02

// line returns the line of promises for a rank: one for all ranks unless units are reserved for
// more urgent ones.
func (r *ranks) line(rank int) int {
	if !r.exceeded() || r.moreUrgent(rank).requests == 0 {
		return 0
	}
	return rank
}
