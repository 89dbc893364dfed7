package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// question is a request that waits for a place.
type question struct {
	key    Key
	need   dispatch.Need
	rank   int
	call   uint64
	inTime time.Time
	until  time.Time
	// arrival counts questions.
	arrival uint64
	// queued is set once it was found worthwhile to wait in time.
	queued bool
	// returned is set if the caller was refused before.
	returned bool
	// class is its class of sizes.
	class int
}

// late reports whether the request has missed its target.
func (q *question) late(at time.Time) bool { return !at.Before(q.inTime) }

func (s *State) asked(e Asked) []Answer {
	s.arrivals++
	q := &question{
		key: e.Key, need: e.Need, rank: e.Rank, call: e.Call,
		inTime: e.InTime, until: e.Until, arrival: s.arrivals,
	}
	if first, returned := s.refused.first(e.Call); returned && first.Before(q.inTime) {
		q.inTime, q.returned = first, true
		s.counted.Returned++
	}
	q.class = s.flow(e.Need.Service).sizes.classOf(e.Need.Memory())
	s.waiting = append(s.waiting, q)
	return s.serve(e.At)
}

// round is one pass over those that wait.
type round struct {
	at time.Time
	// ahead is the memory that requests of a service wait for before the next
	// one, inTime that of those in time, and tooLarge the least that fits no
	// engine of it.
	ahead, inTime, tooLarge map[string]int
}

// serve gives places to those that wait, as far as there is room: first those
// that can be in time, then late ones from what is to spare. It refuses those that
// would wait in vain.
func (s *State) serve(at time.Time) []Answer {
	var answers []Answer
	s.release()
	s.sort(at)
	r := round{at: at, ahead: map[string]int{}, inTime: map[string]int{}, tooLarge: map[string]int{}}
	s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool {
		answer, done := s.settle(&r, q)
		if done {
			answers = append(answers, answer)
		}
		return done
	})
	return answers
}

// sort puts the questions into the order in which they are tried: those in time
// before late ones, by rank, and the one first that has the least time left.
func (s *State) sort(at time.Time) {
	slices.SortFunc(s.waiting, func(a, b *question) int {
		return cmp.Or(
			cmp.Compare(number(a.late(at)), number(b.late(at))),
			cmp.Compare(a.rank, b.rank),
			a.inTime.Compare(b.inTime),
			cmp.Compare(a.arrival, b.arrival),
		)
	})
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// settle places one request, or refuses it; false means that it waits on.
func (s *State) settle(r *round, q *question) (Answer, bool) {
	if !r.at.Before(q.until) {
		return s.refuse(r.at, q), true
	}
	ahead, memory := r.ahead[q.need.Service], q.need.Memory()
	tooLarge, full := r.tooLarge[q.need.Service]
	first := s.goesFirst(r.at, q)
	_, kept := s.kept[q.key]
	// A late one must not take the room that one in time waits for.
	if (!full || memory < tooLarge || kept) && (ahead == 0 || !q.late(r.at)) {
		if answer, done := s.try(r.at, q); done {
			return answer, true
		}
		if len(q.need.Excluded) == 0 && !kept { // to others more engines are open
			r.tooLarge[q.need.Service] = memory
		}
	}
	if first {
		s.keepEngine(r.at, q)
	}
	if s.hopeless(r, q) {
		s.counted.Hopeless++
		return s.refuse(r.at, q), true
	}
	r.ahead[q.need.Service] += memory
	if !q.late(r.at) {
		r.inTime[q.need.Service] += memory
	}
	return Answer{}, false
}

// try places one request, or refuses it for another reason than a lack of memory.
func (s *State) try(at time.Time, q *question) (Answer, bool) {
	need := q.need
	need.Waited = true // the forwarder has counted it
	need.Excluded = s.keptFromOthers(q)
	switch e := dispatch.Reduce(s.engines, dispatch.Asked{At: at, Need: need})[0].(type) {
	case dispatch.Granted:
		s.places[q.key] = place{Grant: e.Grant, since: at}
		s.flow(need.Service).take(need.Memory())
		s.flow(need.Service).sizes.settled(at, q.class, true)
		s.counted.Granted++
		delete(s.kept, q.key)
		return Answer{Key: q.key, Grant: &e.Grant}, true
	case dispatch.Refused:
		if e.Reason != oriolebend.ReasonNoMemory && len(need.Excluded) == len(q.need.Excluded) {
			return Answer{Key: q.key, Refused: &e}, true
		}
	}
	return Answer{}, false
}

// hopeless reports whether a request would wait in vain: what waits before it takes
// all the memory that becomes free while it can wait.
//
// While more comes than engines can carry, requests would else wait until they have
// missed their target, or until their caller leaves, for nothing. A caller that is
// told at once can come back when the peak is over.
func (s *State) hopeless(r *round, q *question) bool {
	ahead, service := r.ahead[q.need.Service], s.flow(q.need.Service)
	switch {
	case !q.late(r.at) && q.queued:
		return false // judged when it came
	case !q.late(r.at):
		q.queued = true
		wait, known := service.wait(ahead, inTimeDrain)
		wait = time.Duration(float64(wait) * service.weight(q.need) * service.sizes.handicap(q.class))
		return known && r.at.Add(wait).After(q.inTime)
	case !q.returned:
		// Others in time would go first for as long as the peak lasts.
		return r.inTime[q.need.Service] > 0
	default:
		// A caller comes back once; its request waits for the end of the peak.
		wait, known := service.wait(ahead, lateDrain)
		return known && r.at.Add(wait).After(q.until)
	}
}

// goesFirst reports whether a request is of sizes that have fallen behind, and can still be in
// time.
func (s *State) goesFirst(at time.Time, q *question) bool {
	return !q.late(at) && s.flow(q.need.Service).sizes.behind(q.class)
}

// inTimeDrain is the share of the memory becoming free that the queue of those in
// time is taken to get. The rest is lost on pieces too small for the next one and on
// late ones. With all of it the queue is as long as the target allows, and nearly
// each request in it just misses its own: of 1,150 requests refused on a day with
// three peaks, 30 were refused within 600 ms.
const inTimeDrain = 0.5

// lateDrain is the share of the memory becoming free that late requests are taken to
// get while there are others in time: what the engines can carry beyond the usual
// load.
const lateDrain = 0.5

// refuse refuses a request for lack of memory.
func (s *State) refuse(at time.Time, q *question) Answer {
	s.refused.note(at, q)
	s.flow(q.need.Service).sizes.settled(at, q.class, false)
	after := s.flow(q.need.Service).returnAfter(at, q.need.Memory())
	return Answer{Key: q.key, Refused: &dispatch.Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: after}}
}
