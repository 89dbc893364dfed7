package limit

import "time"

// Bucket is a token bucket from which different amounts can be taken. Its zero
// value is empty and lets nothing through.
type Bucket struct {
	// PerSecond is the amount added a second, and Burst the largest amount
	// saved up.
	PerSecond, Burst float64

	level   float64
	updated time.Time
}

// Level returns the amount that can be taken now. It is below zero after more
// than Burst was taken at once.
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

// Take takes an amount if at least that much is there beyond the amount kept
// for others, and reports whether it did. An amount above Burst, which could
// otherwise never be taken, is taken once the bucket is full; later amounts wait
// until the excess is refilled.
func (b *Bucket) Take(now time.Time, amount, kept float64) bool {
	if b.Level(now) < min(amount, b.Burst)+kept {
		return false
	}
	b.level -= amount
	return true
}

// Return puts an amount back.
func (b *Bucket) Return(amount float64) { b.level = min(b.level+amount, b.Burst) }

// Wait returns how long it takes until an amount can be taken; zero means that
// it can be taken now.
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

// never is the wait for an amount that can never be taken. It is longer than
// any caller waits.
const never = 24 * time.Hour
