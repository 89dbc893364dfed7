// Package retry decides whether and when work is tried again: budgets limit
// retries to a share of successes, and retry delays have full jitter. The reducer
// of the entry uses both; package routewatch uses the delays between reconnects.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of retries that one success adds; zero means 0.2.
	Share float64
	// Floor is the number of retries a second that are added without any
	// success, so that accepted work always advances; zero means 1.
	Floor float64
	// Burst is the largest number of retries saved up, and the number available
	// at the start; zero means 32.
	Burst float64
}

// Budget is a token bucket that keeps retries to a share of successes.
//
// Without it, a fault that makes all attempts fail multiplies the load by the
// number of tries, which keeps the servers down after the fault is over. The
// symptom would be a rate of dispatches far above the rate of arrivals.
type Budget struct {
	config  BudgetConfig
	tokens  float64
	updated time.Time
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	if c.Share == 0 {
		c.Share = 0.2
	}
	if c.Floor == 0 {
		c.Floor = 1
	}
	if c.Burst == 0 {
		c.Burst = 32
	}
	return &Budget{config: c, tokens: c.Burst}
}

// Succeeded adds the share of one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.Share)
}

// Wait returns how long it takes at the floor's rate until a retry is allowed;
// zero means that it is allowed now.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.config.Floor * float64(time.Second))
}

// maxDebt is how far the tokens may go below zero. Without a bound, one second
// of stalled transfers would delay accepted work by a minute.
const maxDebt = 2

// Take spends one retry. The tokens may go below zero, for a retry that costs
// less now than later; the next retries then wait longer.
func (b *Budget) Take(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -maxDebt)
}

func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	passed := now.Sub(b.updated)
	if passed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.config.Burst, b.tokens+b.config.Floor*passed.Seconds())
}

// FullJitter returns a random pause between zero and base times two to the
// power of tries, at most the bound.
//
// Retries after equal pauses would meet again at the same server after each
// pause. The symptom would be refusals in waves.
func FullJitter(rng *rand.Rand, base, bound time.Duration, tries int) time.Duration {
	ceiling := bound
	if tries < 32 && base<<tries > 0 && base<<tries < bound {
		ceiling = base << tries
	}
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(ceiling)) + 1)
}
