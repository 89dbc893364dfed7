package limit

import "time"

// Bucket is a token bucket whose takers take different amounts. Its zero value is empty
// and lets nothing through.
type Bucket struct {
	// PerSecond is what becomes free in a second, Burst what is saved up at most.
	PerSecond, Burst float64

	level   float64
	updated time.Time
}

// Level is what can be taken now. It is below zero after more than Burst was taken at once.
func (b *Bucket) Level(now time.Time) float64 {
	if passed := now.Sub(b.updated); passed > 0 {
		if !b.updated.IsZero() {
			b.level += b.PerSecond * passed.Seconds()
		}
		b.updated = now
	}
	b.level = min(b.level, b.Burst)
	return b.level
}

// Take takes an amount if there is as much beyond what is kept for others. One of more
// than Burst is let through once the bucket is full, and the next ones wait for it: it
// could never be otherwise.
func (b *Bucket) Take(now time.Time, amount, kept float64) bool {
	if b.Level(now) < min(amount, b.Burst)+kept {
		return false
	}
	b.level -= amount
	return true
}

// Return puts an amount back.
func (b *Bucket) Return(amount float64) { b.level = min(b.level+amount, b.Burst) }

// Wait is how long it takes until an amount can be taken; zero means that it can be now.
func (b *Bucket) Wait(now time.Time, amount float64) time.Duration {
	missing := min(amount, b.Burst) - b.Level(now)
	if missing <= 0 {
		return 0
	}
	if b.PerSecond <= 0 {
		return never
	}
	return time.Duration(missing / b.PerSecond * float64(time.Second))
}

// never is longer than anybody waits.
const never = 24 * time.Hour
