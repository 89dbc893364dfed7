package policy

import (
	"math/rand/v2"
	"time"
)

// random takes any servers, without regard to what they hold.
type random[T Member] struct{ plain }

// Pick implements Policy.
func (random[T]) Pick(p *Pool[T], w Want, rng *rand.Rand, picked []T) []T {
	return fill(p, w.Count, rng, picked)
}

// fill appends random members until count are picked.
func fill[T Member](p *Pool[T], count int, rng *rand.Rand, picked []T) []T {
	for len(picked) < count {
		m, found := p.any(p.members, rng, picked)
		if !found {
			return picked
		}
		picked = append(picked, m)
	}
	return picked
}

// plain is what the baselines have in common: one server is asked, its offer
// is taken whatever it says, and decode memory is found after the prefill.
type plain struct{}

// Cost implements Policy.
func (plain) Cost(Estimate) time.Duration { return 0 }

// ReservesDecode implements Policy.
func (plain) ReservesDecode() bool { return false }
