package policy

import (
	"math/rand/v2"
	"slices"
)

// leastLoad picks the servers with the lowest reported load. The reports lag. It
// scans all members: it is a baseline and not meant for large pools.
type leastLoad[T Member] struct{ baseline }

// Pick implements Policy.
func (leastLoad[T]) Pick(p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T {
	for len(picked) < min(c.Count, len(p.members)) {
		picked = append(picked, leastLoaded(p, rng, picked))
	}
	return picked
}

// leastLoaded returns the member with the lowest load that is not already picked. The
// scan starts at a random member, so that ties do not always go to the first name.
func leastLoaded[T Member](p *Pool[T], rng *rand.Rand, picked []T) T {
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
