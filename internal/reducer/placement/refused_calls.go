package placement

import (
	"maps"
	"time"
)

// returning remembers calls that were refused, so that a caller that comes back is
// known to have missed its target already.
//
// A caller that comes back can't be in time any more. Counted as new, it takes the
// place of one that could, and after a peak all answers stay late: half of the
// requests that asked for a place in the seconds after a peak of twice the usual
// load were such returns.
type returning struct{ calls map[uint64]refusedCall }

// refusedCall is a call that was refused at a time; until inTime it could have met
// its target.
type refusedCall struct{ at, inTime time.Time }

const (
	// rememberFor is for how long a refused call may come back: callers allow
	// fifteen seconds or less.
	rememberFor = 15 * time.Second
	// rememberMost bounds the memory that this takes, to about half a megabyte.
	rememberMost = 8192
)

func (r *returning) note(at time.Time, q *question) {
	if q.call == 0 || len(r.calls) >= rememberMost {
		return
	}
	r.calls[q.call] = refusedCall{at: at, inTime: q.inTime}
}

// first is until when a call that comes back could have met its target.
func (r *returning) first(call uint64) (time.Time, bool) {
	c, found := r.calls[call]
	return c.inTime, found
}

func (r *returning) forget(at time.Time) {
	maps.DeleteFunc(r.calls, func(_ uint64, c refusedCall) bool { return at.Sub(c.at) >= rememberFor })
}
