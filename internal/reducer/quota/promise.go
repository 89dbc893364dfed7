package quota

import "time"

// promises holds the retry times that were sent to refused callers.
type promises struct {
	byCall map[uint64]promise
	// owed is the sum of the promises' costs, and last the time at which the latest one is
	// due.
	owed float64
	last time.Time
}

// promise states that a call of this cost is served if it is retried after due.
type promise struct {
	cost float64
	due  time.Time
}

// lateReserve is the share of the burst that late callers leave to callers who can still
// meet their target.
//
// While an organisation requests more than its quota, some of its requests are refused in
// any case. If the available units went to late callers, the same number of requests would
// be served, but all of them late: hardly any request would meet its target for as long as
// the organisation requests too much.
const lateReserve = 0.3

const (
	// promiseShare is the share of a quota that is promised to callers who retry; the rest
	// is for callers who request for the first time.
	promiseShare = 0.25
	// promiseAhead is how far in the future a promise may be due. Callers hardly wait longer.
	promiseAhead = 4 * time.Second
	// promiseLifetime is for how long a promise is kept after it is due.
	promiseLifetime = 500 * time.Millisecond
	// minRetryAfter is the shortest time that a refused caller has to wait.
	minRetryAfter = 20 * time.Millisecond
	// maxPromises bounds the promises to one organisation.
	maxPromises = 1024
)

// take takes a cost from the bucket. A caller whose promise is due may use the promised
// units; other callers may use only the units beyond all promises.
func (a *account) take(e Requested) bool {
	a.promises.expire(e.At)
	p, promised := a.promises.byCall[e.Call]
	kept := 0.0
	if !promised || e.At.Before(p.due) {
		// Units that are added until the last promise is due need not be in the bucket now.
		refill := promiseShare * a.bucket.PerSecond * a.promises.last.Sub(e.At).Seconds()
		kept = max(0, a.promises.owed-p.cost-max(0, refill))
		kept += a.keptForOthers(e)
	}
	if !a.bucket.Take(e.At, e.Cost, kept) {
		return false
	}
	if promised {
		a.promises.drop(e.Call)
	}
	return true
}

// keptForOthers returns the units that a caller must leave to others in any case.
func (a *account) keptForOthers(e Requested) float64 {
	if !e.Late {
		return 0
	}
	return lateReserve * a.bucket.Burst
}

// promise returns when a refused caller can be served, and records that as a promise. Each
// caller gets a time of its own: if all were sent the time at which the first of them can be
// served, they would retry at the same moment and all but one would be refused again.
func (a *account) promise(e Requested) time.Duration {
	if p, promised := a.promises.byCall[e.Call]; promised {
		return max(minRetryAfter, p.due.Sub(e.At), a.bucket.Wait(e.At, e.Cost))
	}
	due := e.At.Add(a.bucket.Wait(e.At, e.Cost+a.keptForOthers(e)))
	if len(a.promises.byCall) > 0 {
		next := a.promises.last.Add(time.Duration(e.Cost / (promiseShare * a.bucket.PerSecond) * float64(time.Second)))
		if next.After(due) {
			due = next
		}
	}
	after := max(minRetryAfter, due.Sub(e.At))
	if after <= promiseAhead && len(a.promises.byCall) < maxPromises {
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
		if at.Sub(made.due) > promiseLifetime {
			p.drop(call)
		}
	}
}
