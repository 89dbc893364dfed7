package policy

import (
	"math/rand/v2"
	"slices"
)

// leastLoad takes the servers with the least load by lagging hints. It looks
// at every member: it is a baseline, not meant for large pools.
type leastLoad[T Member] struct{ plain }

// Pick implements Policy.
func (leastLoad[T]) Pick(p *Pool[T], w Want, rng *rand.Rand, picked []T) []T {
	for len(picked) < min(w.Count, len(p.members)) {
		picked = append(picked, least(p, rng, picked))
	}
	return picked
}

// least starts at a random member, so that equal hints do not all lead to the
// first name.
func least[T Member](p *Pool[T], rng *rand.Rand, picked []T) T {
	var best T
	found := false
	start := rng.IntN(len(p.members))
	for i := range p.members {
		m := p.members[(start+i)%len(p.members)]
		if slices.Contains(picked, m) {
			continue
		}
		if !found || m.Load() < best.Load() {
			best, found = m, true
		}
	}
	return best
}
