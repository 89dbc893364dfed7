package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/speed"
)

const (
	// compareInterval is how often the servers of a service are compared. A generation takes
	// seconds, so that few reports arrive in a quarter of a second.
	compareInterval = 250 * time.Millisecond
	// leastEvents is how many events of a stream are needed for a measurement: the time of a
	// shorter one is mostly the delay of single packets.
	leastEvents = 5
	// answersPerReport is how many plain answers are one report of the shortest time among them.
	// The time of most answers includes a wait in the server's queue, which does not depend on its
	// speed alone. One of eight finds the queue empty unless the server is overloaded.
	answersPerReport = 8
	// quietFactor is how many times the shortest answers the usual answer may take for a report to
	// count. With random service times, the usual answer without a queue takes about twice as long
	// as the shortest of eight; in an overload even the shortest answer has waited.
	quietFactor = 3.0
)

// serviceSpeeds are what the servers of a service have in common: the time for an event of a
// stream, for a token of a prompt, and for a plain answer.
type serviceSpeeds struct {
	writing, prefills, answers speed.Service
	output                     outputSpeed
	compared                   time.Time
}

// serverSpeeds are the speeds of one server.
type serverSpeeds struct {
	// writing is the speed at which an engine writes events, prefills that at which it processes
	// prompts, and answers that of plain answers.
	writing, prefills, answers speed.Server
	// answered counts the plain answers since the last report of answers, and shortest is the
	// shortest time of these.
	answered int
	shortest time.Duration
	// reportedFactor is the factor of writing that SpeedChanges has returned last, zero if none.
	reportedFactor float64
}

// speedWeight is how much the memory on an engine counts by the factor of its time for an event.
//
// The chosen engine is the one with the least predicted time x memory, for the request and those
// already there. With an exponent of one, the work in progress at an engine is inverse to its
// factor, and slow engines write so many streams that the mean time is long. With a very large one,
// an engine gets work only when the faster ones are full. The mean time is then shortest, but only
// the fastest engines are measured, and their loss breaks off nearly all streams. The third power
// is between the two.
func speedWeight(factor float64) float64 { return factor * factor * factor }

// weightedMemory is the memory that a request would hold together with those on an engine, weighted
// by the engine's time for an event. Without a difference in speed it orders engines as their held
// memory does.
func (c *server) weightedMemory(load float64, n Need) float64 {
	return (load + float64(n.Memory())) * c.weight
}

// observeWriting adds the time that an engine needed for the events of a stream.
func (s *State) observeWriting(e OutcomeObserved, c *server, v *service) {
	if s.config.IgnoreSpeeds || v == nil || v.limits.Engine == nil || e.Events < leastEvents {
		return
	}
	if v.speeds.writing.Observe(&c.writing, speed.Report{
		At: e.At, Took: e.Writing, Units: e.Events - 1, Batch: float64(e.Grant.Batch+c.inProgress) / 2,
	}) {
		v.observeOutput(e)
		c.updateSpeed(e.At)
	}
}

// updateSpeed updates what each choice reads.
func (c *server) updateSpeed(at time.Time) {
	c.weight = speedWeight(c.writing.Factor())
	c.slowed = c.writing.Slowed(at) || c.prefills.Slowed(at)
}

// observePrefill adds the time that a prefill engine needed for a prompt and those ahead of it.
func (s *State) observePrefill(e PrefillMeasured, v *service) {
	if c := s.grantedServer(*e.Server); c != nil && !s.config.IgnoreSpeeds {
		v.speeds.prefills.Observe(&c.prefills, speed.Report{At: e.At, Took: e.Took, Units: e.Need.Prompt + e.Ahead})
		c.updateSpeed(e.At)
	}
}

// observeAnswer adds the time of a plain answer.
func (s *State) observeAnswer(e OutcomeObserved, c *server, v *service) {
	if s.config.IgnoreSpeeds || v == nil || e.Took <= 0 || e.Grant.Need.Prompt > 0 {
		return
	}
	if c.answered == 0 || e.Took < c.shortest {
		c.shortest = e.Took
	}
	c.answered++
	if c.answered < answersPerReport {
		return
	}
	c.answered = 0
	if !v.speeds.answers.Known() || v.sojourn.value <= quietFactor*v.speeds.answers.Usual().Seconds() {
		v.speeds.answers.Observe(&c.answers, speed.Report{At: e.At, Took: c.shortest, Units: 1})
	}
}

// compareSpeeds updates the factors of a service's servers from the reports so far.
func (s *State) compareSpeeds(at time.Time, name string, v *service) {
	if s.config.IgnoreSpeeds || at.Sub(v.speeds.compared) < compareInterval {
		return
	}
	v.speeds.compared = at
	list := s.inOrder[name]
	s.compare(at, &v.speeds.answers, list, func(c *server) *speed.Server { return &c.answers })
	if v.limits.Engine == nil {
		return
	}
	s.compare(at, &v.speeds.writing, list, func(c *server) *speed.Server { return &c.writing })
	s.compare(at, &v.speeds.prefills, list, func(c *server) *speed.Server { return &c.prefills })
	for _, c := range list {
		c.updateSpeed(at)
	}
}

// compare compares one speed of the servers in a list. Those without reports, such as the prefill
// engines for events, have no influence.
func (s *State) compare(at time.Time, v *speed.Service, list []*server, of func(*server) *speed.Server) {
	speeds := s.scratch.speeds[:0]
	for _, c := range list {
		speeds = append(speeds, of(c))
	}
	v.Compare(at, speeds)
	clear(speeds)
	s.scratch.speeds = speeds
}

// IgnoreSpeeds sets Config.IgnoreSpeeds of a state. It must be called before the first event.
func IgnoreSpeeds(s *State) { s.config.IgnoreSpeeds = true }
