package quota

import "time"

// promises holds the retry times that were sent to refused callers.
type promises struct {
	byCall map[uint64]promise
	// lines holds the promises by rank, up to the least urgent rank that was promised one.
	lines []line
	// demand is how much the organisation requests.
	demand demand
}

// line is the promises made to requests of one rank. Each falls due after the one before.
type line struct {
	count int
	// cost is the sum of the promises' costs, and last the time at which the latest one is
	// due.
	cost float64
	last time.Time
}

// promise states that a call of this cost is served if it is retried after due.
type promise struct {
	cost float64
	due  time.Time
	line int
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
	// promiseShare is the share of a quota, or of the part of it that is left for a rank,
	// that is promised to callers who retry; the rest is for callers who request for the
	// first time.
	promiseShare = 0.25
	// promiseMost is the share of a quota that is promised to callers of all ranks
	// together.
	promiseMost = 0.75
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
	a.promises.demand.observe(e, &a.bucket, promised)
	kept := 0.0
	if !promised || e.At.Before(p.due) {
		kept = a.promises.kept(e.At, a.bucket.PerSecond, p) + a.keptForOthers(e)
	}
	if !a.bucket.Take(e.At, e.Cost, kept) {
		return false
	}
	a.promises.demand.ranks.Settle(e.Rank, 0, 1)
	if promised {
		a.promises.drop(e.Call)
	}
	return true
}

// keptForOthers returns the units that a caller must leave to others in any case.
func (a *account) keptForOthers(e Requested) float64 {
	return a.keptByLate(e) + a.reservedFor(e)
}

// keptByLate returns the units that a late caller leaves to callers who are in time.
func (a *account) keptByLate(e Requested) float64 {
	if !e.Late {
		return 0
	}
	return lateReserve * a.bucket.Burst
}

// reservedFor returns the units that a request leaves to more urgent ranks, at most what the
// bucket can hold besides the request.
func (a *account) reservedFor(e Requested) float64 {
	room := max(0, a.bucket.Burst-min(e.Cost, a.bucket.Burst)-a.keptByLate(e))
	return min(room, a.promises.demand.reserved(e.Rank, &a.bucket))
}

// promise returns when a refused caller can be served, and records that as a promise. Each
// caller gets a time of its own: if all were sent the time at which the first of them can be
// served, they would retry at the same moment and all but one would be refused again.
func (a *account) promise(e Requested) time.Duration {
	if p, promised := a.promises.byCall[e.Call]; promised {
		return max(minRetryAfter, p.due.Sub(e.At), a.bucket.Wait(e.At, e.Cost))
	}
	available := a.promises.demand.available(e.Rank, &a.bucket)
	wait := a.bucket.Wait(e.At, e.Cost+a.keptForOthers(e))
	due := e.At.Add(time.Duration(float64(wait) / available))
	if last, found := a.promises.lastUpTo(e.Rank); found {
		next := last.Add(time.Duration(e.Cost / (promiseShare * available * a.bucket.PerSecond) * float64(time.Second)))
		if next.After(due) {
			due = next
		}
	}
	after := max(minRetryAfter, due.Sub(e.At))
	if after <= promiseAhead && a.promises.room(e.Cost, a.bucket.PerSecond) {
		a.promises.add(e.Call, promise{cost: e.Cost, due: due, line: a.promises.demand.line(e.Rank)})
	}
	return after
}

// kept returns the units that a request leaves for the promises; its own is not counted. Units
// that are added until the last promise of a line is due need not be in the bucket now.
func (p *promises) kept(at time.Time, perSecond float64, own promise) float64 {
	kept := 0.0
	for rank, l := range p.lines {
		if l.count == 0 {
			continue
		}
		if rank == own.line {
			l.cost -= own.cost
		}
		refill := promiseShare * perSecond * l.last.Sub(at).Seconds()
		kept += max(0, l.cost-max(0, refill))
	}
	return kept
}

// lastUpTo returns when the last promise to a request of this or a more urgent rank is due;
// false if there is none. Promises to less urgent ranks delay no request.
func (p *promises) lastUpTo(rank int) (last time.Time, found bool) {
	for _, l := range p.lines[:min(p.demand.line(rank)+1, len(p.lines))] {
		if l.count > 0 && (!found || l.last.After(last)) {
			last, found = l.last, true
		}
	}
	return last, found
}

// room reports whether another cost can be promised.
func (p *promises) room(cost, perSecond float64) bool {
	lines, promised := 0, cost
	for _, l := range p.lines {
		if l.count > 0 {
			lines, promised = lines+1, promised+l.cost
		}
	}
	most := promiseMost * perSecond * promiseAhead.Seconds()
	return len(p.byCall) < maxPromises && (lines <= 1 || promised <= most)
}

func (p *promises) add(call uint64, made promise) {
	if p.byCall == nil {
		p.byCall = map[uint64]promise{}
	}
	p.byCall[call] = made
	if missing := made.line + 1 - len(p.lines); missing > 0 {
		p.lines = append(p.lines, make([]line, missing)...)
	}
	l := &p.lines[made.line]
	l.count, l.cost, l.last = l.count+1, l.cost+made.cost, made.due
}

func (p *promises) drop(call uint64) {
	made := p.byCall[call]
	delete(p.byCall, call)
	l := &p.lines[made.line]
	l.count, l.cost = l.count-1, l.cost-made.cost
	if l.count == 0 {
		l.cost = 0
	}
}

func (p *promises) expire(at time.Time) {
	for call, made := range p.byCall {
		if at.Sub(made.due) > promiseLifetime {
			p.drop(call)
		}
	}
}
