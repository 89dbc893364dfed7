package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Bounds of the share of plain requests that is admitted, by the usual time of
// answers beside the request's target: all up to admitAll of it, none from admitNone
// on, and in between as far as it has come.
//
// A server of plain calls with a queue answers late once it has more work than it
// can do: each answer then takes as long as the whole queue, and for as long as the
// load lasts hardly any is in time, though the server is never idle. One notices it
// by answers that all take about the same, a little more than their target. With a
// part of the requests told at once to come back the queue stays short, and those that
// are served are served in time. Each forwarder sees the queue that all of them fill
// in the time of its own answers, so that nobody has to be asked.
//
// The bounds leave half of the target to requests that take twice as long as usual. A
// narrower band makes forwarders that see the same queue swing together between all
// and none.
const (
	admitAll  = 0.4
	admitNone = 0.8
	// admitLeast is admitted in any case: without answers nobody would notice that
	// the queue is gone.
	admitLeast = 0.05
	// admitReturned is by how much the bounds are lower for a caller that comes back:
	// it has missed its target, and takes what is to spare.
	admitReturned = 0.5
	// sojournHolds is for how long the time of the last answer is believed. After
	// that, nothing is known of the queue any more.
	sojournHolds = 500 * time.Millisecond
)

// Callers that are told to come back are spread over a time in which a queue of
// plain calls empties several times over; they wait for hardly half a second.
const (
	retryOverloadFirst  = 250 * time.Millisecond
	retryOverloadSpread = 300 * time.Millisecond
)

// admitted draws whether a plain request is sent to a server, by how long answers of
// its service take of late.
func (s *State) admitted(e Asked, v *service) bool {
	target := e.Need.FirstWithin
	if target <= 0 || !v.observed(e.At) {
		return true
	}
	all, none := admitAll*target.Seconds(), admitNone*target.Seconds()
	if e.Need.Returned {
		all, none = all*admitReturned, none*admitReturned
	}
	share := (none - v.sojourn.value) / (none - all)
	return s.random.Float64() < max(admitLeast, share)
}

// observed reports whether enough plain answers came of late to tell how long they
// take.
func (v *service) observed(at time.Time) bool {
	return v.sojourn.count >= medianFirst && at.Sub(v.answered) <= sojournHolds
}

// Loaded reports whether answers of a service take so long that a part of its plain
// requests is refused. A second sending beside the first one would then only make the
// queue longer.
func (s *State) Loaded(at time.Time, name string, target time.Duration) bool {
	v := s.services[name]
	return v != nil && v.observed(at) && v.sojourn.value > admitAll*target.Seconds()
}

// overloaded refuses a plain request.
func (s *State) overloaded() Refused {
	after := retryOverloadFirst + time.Duration(s.random.Float64()*float64(retryOverloadSpread))
	return Refused{Reason: oriolebend.ReasonOverloaded, RetryAfter: after}
}

// observe takes in how long a plain request was at its server. One that the server
// had no room for tells that its queue is full: it counts as one that took as long as
// its target, since a full queue is what makes answers late.
func (v *service) observe(e Ended) {
	took := e.Took
	switch e.Outcome {
	case OutcomeRefused:
		took = e.Grant.Need.FirstWithin
	case OutcomeDeclined:
		return // it tells of the server's need, and of no queue
	}
	if took <= 0 || e.Grant.Need.Prompt > 0 {
		return
	}
	v.sojourn.add(took.Seconds())
	v.answered = e.At
}
