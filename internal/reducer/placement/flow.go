package placement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// flow is how much memory of a service's engines is in use and how fast it becomes
// free.
type flow struct {
	// held is the memory of all placements, in tokens.
	held int
	// freed is the memory of recently ended placements, and work the sum of their
	// memory times the seconds for which it was held; work divided by freed is how long a
	// token of memory is held. Both decay with each ended placement.
	freed, work float64
	// size is the usual memory of a request times the tokens that it writes.
	size float64
	// ended counts the placements that are included in freed and work.
	ended int
	// sizes is how often requests of different sizes were served recently.
	sizes sizes
	// demand is what was requested recently by rank.
	demand demand
	// nextReturn is when the next refused caller is asked to return.
	nextReturn time.Time
}

const (
	// flowDecay is the factor by which the weight of an ended placement decays with each
	// later one: about the last two hundred count, some seconds of a large site.
	flowDecay = 0.995
	// enoughEnded is how many placements must have ended for an estimate.
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

func (f *flow) hold(memory int) { f.held += memory }

// weight is how much of an engine a request is likely to use relative to other requests of
// its service, by its memory times the tokens that it writes while it holds the memory.
//
// In a peak not all requests can be served. Those that use as much as three others are refused at a
// shorter queue, and return when the peak is over. At large sites, this saves between a fifth and a
// half of the requests that would otherwise be lost in peaks because they are refused twice. The
// bounds prevent the largest requests from being refused whenever any request waits, and the
// smallest from waiting until they are late.
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
	// sizeWeight is the weight of each request in the usual size.
	sizeWeight = 0.01
)

// free releases the memory of a placement and records how long it was held. A placement
// for which the engine had no room is not recorded.
func (f *flow) free(at time.Time, p placement, outcome dispatch.Outcome) {
	memory := p.Need.Memory()
	f.held = max(0, f.held-memory)
	if outcome == dispatch.OutcomeFull {
		return
	}
	f.ended++
	f.freed = f.freed*flowDecay + float64(memory)
	f.work = f.work*flowDecay + float64(memory)*at.Sub(p.since).Seconds()
}

// usualTime is how long a token of memory is held, which equals the time of a placement of
// usual size. It returns false until enoughEnded placements have ended.
func (f *flow) usualTime() (time.Duration, bool) {
	if f.ended < enoughEnded || f.freed <= 0 {
		return 0, false
	}
	return time.Duration(f.work / f.freed * float64(time.Second)), true
}

// freeRate is the memory that becomes free per second, by Little's law: the memory held divided by
// the time for which it is held. It returns false if that is not known. The memory freed in the
// last seconds would reflect the demand instead, which at the beginning of a peak is far below the
// capacity of the engines.
func (f *flow) freeRate() (float64, bool) {
	if f.ended < enoughEnded || f.work <= 0 || f.held == 0 {
		return 0, false
	}
	return float64(f.held) * f.freed / f.work, true
}

// timeToFree is how long it takes until an amount of memory has become free, if only a share
// of the memory becoming free counts. It returns false if the rate is not known.
func (f *flow) timeToFree(memory int, share float64) (time.Duration, bool) {
	rate, known := f.freeRate()
	if !known {
		return 0, false
	}
	return time.Duration(float64(memory) / (rate * share) * float64(time.Second)), true
}

const (
	// returnFirst is the retry delay of the first refused caller: peaks last for seconds, and a
	// caller that returns during the same peak is refused again. With three seconds, the requests
	// served on days with peaks of five seconds were worth a hundredth less.
	returnFirst = 4 * time.Second
	// returnLast is the longest retry delay; callers wait no longer than for a third
	// of the time that they have.
	returnLast = 4600 * time.Millisecond
	// returnShare is the share of the memory becoming free that is promised to
	// returning callers; the rest is for the usual load.
	returnShare = 0.3
)

// retryDelay is the retry delay for a refused caller. The delays are spread out at the rate
// at which memory becomes free: with equal delays all callers would return at the same time.
func (f *flow) retryDelay(at time.Time, memory int) time.Duration {
	if first := at.Add(returnFirst); f.nextReturn.Before(first) {
		f.nextReturn = first
	}
	after := f.nextReturn.Sub(at)
	if after >= returnLast {
		return returnLast
	}
	if step, known := f.timeToFree(memory, returnShare); known {
		f.nextReturn = f.nextReturn.Add(step)
	}
	return after
}
