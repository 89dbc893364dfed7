package placement

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// sizes is how often requests of different sizes were served recently.
//
// While memory is short, a small request fits wherever a large one does, and at more engines
// besides. If memory were granted to any request that fits, the memory becoming free would go to
// small requests for as long as the shortage lasts, and large ones would hardly be served. The
// symptom is that one in ten of the largest tenth of prompts is served while one in two of all
// prompts is. A size class that has fallen behind is preferred until it has caught up.
type sizes struct {
	at time.Time
	// usual is the usual memory of a request.
	usual   float64
	all     settledCounts
	classes [sizeClasses]settledCounts
}

// settledCounts counts settled requests with exponential decay.
type settledCounts struct{ settled, served float64 }

// sizeClasses is the number of size classes, and sizeBounds the upper bound of each class but the
// last, relative to the usual memory of a request. Where the standard deviation of sizes is half
// of their mean, each class holds a third to a sixth of the requests.
const sizeClasses = 5

var sizeBounds = [sizeClasses - 1]float64{0.75, 1.05, 1.35, 1.7}

const (
	// usualWeight is the weight of each request in the usual memory.
	usualWeight = 0.02
	// sizesHalf is the half-life of the counts.
	sizesHalf = 10 * time.Second
	// enoughSettled is how many requests of a class must have been served or refused to
	// compare how often the class is served.
	enoughSettled = 8.0
	// behindFrom is the part of the share of all requests served below which a class has
	// fallen behind.
	behindFrom = 0.6
)

// classOf returns the size class of an arriving request.
func (z *sizes) classOf(memory int) int {
	if z.usual == 0 {
		z.usual = float64(memory)
	}
	z.usual += usualWeight * (float64(memory) - z.usual)
	for class, bound := range sizeBounds {
		if float64(memory) < bound*z.usual {
			return class
		}
	}
	return sizeClasses - 1
}

// countSettled counts a request that was granted or refused a placement.
func (z *sizes) countSettled(at time.Time, class int, served bool) {
	z.decay(at)
	z.all.count(served)
	z.classes[class].count(served)
}

func (s *settledCounts) count(served bool) {
	s.settled++
	if served {
		s.served++
	}
}

// decay reduces the counts by the time since the last call.
func (z *sizes) decay(at time.Time) {
	if passed := at.Sub(z.at); passed > 0 && !z.at.IsZero() {
		factor := math.Exp2(-passed.Seconds() / sizesHalf.Seconds())
		z.all.scale(factor)
		for class := range z.classes {
			z.classes[class].scale(factor)
		}
	}
	z.at = at
}

func (s *settledCounts) scale(factor float64) {
	s.settled, s.served = s.settled*factor, s.served*factor
}

// relativeShare is the share of a class that is served, relative to the share of all requests;
// one if too little is known.
func (z *sizes) relativeShare(class int) float64 {
	c := z.classes[class]
	if c.settled < enoughSettled || z.all.served <= 0 {
		return 1
	}
	return c.served / c.settled * z.all.settled / z.all.served
}

// behind reports whether a class is served much less often than all requests.
func (z *sizes) behind(class int) bool { return z.relativeShare(class) < behindFrom }

// queueFactor is the factor on the queue that a request of a class is assumed to wait behind. While
// any class has fallen behind, the factor is lower for classes that are served less often than
// others, and higher for those that are served more often.
func (z *sizes) queueFactor(class int) float64 {
	for other := range z.classes {
		if z.behind(other) {
			relative := z.relativeShare(class)
			return min(queueFactorMost, max(queueFactorLeast, relative*relative))
		}
	}
	return 1
}

const queueFactorLeast, queueFactorMost = 0.2, 3.0

// mostReserved is the largest share of a service's engines that is reserved at a time.
const mostReserved = 0.5

// reserveEngine reserves the engine with the most free memory for a request that fits nowhere,
// until the request fits there. Otherwise smaller requests would take the memory that becomes
// free there piece by piece.
func (s *State) reserveEngine(at time.Time, q *request) {
	if _, has := s.reserved[q.key]; has {
		return
	}
	need := q.need
	need.Excluded = s.excludedFor(q)
	engine, engines := dispatch.MostFreeEngine(s.engines, at, need)
	if float64(len(s.reserved)+1) <= mostReserved*float64(engines+len(s.reserved)) {
		s.reserved[q.key] = engine
	}
}

// excludedFor returns the engines that a request must not use: those that accept nothing from its
// forwarder, and those that are reserved for other requests.
func (s *State) excludedFor(q *request) []string {
	if len(s.reserved) == 0 {
		return q.need.Excluded
	}
	excluded := q.need.Excluded[:len(q.need.Excluded):len(q.need.Excluded)]
	for key, engine := range s.reserved {
		if key != q.key {
			excluded = append(excluded, engine)
		}
	}
	return excluded
}

// releaseReserved releases engines that were reserved for requests which no longer wait.
func (s *State) releaseReserved() {
	if len(s.reserved) == 0 {
		return
	}
	waiting := make(map[Key]struct{}, len(s.waiting))
	for _, q := range s.waiting {
		waiting[q.key] = struct{}{}
	}
	for key := range s.reserved {
		if _, waits := waiting[key]; !waits {
			delete(s.reserved, key)
		}
	}
}
