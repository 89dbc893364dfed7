package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/internal/reducer/ranks"
)

// demand is how much an organisation requests. All of it is lost with the process, and nothing
// is reserved until enough requests were seen.
type demand struct {
	at time.Time
	// spare is the part of the quota that would be left if every request had been granted:
	// below zero, the organisation requests more than its quota.
	spare float64
	// ranks is how much it requests by rank. Calls that are repeated count once.
	ranks ranks.Uses
}

const (
	// excessMemory is for how long an excess of requests counts: an organisation that
	// requests nothing is within its quota again after that time.
	excessMemory = time.Second
	// mostReserved is the largest reserved part of the burst. The rest takes up what is
	// refilled until the next request, which is lost once the bucket is full.
	mostReserved = 0.5
	// leastAvailable bounds the retry times of a rank that is hardly used.
	leastAvailable = 0.02
)

// observe counts a request, unless it repeats one that was refused.
func (d *demand) observe(e Requested, b *limit.Bucket, repeated bool) {
	d.advance(e.At, b)
	if repeated || e.Late {
		return
	}
	d.spare = max(d.spare-e.Cost, -excessMemory.Seconds()*b.PerSecond)
	d.ranks.Request(e.Rank, min(e.Cost, b.Burst)) // the bucket need not hold more for a request
	d.ranks.Settle(e.Rank, 1, 0)
}

func (d *demand) advance(at time.Time, b *limit.Bucket) {
	if d.at.IsZero() {
		d.at, d.spare = at, b.Burst
	}
	if passed := at.Sub(d.at).Seconds(); passed > 0 {
		d.at, d.spare = at, d.spare+passed*b.PerSecond
	}
	d.spare = min(d.spare, b.Burst)
	d.ranks.Advance(at)
}

// exceeded reports whether the organisation requests more than its quota.
func (d *demand) exceeded() bool { return d.spare < 0 }

// reserved returns the units that a request of a rank leaves to more urgent ones: what they may
// take from the bucket until the refill has made up for it. A rank that is served too seldom
// leaves only one request: otherwise it would refuse a more urgent one now.
func (d *demand) reserved(rank int, b *limit.Bucket) float64 {
	urgent := d.ranks.MoreUrgent(rank)
	switch {
	case !d.exceeded() || urgent.None():
		return 0
	case d.ranks.Behind(rank):
		return urgent.Size()
	}
	return min(mostReserved*b.Burst, urgent.Peak(b.PerSecond))
}

// available returns the share of the quota that is left for a rank.
func (d *demand) available(rank int, b *limit.Bucket) float64 {
	if d.reserved(rank, b) == 0 {
		return 1
	}
	left := 1 - d.ranks.MoreUrgent(rank).Load(b.PerSecond)
	return min(1, max(leastAvailable, ranks.MinShare*d.ranks.Part(rank), left))
}

// line returns the line of promises for a rank: one for all ranks unless units are reserved for
// more urgent ones.
func (d *demand) line(rank int) int {
	if !d.exceeded() || d.ranks.MoreUrgent(rank).None() {
		return 0
	}
	return rank
}
