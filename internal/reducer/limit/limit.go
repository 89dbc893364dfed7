// Package limit bounds what an entry admits and has in progress: it provides an
// adaptive concurrency limit for each pool and a rate limit for each
// organisation. The reducers of packages quota and serverlimit use its token bucket.
package limit

import "time"

// Config configures a Concurrency limit.
type Config struct {
	// Start is the first limit; zero means 64.
	Start float64
	// Min and Max bound the limit; zero means 4 and 1,024.
	Min, Max float64
	// Grow is what one success adds to the limit while the limit holds work
	// back; zero means 0.5. An entry with a few requests a second has to regain
	// in seconds what one period of refusals took.
	Grow float64
	// Backoff is the factor by which the limit shrinks when work was refused
	// for lack of room; zero means 0.85.
	Backoff float64
	// Every is the shortest time between two decreases; zero means 500ms.
	Every time.Duration
}

// Concurrency is a limit on work in progress. It grows by a step with each
// success and shrinks by a factor when servers refuse work for lack of room.
//
// With a fixed limit an entry keeps probing full servers when the fleet
// shrinks, and leaves servers idle when the fleet grows. The symptom would be
// refusals of gates, or requests that wait in the entry while gates are free.
type Concurrency struct {
	config  Config
	limit   float64
	running int
	shrunk  time.Time
}

// NewConcurrency returns a limit at its start value.
func NewConcurrency(c Config) *Concurrency {
	setDefault(&c.Start, 64)
	setDefault(&c.Min, 4)
	setDefault(&c.Max, 1024)
	setDefault(&c.Grow, 0.5)
	setDefault(&c.Backoff, 0.85)
	if c.Every == 0 {
		c.Every = 500 * time.Millisecond
	}
	return &Concurrency{config: c, limit: min(c.Start, c.Max)}
}

func setDefault(value *float64, defaultValue float64) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Acquire takes one slot if one is free.
func (c *Concurrency) Acquire() bool {
	if !c.Free() {
		return false
	}
	c.running++
	return true
}

// Take takes one slot whether one is free or not.
func (c *Concurrency) Take() { c.running++ }

// Free reports whether a slot is free.
func (c *Concurrency) Free() bool { return float64(c.running) < c.limit }

// Release returns one slot.
func (c *Concurrency) Release() { c.running-- }

// Running returns the number of slots taken.
func (c *Concurrency) Running() int { return c.running }

// Limit returns the current limit.
func (c *Concurrency) Limit() float64 { return c.limit }

// Succeeded grows the limit, but only while the limit holds work back.
func (c *Concurrency) Succeeded() {
	if float64(c.running) < c.limit/2 {
		return
	}
	c.limit = min(c.config.Max, c.limit+c.config.Grow)
}

// Refused shrinks the limit, once for all refusals of one period.
func (c *Concurrency) Refused(now time.Time) {
	if !c.shrunk.IsZero() && now.Sub(c.shrunk) < c.config.Every {
		return
	}
	c.shrunk = now
	// Work in progress is what the servers can carry now. A limit far above it
	// would take many decreases to have any effect.
	c.limit = min(c.limit, float64(c.running)+1)
	c.limit = max(c.config.Min, c.limit*c.config.Backoff)
}
