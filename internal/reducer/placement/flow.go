package placement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// flow is how much memory of a service's engines is in use and how fast it becomes
// free.
type flow struct {
	// held is the memory of all places, in tokens.
	held int
	// freed is the memory of places that ended of late, and work the sum of their
	// memory times their seconds; work by freed is how long a token is held.
	freed, work float64
	// size is the usual memory of a request times the tokens that it writes.
	size float64
	// ended counts the places that were learnt from.
	ended int
	// sizes is how often requests of different sizes were served of late.
	sizes sizes
	// nextReturn is when the next refused caller is asked to come back.
	nextReturn time.Time
}

const (
	// flowMemory is the weight with which a place that has ended is forgotten with
	// each later one: about the last two hundred count, some seconds of a large
	// site.
	flowMemory = 0.995
	// enoughEnded is how many places must have ended for a judgement.
	enoughEnded = 30
)

func (s *State) flow(service string) *flow {
	f := s.flows[service]
	if f == nil {
		f = &flow{}
		s.flows[service] = f
	}
	return f
}

func (f *flow) take(memory int) { f.held += memory }

// weight is how much of an engine a request is likely to take beside the others of
// its service, by its memory and the tokens that it writes while it holds it.
//
// In a peak not all can be served. Those that take as much as three others are turned
// away at a shorter queue, and come back when it is over: of the requests that were
// lost in peaks, refused and refused again, this saves between a fifth and a half,
// on four days of large sites. The bounds keep the largest from being turned away
// whenever anybody waits, and the smallest from waiting until they are late.
func (f *flow) weight(n dispatch.Need) float64 {
	size := float64(n.Memory()) * float64(max(1, n.Output))
	if f.size == 0 {
		f.size = size
	}
	f.size += sizeWeight * (size - f.size)
	return min(weightMost, max(weightLeast, size/f.size))
}

const (
	weightLeast, weightMost = 0.5, 2.0
	// sizeWeight is how much each request counts for the usual size.
	sizeWeight = 0.01
)

// free takes a place back and learns from how long it was held. One that the
// engine had no room for tells nothing.
func (f *flow) free(at time.Time, p place, outcome dispatch.Outcome) {
	memory := p.Need.Memory()
	f.held = max(0, f.held-memory)
	if outcome == dispatch.OutcomeFull {
		return
	}
	f.ended++
	f.freed = f.freed*flowMemory + float64(memory)
	f.work = f.work*flowMemory + float64(memory)*at.Sub(p.since).Seconds()
}

// usual is how long a token of memory is held, which is how long a place is that takes
// as much as others.
func (f *flow) usual() (time.Duration, bool) {
	if f.ended < enoughEnded || f.freed <= 0 {
		return 0, false
	}
	return time.Duration(f.work / f.freed * float64(time.Second)), true
}

// drain is the memory that becomes free in a second, by Little's law: what is held
// over the time that it is held for. Counting what was freed in the last seconds
// would show how much was asked for, and at the beginning of a peak that is far
// below what the engines can carry.
func (f *flow) drain() (float64, bool) {
	if f.ended < enoughEnded || f.work <= 0 || f.held == 0 {
		return 0, false
	}
	return float64(f.held) * f.freed / f.work, true
}

// wait is how long it takes until an amount of memory has become free, if a share
// of what becomes free counts.
func (f *flow) wait(memory int, share float64) (time.Duration, bool) {
	drain, known := f.drain()
	if !known {
		return 0, false
	}
	return time.Duration(float64(memory) / (drain * share) * float64(time.Second)), true
}

const (
	// returnFirst is when the first of the refused callers come back: peaks last
	// for seconds, and a caller that meets the same peak again is refused again.
	// Three seconds were measured to be worth a hundredth less on days with peaks
	// of five.
	returnFirst = 4 * time.Second
	// returnLast is the latest time; callers do not wait longer than for a third
	// of the time that they have.
	returnLast = 4600 * time.Millisecond
	// returnShare is the share of the memory becoming free that is promised to
	// callers that come back; the rest is for the usual load.
	returnShare = 0.3
)

// returnAfter tells a refused caller when to come back. Callers are spread out as
// memory becomes free: were they all told the same, they would meet again.
func (f *flow) returnAfter(at time.Time, memory int) time.Duration {
	if first := at.Add(returnFirst); f.nextReturn.Before(first) {
		f.nextReturn = first
	}
	after := f.nextReturn.Sub(at)
	if after >= returnLast {
		return returnLast
	}
	if step, known := f.wait(memory, returnShare); known {
		f.nextReturn = f.nextReturn.Add(step)
	}
	return after
}
