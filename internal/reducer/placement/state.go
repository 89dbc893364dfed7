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
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// overcommit is how many times an engine's memory is granted. A generation
	// holds its whole output only at its end, and many end before their estimate;
	// what does not fit is refused by the engine's own reservation.
	overcommit = 1.5
)

// Key names a question: the session that it came over and its number there.
type Key struct{ Session, ID uint64 }

// State is what the leader knows. Only Reduce changes it.
type State struct {
	engines *dispatch.State
	waiting []*question
	places  map[Key]dispatch.Grant
	// arrivals counts questions.
	arrivals uint64
	counted  Summary
}

// question is a request that waits for a place.
type question struct {
	key    Key
	need   dispatch.Need
	rank   int
	inTime time.Time
	until  time.Time
	// arrival counts questions.
	arrival uint64
}

// New returns a state that knows no engine.
func New(seed uint64) *State {
	return &State{
		// Forwarders keep to the retry budget before they ask.
		engines: dispatch.New(dispatch.Config{Seed: seed, RetrySlack: math.MaxInt32, Overcommit: overcommit}),
		places:  map[Key]dispatch.Grant{},
	}
}

// Reduce moves the state on and returns the answers to give.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case Fleet:
		dispatch.Reduce(s.engines, e.Services)
		dispatch.Reduce(s.engines, e.Servers)
	case Asked:
		return s.asked(e)
	case Withdrawn:
		s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool { return q.key == e.Key })
	case Resumed:
		s.resumed(e)
	case PromptRead:
		s.promptRead(e)
	case Ended:
		s.ended(e.At, e.Key, e.Outcome, e.Took)
		return s.serve(e.At)
	case SessionLost:
		s.lost(e)
		return s.serve(e.At)
	case Ticked:
		return s.serve(e.At)
	}
	return nil
}

// Summary is what there is to see of a State.
type Summary struct {
	// Waiting counts the requests that wait, Places those that have a place.
	Waiting, Places int
	// Granted and Full count, since the last summary, the places given and those
	// whose engine turned out to be full.
	Granted, Full int
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

func (s *State) asked(e Asked) []Answer {
	s.arrivals++
	q := &question{key: e.Key, need: e.Need, rank: e.Rank, inTime: e.InTime, until: e.Until, arrival: s.arrivals}
	s.waiting = append(s.waiting, q)
	return s.serve(e.At)
}

// serve gives places to those that wait, as far as there is room: first those
// that can be in time, then late ones from what is to spare.
func (s *State) serve(at time.Time) []Answer {
	var answers []Answer
	s.sort(at)
	blocked := map[string]bool{}
	s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool {
		if !at.Before(q.until) {
			answers = append(answers, Answer{Key: q.key, Refused: &dispatch.Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: dispatch.RetryLoaded}})
			return true
		}
		answer, done := s.try(at, q, blocked[q.need.Service])
		if !done {
			blocked[q.need.Service] = true
			return false
		}
		answers = append(answers, answer)
		return true
	})
	return answers
}

// sort puts the questions into the order in which they are tried: by rank, those
// in time the newest first, late ones the oldest first.
//
// While more comes than the engines can carry, the oldest first would let every
// request wait until it has just missed its target, and all would be late. The
// newest first lets as many as can be carried be in time; the others are served
// when the peak is over.
func (s *State) sort(at time.Time) {
	slices.SortFunc(s.waiting, func(a, b *question) int {
		late := a.late(at)
		age := cmp.Compare(b.arrival, a.arrival)
		if late {
			age = -age
		}
		return cmp.Or(cmp.Compare(number(late), number(b.late(at))), cmp.Compare(a.rank, b.rank), age)
	})
}

func (q *question) late(at time.Time) bool { return !at.Before(q.inTime) }

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// try places one request; ahead is set if others of its service wait before it.
func (s *State) try(at time.Time, q *question, ahead bool) (Answer, bool) {
	need := q.need
	need.Waited = true // the forwarder has counted it
	need.Late = q.late(at)
	if need.Late && ahead {
		return Answer{}, false
	}
	switch e := dispatch.Reduce(s.engines, dispatch.Asked{At: at, Need: need})[0].(type) {
	case dispatch.Granted:
		s.places[q.key] = e.Grant
		s.counted.Granted++
		return Answer{Key: q.key, Grant: &e.Grant}, true
	case dispatch.Refused:
		if e.Reason != oriolebend.ReasonNoMemory {
			return Answer{Key: q.key, Refused: &e}, true
		}
	}
	return Answer{}, false
}

// resumed takes up a place that another leader gave. Engines that are not known
// yet are passed over: their own reservations guard them.
func (s *State) resumed(e Resumed) {
	grant, known := dispatch.Resume(s.engines, e.Need, e.Server, e.Prefill)
	if known {
		s.places[e.Key] = grant
	}
}

func (s *State) promptRead(e PromptRead) {
	grant, found := s.places[e.Key]
	if !found || grant.Prefill == nil {
		return
	}
	dispatch.Reduce(s.engines, dispatch.PromptRead{At: e.At, Grant: grant, Took: e.Took, Failed: e.Failed, Unused: e.Unused})
	// The prefill part is over; a second word on it must not count again.
	grant.Prefill = nil
	s.places[e.Key] = grant
}

func (s *State) ended(at time.Time, key Key, outcome dispatch.Outcome, took time.Duration) {
	grant, found := s.places[key]
	if !found {
		return
	}
	delete(s.places, key)
	if outcome == dispatch.OutcomeFull {
		s.counted.Full++
	}
	if grant.Prefill != nil {
		dispatch.Reduce(s.engines, dispatch.PromptRead{At: at, Grant: grant, Unused: true})
	}
	dispatch.Reduce(s.engines, dispatch.Ended{At: at, Grant: grant, Outcome: outcome, Took: took})
}

// lost ends all of a session. What its forwarder still runs is told again when it
// opens another one.
func (s *State) lost(e SessionLost) {
	s.waiting = slices.DeleteFunc(s.waiting, func(q *question) bool { return q.key.Session == e.Session })
	keys := slices.SortedFunc(maps.Keys(s.places), func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	for _, key := range keys {
		if key.Session == e.Session {
			s.ended(e.At, key, dispatch.OutcomeCancelled, 0)
		}
	}
}
