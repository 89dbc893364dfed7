package gate

import "time"

const (
	// window is how many observations the limit looks at before it moves.
	window = 32
	// shrink is what the limit is multiplied by when the server is too slow.
	shrink = 0.9
	// tolerance is how much slower than at its best a service may answer
	// before it counts as overloaded.
	tolerance = 2.0
	// leastDecodes is how far the limit of decodes shrinks. If so few are too
	// slow it is not their number that makes them so, and to shrink further
	// would only cost throughput.
	leastDecodes = 4
	// bestDrift is by how much the best known time is forgotten a window, so
	// that a service which became slower for good isn't held down for ever.
	bestDrift = 1.02
)

// limit is an adaptive bound of the work that a server is given at once. It
// grows by one while it is reached and the server keeps its pace, and shrinks
// by a tenth when the server doesn't.
//
// Without it a slow server is given ever more work, which makes every answer
// slower still: seen as latency that rises with a throughput that does not.
type limit struct {
	least   float64
	most    int
	current float64
	seen    int
	// sum adds up what the window observed, in seconds; best is the lowest
	// mean of a window.
	sum  float64
	best float64
	// reached is true if the limit was in full use within the window.
	reached bool
}

func newLimit(least, most int) limit {
	return limit{least: float64(min(least, most)), most: most, current: float64(most)}
}

// slots is how much work the server may have now.
func (l *limit) slots() int { return int(l.current) }

// decodeStep takes the time between two tokens of one decode.
func (l *limit) decodeStep(step, within time.Duration, running int) {
	if mean, full := l.observe(step, running); full {
		l.move(mean <= within.Seconds(), float64(running))
	}
}

// callTook takes the time of one call.
func (l *limit) callTook(took time.Duration, running int) {
	mean, full := l.observe(took, running)
	if !full {
		return
	}
	if l.best == 0 || mean < l.best {
		l.best = mean
	}
	l.move(mean <= l.best*tolerance, float64(running))
	l.best *= bestDrift
}

// failed takes a call that ended without an answer.
func (l *limit) failed() {
	l.current = max(l.current*shrink, l.least)
}

func (l *limit) observe(took time.Duration, running int) (mean float64, full bool) {
	l.seen++
	l.sum += took.Seconds()
	l.reached = l.reached || running >= l.slots()
	if l.seen < window {
		return 0, false
	}
	mean = l.sum / float64(l.seen)
	l.seen, l.sum = 0, 0
	return mean, true
}

// move grows or shrinks the limit. It shrinks from what really runs, as a
// limit far above that would take many windows to bind.
func (l *limit) move(kept bool, running float64) {
	switch {
	case !kept:
		l.current = max(min(l.current, running)*shrink, l.least)
	case l.reached:
		l.current = min(l.current+1, float64(l.most))
	}
	l.reached = false
}
