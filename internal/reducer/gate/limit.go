package gate

import "time"

const (
	// window is the number of observations between two changes of the limit.
	window = 32
	// shrinkFactor is the factor applied to the limit when the server is too
	// slow.
	shrinkFactor = 0.9
	// maxSlowdown is the ratio of a service's answer time to its best one above
	// which the service counts as overloaded.
	maxSlowdown = 2.0
	// minDecodes is the lower bound of the limit of decodes. If so few are too
	// slow, their number isn't the cause, and a smaller limit would only cost
	// throughput.
	minDecodes = 4
	// bestDrift is the factor by which the best known time grows with each
	// window, so that a service that became permanently slower isn't limited
	// forever.
	bestDrift = 1.02
)

// limit is an adaptive limit of the work that a server is given at once. It
// grows by one while it is fully used and the server meets its target, and
// shrinks by a tenth when the server doesn't.
//
// Without it, a slow server is given ever more work, which makes every answer
// slower still: latency rises and throughput does not.
type limit struct {
	minimum      float64
	maximum      int
	current      float64
	observations int
	// sum is the sum of the observations in the window, in seconds. best is the
	// lowest mean of a window.
	sum  float64
	best float64
	// reached is true if the limit was in full use within the window.
	reached bool
}

func newLimit(minimum, maximum int) limit {
	return limit{minimum: float64(min(minimum, maximum)), maximum: maximum, current: float64(maximum)}
}

// slots returns how much work the server may have now.
func (l *limit) slots() int { return int(l.current) }

// observeStep observes the time between two tokens of one decode.
func (l *limit) observeStep(step, within time.Duration, running int) {
	if mean, full := l.observe(step, running); full {
		l.adjust(mean <= within.Seconds(), float64(running))
	}
}

// observeCall observes the duration of one call.
func (l *limit) observeCall(took time.Duration, running int) {
	mean, full := l.observe(took, running)
	if !full {
		return
	}
	if l.best == 0 || mean < l.best {
		l.best = mean
	}
	l.adjust(mean <= l.best*maxSlowdown, float64(running))
	l.best *= bestDrift
}

// observeFailure observes a call that ended without an answer.
func (l *limit) observeFailure() {
	l.current = max(l.current*shrinkFactor, l.minimum)
}

func (l *limit) observe(took time.Duration, running int) (mean float64, full bool) {
	l.observations++
	l.sum += took.Seconds()
	l.reached = l.reached || running >= l.slots()
	if l.observations < window {
		return 0, false
	}
	mean = l.sum / float64(l.observations)
	l.observations, l.sum = 0, 0
	return mean, true
}

// adjust grows or shrinks the limit. It shrinks from the actual number of
// running requests, because a limit far above that number would take many
// windows to have an effect.
func (l *limit) adjust(onTarget bool, running float64) {
	switch {
	case !onTarget:
		l.current = max(min(l.current, running)*shrinkFactor, l.minimum)
	case l.reached:
		l.current = min(l.current+1, float64(l.maximum))
	}
	l.reached = false
}
