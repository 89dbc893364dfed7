// Package placement is the reducer that gives places at model engines to the
// requests of all forwarders. One control VM runs it, the leader. It joins what
// package dispatch decides for one request with a queue of those that wait. It is
// pure: time comes in events.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

const (
	// overcommit is how many times an engine's memory is granted, by the output that
	// its generations are expected to write. They have written half of it at a
	// time, on average, so that an engine seldom has to stop one for another: 1.06
	// doubles those that are stopped and serves hardly more.
	overcommit = 1.02
	// fullFor is how long an engine that refused is not asked again unless work
	// ends there. All that ends is known here; the time is for what an engine
	// frees by itself, a few steps of its batch.
	fullFor = 500 * time.Millisecond
)

// Key names a question: the session that it came over and its number there.
type Key struct{ Session, ID uint64 }

// State is what the leader knows. Only Reduce changes it.
type State struct {
	engines *dispatch.State
	waiting []*question
	places  map[Key]place
	// flows is how fast the engines of each service free memory.
	flows map[string]*flow
	// refused are the calls that were refused and may come back.
	refused returning
	// kept names the engines that are kept for requests which wait.
	kept map[Key]string
	// arrivals counts questions.
	arrivals uint64
	counted  Summary
}

// place is a place in use since a time.
type place struct {
	dispatch.Grant
	since time.Time
	// until is when the place of a session that broke off is given back, zero for
	// others.
	until time.Time
}

// New returns a state that knows no engine.
func New(seed uint64) *State {
	return &State{
		// Forwarders keep to the retry budget before they ask.
		engines: dispatch.New(dispatch.Config{Seed: seed, RetrySlack: math.MaxInt32, Overcommit: overcommit, FullFor: fullFor}),
		places:  map[Key]place{},
		flows:   map[string]*flow{},
		refused: returning{calls: map[uint64]refusedCall{}},
		kept:    map[Key]string{},
	}
}

// Reduce moves the state on and returns the answers to give.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case Fleet:
		dispatch.Reduce(s.engines, e.Services)
		dispatch.Reduce(s.engines, e.Servers)
	case FleetChanged:
		dispatch.Reduce(s.engines, dispatch.FleetChanged(e))
	case Asked:
		return s.asked(e)
	case Withdrawn:
		s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool { return q.key == e.Key })
	case Resumed:
		s.resumed(e)
	case PromptRead:
		s.promptRead(e)
	case Ended:
		return s.end(e)
	case SessionSilent:
		s.silent(e)
		return s.serve(e.At)
	case SessionLost:
		s.lost(e)
		return s.serve(e.At)
	case Ticked:
		s.refused.forget(e.At)
		s.overdue(e.At)
		return s.serve(e.At)
	}
	return nil
}

// Summary is what there is to see of a State.
type Summary struct {
	// Waiting counts the requests that wait, Places those that have a place.
	Waiting, Places int
	// Granted and Full count, since the last summary, the places given and those
	// whose engine turned out to be full. Hopeless counts the requests that were
	// refused because others before them would take all the memory that becomes
	// free in time, Returned those that came back after such a refusal.
	Granted, Full, Hopeless, Returned int
	// FreeShare is the share of free KV memory of each service.
	FreeShare map[string]float64
}

// Summarize tells what there is to see, and counts anew.
func (s *State) Summarize(at time.Time) Summary {
	summary := s.counted
	s.counted = Summary{}
	summary.Waiting, summary.Places = len(s.waiting), len(s.places)
	summary.FreeShare = s.engines.FreeShares(at)
	return summary
}

// resumed takes up a place that another leader gave. Engines that are not known
// yet are passed over: their own reservations guard them.
func (s *State) resumed(e Resumed) {
	grant, known := dispatch.Resume(s.engines, e.Need, e.Server, e.Prefill)
	if known {
		s.places[e.Key] = place{Grant: grant, since: e.At}
		s.flow(e.Need.Service).take(e.Need.Memory())
	}
}

