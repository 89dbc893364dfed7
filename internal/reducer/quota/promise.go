package quota

import "time"

// promises are what was told to callers that were refused: when each can be served.
type promises struct {
	byCall map[uint64]promise
	// owed is what they cost together, last when the latest of them is due.
	owed float64
	last time.Time
}

// promise is that a call which costs so much is served when it comes back after due.
type promise struct {
	cost float64
	due  time.Time
}

// leftInTime is the share of the burst that callers who come back leave to those who can
// still be in time.
//
// While an organisation asks for more than its quota some of its requests are refused,
// whichever these are. Given to callers who come back, what there is serves as many, and
// all of them late: for as long as it asks for too much hardly anything of it is in time.
const leftInTime = 0.3

const (
	// promiseShare is the share of a quota that is promised to callers who come back; the
	// rest is for those who come for the first time.
	promiseShare = 0.25
	// promiseAhead is how far ahead promises are made. Callers wait for hardly longer.
	promiseAhead = 4 * time.Second
	// promiseHolds is for how long after it is due a promise is kept.
	promiseHolds = 500 * time.Millisecond
	// promiseLeast is the shortest time that a refused caller is told.
	promiseLeast = 20 * time.Millisecond
	// promiseMost bounds the promises to one organisation.
	promiseMost = 1024
)

// take takes a cost from the bucket: what was promised for a caller that comes back, what
// is beyond all promises for others.
func (a *account) take(e Requested) bool {
	a.promises.expire(e.At)
	p, promised := a.promises.byCall[e.Call]
	kept := 0.0
	if !promised || e.At.Before(p.due) {
		// What is still to become free until the last promise is due does not have to be
		// there now.
		toCome := promiseShare * a.bucket.PerSecond * a.promises.last.Sub(e.At).Seconds()
		kept = max(0, a.promises.owed-p.cost-max(0, toCome))
		kept += a.left(e)
	}
	if !a.bucket.Take(e.At, e.Cost, kept) {
		return false
	}
	if promised {
		a.promises.drop(e.Call)
	}
	return true
}

// left is what a caller leaves to others in any case.
func (a *account) left(e Requested) float64 {
	if !e.Late {
		return 0
	}
	return leftInTime * a.bucket.Burst
}

// promise is when a caller that is refused can be served. Callers that were all told the
// time at which the first of them can be served would meet, and all but one be refused
// again.
func (a *account) promise(e Requested) time.Duration {
	if p, promised := a.promises.byCall[e.Call]; promised {
		return max(promiseLeast, p.due.Sub(e.At), a.bucket.Wait(e.At, e.Cost))
	}
	due := e.At.Add(a.bucket.Wait(e.At, e.Cost+a.left(e)))
	if len(a.promises.byCall) > 0 {
		next := a.promises.last.Add(time.Duration(e.Cost / (promiseShare * a.bucket.PerSecond) * float64(time.Second)))
		if next.After(due) {
			due = next
		}
	}
	after := max(promiseLeast, due.Sub(e.At))
	if after <= promiseAhead && len(a.promises.byCall) < promiseMost {
		a.promises.add(e.Call, promise{cost: e.Cost, due: due})
	}
	return after
}

func (p *promises) add(call uint64, made promise) {
	if p.byCall == nil {
		p.byCall = map[uint64]promise{}
	}
	p.byCall[call] = made
	p.owed += made.cost
	p.last = made.due
}

func (p *promises) drop(call uint64) {
	p.owed -= p.byCall[call].cost
	delete(p.byCall, call)
	if len(p.byCall) == 0 {
		p.owed = 0
	}
}

func (p *promises) expire(at time.Time) {
	for call, made := range p.byCall {
		if at.Sub(made.due) > promiseHolds {
			p.drop(call)
		}
	}
}
