package policy

import (
	"math/rand/v2"
	"time"
)

// random picks random servers, regardless of the models and prefixes that they hold.
type random[T Member] struct{ baseline }

// Pick implements Policy.
func (random[T]) Pick(p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T {
	return pickRandom(p, c.Count, rng, picked)
}

// pickRandom appends random members until count members are picked or none are left.
func pickRandom[T Member](p *Pool[T], count int, rng *rand.Rand, picked []T) []T {
	for len(picked) < count {
		m, found := p.pickWeighted(p.members, rng, picked)
		if !found {
			return picked
		}
		picked = append(picked, m)
	}
	return picked
}

// baseline holds the common behaviour of the baseline policies: only one server is
// probed, its offer is accepted at any cost, and decode memory is reserved after the
// prefill.
type baseline struct{}

// Cost implements Policy.
func (baseline) Cost(Estimate) time.Duration { return 0 }

// ReservesDecode implements Policy.
func (baseline) ReservesDecode() bool { return false }
