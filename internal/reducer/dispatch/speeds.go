package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/speed"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// compareInterval is how often the servers of a service are compared. A generation takes
	// seconds, so that few reports arrive in a quarter of a second.
	compareInterval = 250 * time.Millisecond
	// leastEvents is how many events of a stream are needed for a measurement: the time of a
	// shorter one is mostly the delay of single packets.
	leastEvents = 5
)

// serviceSpeeds are what the servers of a service have in common: the time of an event at decode
// engines.
type serviceSpeeds struct {
	writing  speed.Service
	compared time.Time
}

// speedWeight is how much the memory on an engine counts by the factor of its time for an event.
//
// The chosen engine is the one with the least predicted time x memory, for the request and those
// already there: it holds memory for the shortest time. The exponent is larger than one because a
// request on a slow engine costs more than its own time. With an exponent of one the work in
// progress at an engine is inverse to its factor, and slow engines still write a share of the
// streams that makes the mean time long. The sum of all times would be least if an engine got
// work only when the next faster ones are full: a further generation lengthens those of its engine
// by a few percent, less than the difference between two speeds. But then only the fastest engines
// would be measured, and their loss would break off nearly all streams. The third power is between
// the two.
func speedWeight(factor float64) float64 { return factor * factor * factor }

// weightedMemory is the memory that a request would hold together with those on an engine, weighted
// by the engine's time for an event. Without a difference in speed it orders engines as their held
// memory does.
func (c *server) weightedMemory(load float64, n Need) float64 {
	return (load + float64(n.Memory())) * speedWeight(c.writing.Factor())
}

// observeWriting adds the time that an engine needed for the events of a stream.
func (s *State) observeWriting(e OutcomeObserved, c *server, v *service) {
	if s.config.IgnoreSpeeds || v == nil || v.limits.Engine == nil || e.Events < leastEvents {
		return
	}
	v.speeds.writing.Observe(&c.writing, speed.Report{
		At: e.At, Took: e.Writing, Units: e.Events - 1, Batch: float64(e.Grant.Batch+c.inProgress) / 2,
	})
}

// compareSpeeds updates the factors of a service's servers from the reports so far.
func (s *State) compareSpeeds(at time.Time, name string, v *service) {
	if s.config.IgnoreSpeeds || at.Sub(v.speeds.compared) < compareInterval {
		return
	}
	v.speeds.compared = at
	writing := s.scratch.speeds[:0]
	for _, c := range s.inOrder[name] {
		if c.Role != oriolebend.Prefill {
			writing = append(writing, &c.writing)
		}
	}
	v.speeds.writing.Compare(at, writing)
	clear(writing)
	s.scratch.speeds = writing
}

// IgnoreSpeeds sets Config.IgnoreSpeeds of a state. It must be called before the first event.
func IgnoreSpeeds(s *State) { s.config.IgnoreSpeeds = true }
