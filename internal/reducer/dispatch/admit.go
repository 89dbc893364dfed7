package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// The share of plain requests that is admitted depends on the usual time to the answer
// as a part of the request's target: all are admitted up to admitAll, none from admitNone
// on, and a linearly decreasing share in between.
//
// An overloaded server of plain requests with a queue answers late: each answer takes as
// long as the whole queue, and for as long as the overload lasts hardly any is in time, though
// the server is never idle. The symptom is that all answers take about the same time, a little
// more than their target. If a part of the requests is refused at once with a retry delay,
// the queue stays short, and the served requests are served in time. Each forwarder sees the
// queue that all of them fill in the latency of its own answers, so that no coordination
// is needed.
//
// The bounds leave half of the target to requests that take twice as long as usual. With a
// narrower band, forwarders that see the same queue oscillate together between admitting all
// and none.
const (
	admitAll  = 0.4
	admitNone = 0.8
	// admitLeast is the share that is admitted in any case: without answers nobody would
	// notice that the queue has emptied.
	admitLeast = 0.05
	// admitReturned is the factor on the bounds for a caller that was refused before and
	// returns: its target is already missed, and it gets only spare capacity.
	admitReturned = 0.5
	// sojournHolds is how long the latency of the last answer remains valid. After that,
	// the length of the queue is unknown.
	sojournHolds = 500 * time.Millisecond
)

// The retry delays of refused callers are spread over a time in which a queue of plain
// requests empties several times; callers wait for hardly half a second.
const (
	retryOverloadFirst  = 250 * time.Millisecond
	retryOverloadSpread = 300 * time.Millisecond
)

// admitted decides at random whether a plain request is sent to a server. The probability
// depends on the recent latency of the service.
func (s *State) admitted(e PlacementRequested, v *service) bool {
	target := e.Need.FirstWithin
	if target <= 0 || !v.sojournKnown(e.At) {
		return true
	}
	all, none := admitAll*target.Seconds(), admitNone*target.Seconds()
	if e.Need.Returned {
		all, none = all*admitReturned, none*admitReturned
	}
	share := (none - v.sojourn.value) / (none - all)
	return s.random.Float64() < max(admitLeast, share)
}

// sojournKnown reports whether there were enough recent plain answers to know their
// latency.
func (v *service) sojournKnown(at time.Time) bool {
	return v.sojourn.count >= medianFirst && at.Sub(v.lastAnswer) <= sojournHolds
}

// Overloaded reports whether the latency of a service is so high that a part of its plain
// requests is refused. A second send of a request while the first
// one runs would then only make the queue longer.
func (s *State) Overloaded(at time.Time, name string, target time.Duration) bool {
	v := s.services[name]
	return v != nil && v.sojournKnown(at) && v.sojourn.value > admitAll*target.Seconds()
}

// refuseOverloaded refuses a plain request, with a random retry delay.
func (s *State) refuseOverloaded() Refused {
	after := retryOverloadFirst + time.Duration(s.random.Float64()*float64(retryOverloadSpread))
	return Refused{Reason: oriolebend.ReasonOverloaded, RetryAfter: after}
}

// observeSojourn records how long a plain request was at its server. A request that the
// server refused for lack of room shows that the server's queue is full. It counts as one
// that took as long as its target, because a full queue is what makes answers late.
func (v *service) observeSojourn(e Ended) {
	took := e.Took
	switch e.Outcome {
	case OutcomeRefused:
		took = e.Grant.Need.FirstWithin
	case OutcomeDeclined:
		return // the server declines on its own account, not because of a queue
	}
	if took <= 0 || e.Grant.Need.Prompt > 0 {
		return
	}
	v.sojourn.add(took.Seconds())
	v.lastAnswer = e.At
}
