// Package retry decides whether and when work is tried again: budgets that
// are a share of successes, and full jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is how many retries one success earns; zero means 0.2.
	Share float64
	// Floor is how many retries a second come without any success, so that
	// accepted work always advances; zero means 1.
	Floor float64
	// Burst bounds what is saved up, and is there at the start; zero means 32.
	Burst float64
}

// Budget is a token bucket that keeps retries to a share of successes.
//
// Without it a fault that makes all attempts fail multiplies the load by the
// number of tries, which keeps the servers down after the fault is gone. One
// would notice by a rate of dispatches far over the rate of arrivals.
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

// Succeeded earns the share of one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.Share)
}

// Wait is how long it takes at the floor's rate until a retry is allowed;
// zero means now.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.config.Floor * float64(time.Second))
}

// mostDebt is how far the tokens go below zero. Without a bound a second of
// stalled transfers would hold accepted work back for a minute.
const mostDebt = 2

// Take spends one retry. The tokens may go below zero, for a retry that is
// cheaper now than later; the next ones then wait longer.
func (b *Budget) Take(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -mostDebt)
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
// Retries with equal pauses meet again at the same server after each pause;
// one would notice refusals in waves.
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
