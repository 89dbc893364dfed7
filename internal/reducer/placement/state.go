// Package placement is the reducer that grants placements at model engines to the
// requests of all forwarders. It runs on one control VM, the leader. It combines the
// decisions of package dispatch for single requests with a queue of waiting requests. It
// is pure: time comes in events.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

const (
	// overcommit is the factor by which an engine's memory is granted, based on the output
	// that its generations are expected to write. On average they have written half of it at
	// a time, so that an engine seldom has to stop one generation for another: 1.06 doubles
	// the number of stopped generations and serves hardly more.
	overcommit = 1.02
	// fullFor is how long an engine that refused is not tried again unless work ends
	// there. All ends of work are known here; the time is for memory that an engine
	// frees by itself, which takes a few steps of its batch.
	fullFor = 500 * time.Millisecond
)

// Key identifies a placement request: the session that it came over and its number there.
type Key struct{ Session, ID uint64 }

// State is what the leader knows. Only Reduce changes it.
type State struct {
	engines    *dispatch.State
	waiting    []*request
	placements map[Key]placement
	// flows is how fast the engines of each service free memory.
	flows map[string]*flow
	// refused are the calls that were refused and may be repeated by their callers.
	refused refusedCalls
	// reserved names the engine that is reserved for each request that waits for one.
	reserved map[Key]string
	// arrivals counts placement requests.
	arrivals uint64
	counted  Summary
	// ranksDisabled is set if ranks only order the queue.
	ranksDisabled bool
}

// placement is a granted placement.
type placement struct {
	dispatch.Grant
	// since is when the placement was granted.
	since time.Time
	// until is when the placement is released if its session or stream broke off, zero if
	// neither did.
	until time.Time
}

// New returns a state without any engine.
func New(seed uint64) *State {
	return &State{
		// Forwarders enforce the retry budget before they request a placement.
		engines:    dispatch.New(dispatch.Config{Seed: seed, Overcommit: overcommit, FullFor: fullFor}),
		placements: map[Key]placement{},
		flows:      map[string]*flow{},
		refused:    refusedCalls{calls: map[uint64]refusedCall{}},
		reserved:   map[Key]string{},
	}
}

// IgnoreSpeeds makes no difference between fast and slow engines. It must be called before the first
// event.
func (s *State) IgnoreSpeeds() { dispatch.IgnoreSpeeds(s.engines) }

// Reduce applies an event to the state and returns the answers to send.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case Configured:
		s.ranksDisabled = e.DisableRanks
	case Fleet:
		dispatch.Reduce(s.engines, e.Services)
		dispatch.Reduce(s.engines, e.Servers)
	case FleetChanged:
		dispatch.Reduce(s.engines, dispatch.FleetChanged(e))
	case Requested:
		return s.enqueue(e)
	case Withdrawn:
		s.waiting = slices.DeleteFunc(s.waiting, func(q *request) bool { return q.key == e.Key })
	case Resumed:
		s.resume(e)
	case PrefillEnded:
		s.releasePrefill(e)
	case Ended:
		return s.end(e)
	case SpeedsReported:
		dispatch.Reduce(s.engines, dispatch.SpeedsReported(e))
	case SessionDisconnected:
		s.disconnect(e)
		return s.serve(e.At)
	case SessionLost:
		s.endSession(e)
		return s.serve(e.At)
	case Ticked:
		s.refused.forgetExpired(e.At)
		s.releaseOverdue(e.At)
		return s.serve(e.At)
	}
	return nil
}

// Summary describes a State for the log.
type Summary struct {
	// Waiting counts the waiting requests, Placements the current placements.
	Waiting, Placements int
	// Granted and Full count, since the last summary, the placements granted and those
	// whose engine turned out to be full. Unservable counts the requests that were refused
	// because others before them would use all the memory that becomes free in time,
	// Returned those that were repeated after a refusal for lack of memory.
	Granted, Full, Unservable, Returned int
	// FreeShare is the share of free KV memory of each service.
	FreeShare map[string]float64
	// RefusedByRank counts, since the last summary, the requests refused for lack of memory, and
	// Reserved is the largest number of places that one of them, or a waiting request, had to
	// leave to more urgent ranks.
	RefusedByRank map[int]int
	Reserved      int
}

// SpeedChanges returns the engines whose speed has changed since the last call.
func (s *State) SpeedChanges(at time.Time) []dispatch.SpeedChange {
	return dispatch.SpeedChanges(s.engines, at)
}

// UnevenEngines returns up to a number of engines that differ in speed, the most different first.
func (s *State) UnevenEngines(most int) []dispatch.UnevenEngine {
	return dispatch.UnevenEngines(s.engines, most)
}

// Summarize returns a summary and resets its counters.
func (s *State) Summarize(at time.Time) Summary {
	summary := s.counted
	s.counted = Summary{}
	summary.Waiting, summary.Placements = len(s.waiting), len(s.placements)
	summary.FreeShare = s.engines.FreeShares(at)
	return summary
}

