package limit

import "time"

// Rate is a token bucket. Its zero value lets everything through.
type Rate struct {
	// PerSecond is the number of tokens added a second; zero means no bound.
	PerSecond float64
	// Burst is the number of tokens that may be taken at once; zero means
	// PerSecond, at least 1.
	Burst float64

	tokens  float64
	updated time.Time
}

// Allow takes one token. If there is none, it returns the time until there is
// one.
func (r *Rate) Allow(now time.Time) (time.Duration, bool) {
	if r.PerSecond <= 0 {
		return 0, true
	}
	r.refill(now)
	if r.tokens >= 1 {
		r.tokens--
		return 0, true
	}
	return time.Duration((1 - r.tokens) / r.PerSecond * float64(time.Second)), false
}

func (r *Rate) refill(now time.Time) {
	burst := r.Burst
	if burst == 0 {
		burst = max(1, r.PerSecond)
	}
	if r.updated.IsZero() {
		r.tokens = burst
	} else if passed := now.Sub(r.updated); passed > 0 {
		r.tokens = min(burst, r.tokens+r.PerSecond*passed.Seconds())
	}
	r.updated = now
}
