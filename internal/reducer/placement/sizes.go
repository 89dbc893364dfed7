package placement

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// sizes is how often requests of different sizes were served of late.
//
// While memory is short a small request fits wherever a large one does, and in more places
// besides. Given to whoever fits, the memory that becomes free goes to small ones for as long as
// the shortage lasts, and large ones are hardly served at all. One notices it by the largest tenth
// of prompts, of which one in ten is served where all are served every second time. A class of
// sizes that has fallen behind goes first until it has not.
type sizes struct {
	at time.Time
	// usual is the usual memory of a request.
	usual float64
	all   share
	parts [sizeClasses]share
}

// share counts requests, as far as they are remembered.
type share struct{ settled, served float64 }

// sizeClasses is how many classes of sizes are told apart, and sizeBounds where each but the last
// ends, by the usual memory of a request: where sizes differ by half of their mean each holds a
// third to a sixth of them.
const sizeClasses = 5

var sizeBounds = [sizeClasses - 1]float64{0.75, 1.05, 1.35, 1.7}

const (
	// usualWeight is how much each request counts for the usual memory.
	usualWeight = 0.02
	// sizesHalf is the time in which half of what was counted is forgotten.
	sizesHalf = 10 * time.Second
	// enoughSettled is how many requests of a class must have been served or refused to judge
	// how often they are served.
	enoughSettled = 8.0
	// behindFrom is below which part of the share of all a class has fallen behind.
	behindFrom = 0.6
)

// classOf returns the class of sizes of a request that asks.
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

// settled counts a request that was given a place, or refused one.
func (z *sizes) settled(at time.Time, class int, served bool) {
	z.pass(at)
	z.all.count(served)
	z.parts[class].count(served)
}

func (s *share) count(served bool) {
	s.settled++
	if served {
		s.served++
	}
}

// pass forgets what is long ago.
func (z *sizes) pass(at time.Time) {
	if passed := at.Sub(z.at); passed > 0 && !z.at.IsZero() {
		kept := math.Exp2(-passed.Seconds() / sizesHalf.Seconds())
		z.all.keep(kept)
		for class := range z.parts {
			z.parts[class].keep(kept)
		}
	}
	z.at = at
}

func (s *share) keep(part float64) { s.settled, s.served = s.settled*part, s.served*part }

// lead is how many times as often a class is served as all; one if too little is known.
func (z *sizes) lead(class int) float64 {
	part := z.parts[class]
	if part.settled < enoughSettled || z.all.served <= 0 {
		return 1
	}
	return part.served / part.settled * z.all.settled / z.all.served
}

// behind reports whether a class is served less often than all.
func (z *sizes) behind(class int) bool { return z.lead(class) < behindFrom }

// handicap is how many times as long a queue a request of a class is taken to meet: less for
// classes that are served less often than others, more for the others, while any class has fallen
// behind.
func (z *sizes) handicap(class int) float64 {
	for other := range z.parts {
		if z.behind(other) {
			lead := z.lead(class)
			return min(handicapMost, max(handicapLeast, lead*lead))
		}
	}
	return 1
}

const handicapLeast, handicapMost = 0.2, 3.0

// mostKept is the share of a service's engines that are kept at a time.
const mostKept = 0.5

// keepEngine keeps the engine with the most room for a request that does not fit anywhere, until
// it does: others would take what becomes free there piece by piece.
func (s *State) keepEngine(at time.Time, q *question) {
	if _, has := s.kept[q.key]; has {
		return
	}
	need := q.need
	need.Excluded = s.keptFromOthers(q)
	engine, engines := dispatch.Roomiest(s.engines, at, need)
	if float64(len(s.kept)+1) <= mostKept*float64(engines+len(s.kept)) {
		s.kept[q.key] = engine
	}
}

// keptFromOthers are the engines that a question may not have: those that take nothing from its
// forwarder, and those that are kept for other requests.
func (s *State) keptFromOthers(q *question) []string {
	if len(s.kept) == 0 {
		return q.need.Excluded
	}
	excluded := q.need.Excluded[:len(q.need.Excluded):len(q.need.Excluded)]
	for key, engine := range s.kept {
		if key != q.key {
			excluded = append(excluded, engine)
		}
	}
	return excluded
}

// release lets go of engines that were kept for requests which wait no more.
func (s *State) release() {
	if len(s.kept) == 0 {
		return
	}
	waiting := make(map[Key]struct{}, len(s.waiting))
	for _, q := range s.waiting {
		waiting[q.key] = struct{}{}
	}
	for key := range s.kept {
		if _, waits := waiting[key]; !waits {
			delete(s.kept, key)
		}
	}
}