// resume records a placement that an earlier leader granted. Placements at engines that are
// not known yet are skipped: the engines' own reservations protect their memory.
func (s *State) resume(e Resumed) {
	grant, known := dispatch.Resume(s.engines, e.Need, e.Server, e.Prefill)
	if known {
		s.placements[e.Key] = placement{Grant: grant, since: e.At}
		s.flow(e.Need.Service).hold(e.Need.Memory())
	}
}

func (s *State) releasePrefill(e PrefillEnded) {
	p, found := s.placements[e.Key]
	if !found || p.Prefill == nil {
		return
	}
	dispatch.Reduce(s.engines, dispatch.PrefillEnded{At: e.At, Grant: p.Grant, Failed: e.Failed, Unused: e.Unused})
	if !e.Failed && !e.Unused {
		dispatch.Reduce(s.engines, dispatch.PrefillMeasured{At: e.At, Need: p.Need, Server: p.Prefill, Took: e.Took, Ahead: p.Ahead})
	}
	// The prefill part is over; a second report must not be counted.
	p.Prefill = nil
	s.placements[e.Key] = p
}

// end ends a placement and grants placements from the memory that it frees. A placement
// whose engine turned out to be full frees nothing; in a peak most ends are of this kind.
func (s *State) end(e Ended) []Answer {
	if e.Outcome == dispatch.OutcomeCut {
		s.cut(e)
		return nil
	}
	s.release(e)
	if e.Outcome == dispatch.OutcomeFull {
		return nil
	}
	return s.serve(e.At)
}

// release ends a placement, if it is known.
func (s *State) release(e Ended) {
	p, found := s.placements[e.Key]
	if !found {
		return
	}
	delete(s.placements, e.Key)
	s.flow(p.Need.Service).free(e.At, p, e.Outcome)
	if e.Outcome == dispatch.OutcomeFull {
		s.counted.Full++
	}
	if p.Prefill != nil {
		dispatch.Reduce(s.engines, dispatch.PrefillEnded{At: e.At, Grant: p.Grant, Unused: true})
	}
	dispatch.Reduce(s.engines, p.ended(e))
}

// ended returns the end of a placement for the engines. A stream that is reported to have taken
// longer than its placement was measured wrongly.
func (p placement) ended(e Ended) dispatch.Ended {
	ended := dispatch.Ended{At: e.At, Grant: p.Grant, Outcome: e.Outcome, Took: e.Took}
	if e.Writing <= e.At.Sub(p.since) {
		ended.Writing, ended.Events = e.Writing, e.Events
	}
	return ended
}

// disconnectedFactor is the factor on the usual time of a placement for which a placement is
// retained if its session or stream broke off: half of the placements have ended by the usual
// time, nearly all by twice that time.
const disconnectedFactor = 1.5

// disconnect retains the placements of a session that broke off.
//
// A forwarder that is partitioned from the leader keeps using its placements, and engines
// continue the generations of a forwarder whose VM lost power until they notice. If their
// memory were released at once, it would be granted a second time. The symptoms are that
// engines refuse reservations, and that generations are stopped in favour of others and
// prefilled again.
func (s *State) disconnect(e SessionDisconnected) {
	s.waiting = slices.DeleteFunc(s.waiting, func(q *request) bool { return q.key.Session == e.Session })
	for key := range s.placements {
		if key.Session == e.Session {
			s.retain(e.At, key)
		}
	}
}

// cut retains the placement of a stream that broke off.
//
// An engine whose response is lost on the network keeps working until it notices, if it
// does. A network that reset one response in ten on half of the engines made memory that was
// in use seem free: five in six placements then granted met a full engine.
func (s *State) cut(e Ended) {
	p, found := s.placements[e.Key]
	if !found {
		return
	}
	dispatch.Reduce(s.engines, dispatch.OutcomeObserved(p.ended(e)))
	s.retain(e.At, e.Key)
}

// retain keeps a placement until its work is likely to have ended.
func (s *State) retain(at time.Time, key Key) {
	p := s.placements[key]
	p.until = at
	if usual, known := s.flow(p.Need.Service).usualTime(); known {
		p.until = p.since.Add(time.Duration(disconnectedFactor * float64(usual)))
	}
	s.placements[key] = p
}

// releaseOverdue releases the placements of sessions and streams that broke off once their
// work is likely to have ended.
func (s *State) releaseOverdue(at time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(s.placements), compareKeys) {
		if p := s.placements[key]; !p.until.IsZero() && !at.Before(p.until) {
			s.release(Ended{At: at, Key: key, Outcome: dispatch.OutcomeCancelled})
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.ID, b.ID))
}

// endSession ends all placements and requests of a session. When its forwarder opens another
// session, it reports the placements that it still uses.
func (s *State) endSession(e SessionLost) {
	s.waiting = slices.DeleteFunc(s.waiting, func(q *request) bool { return q.key.Session == e.Session })
	for _, key := range slices.SortedFunc(maps.Keys(s.placements), compareKeys) {
		if key.Session == e.Session {
			s.release(Ended{At: e.At, Key: key, Outcome: dispatch.OutcomeCancelled})
		}
	}
}