func (s *State) promptRead(e PromptRead) {
	p, found := s.places[e.Key]
	if !found || p.Prefill == nil {
		return
	}
	dispatch.Reduce(s.engines, dispatch.PromptRead{At: e.At, Grant: p.Grant, Failed: e.Failed, Unused: e.Unused})
	if !e.Failed && !e.Unused {
		dispatch.Reduce(s.engines, dispatch.Read{Need: p.Need, Took: e.Took, Ahead: p.Ahead})
	}
	// The prefill part is over; a second word on it must not count again.
	p.Prefill = nil
	s.places[e.Key] = p
}

// end takes the end of a place in, and gives places that have become free. A place whose
// engine turned out to be full frees nothing; in a peak most ends are such.
func (s *State) end(e Ended) []Answer {
	if e.Outcome == dispatch.OutcomeCut {
		s.cut(e.At, e.Key)
		return nil
	}
	s.ended(e.At, e.Key, e.Outcome, e.Took)
	if e.Outcome == dispatch.OutcomeFull {
		return nil
	}
	return s.serve(e.At)
}

func (s *State) ended(at time.Time, key Key, outcome dispatch.Outcome, took time.Duration) {
	p, found := s.places[key]
	if !found {
		return
	}
	delete(s.places, key)
	s.flow(p.Need.Service).free(at, p, outcome)
	if outcome == dispatch.OutcomeFull {
		s.counted.Full++
	}
	if p.Prefill != nil {
		dispatch.Reduce(s.engines, dispatch.PromptRead{At: at, Grant: p.Grant, Unused: true})
	}
	dispatch.Reduce(s.engines, dispatch.Ended{At: at, Grant: p.Grant, Outcome: outcome, Took: took})
}

// silentHolds is how many times the usual time of a place one is kept whose session or
// stream broke off: half of them have ended by the usual time, nearly all by twice that.
const silentHolds = 1.5

// silent keeps the places of a session that broke off.
//
// A forwarder that is cut off from the leader goes on with what it has, and the engines
// of one whose VM lost power write on until they notice. Given back at once, their
// memory would be granted a second time; one notices it by engines that refuse
// reservations, and by generations that are stopped for others and read anew.
func (s *State) silent(e SessionSilent) {
	s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool { return q.key.Session == e.Session })
	for key := range s.places {
		if key.Session == e.Session {
			s.keep(e.At, key)
		}
	}
}

// cut keeps the place of a stream that broke off.
//
// An engine whose answer is lost on the way works on until it notices, if it does. A
// network that resets one answer in ten on half of the engines made the memory of a
// site seem free that was not: five in six places given then met a full engine.
func (s *State) cut(at time.Time, key Key) {
	p, found := s.places[key]
	if !found {
		return
	}
	dispatch.Reduce(s.engines, dispatch.Judged{At: at, Grant: p.Grant, Outcome: dispatch.OutcomeCut})
	s.keep(at, key)
}

// keep keeps a place until it is likely to have ended.
func (s *State) keep(at time.Time, key Key) {
	p := s.places[key]
	p.until = at
	if usual, known := s.flow(p.Need.Service).usual(); known {
		p.until = p.since.Add(time.Duration(silentHolds * float64(usual)))
	}
	s.places[key] = p
}

// overdue gives back the places of sessions and streams that broke off once they are
// likely to have ended.
func (s *State) overdue(at time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(s.places), compareKeys) {
		if p := s.places[key]; !p.until.IsZero() && !at.Before(p.until) {
			s.ended(at, key, dispatch.OutcomeCancelled, 0)
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.ID, b.ID))
}

// lost ends all of a session. What its forwarder still runs is told again when it
// opens another one.
func (s *State) lost(e SessionLost) {
	s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool { return q.key.Session == e.Session })
	for _, key := range slices.SortedFunc(maps.Keys(s.places), compareKeys) {
		if key.Session == e.Session {
			s.ended(e.At, key, dispatch.OutcomeCancelled, 0)
		}
	}
}
