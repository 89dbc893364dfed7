package placement

import (
	"maps"
	"time"
)

// refusedCalls remembers calls that were refused, so that a caller that returns is known to
// have missed its target already.
//
// A caller that returns can no longer be in time. If it were treated as new, it would take the
// placement of a request that could be, and after a peak all answers would stay late: half of
// the placement requests in the seconds after a peak of twice the usual load came from such
// callers.
type refusedCalls struct{ calls map[uint64]refusedCall }

// refusedCall is a call that was refused at a time; until inTime it could have met
// its target.
type refusedCall struct{ at, inTime time.Time }

const (
	// rememberFor is how long a refused call is remembered: callers allow
	// fifteen seconds or less for a request.
	rememberFor = 15 * time.Second
	// rememberMost limits the memory for refused calls to about half a megabyte.
	rememberMost = 8192
)

func (r *refusedCalls) add(at time.Time, q *request) {
	if q.call == 0 || len(r.calls) >= rememberMost {
		return
	}
	r.calls[q.call] = refusedCall{at: at, inTime: q.inTime}
}

// inTimeOf returns until when a repeated call could have met its target, false if the call
// was not refused before.
func (r *refusedCalls) inTimeOf(call uint64) (time.Time, bool) {
	c, found := r.calls[call]
	return c.inTime, found
}

func (r *refusedCalls) forgetExpired(at time.Time) {
	maps.DeleteFunc(r.calls, func(_ uint64, c refusedCall) bool { return at.Sub(c.at) >= rememberFor })
}
