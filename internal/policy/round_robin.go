package policy

import (
	"math/rand/v2"
	"slices"
)

// roundRobin picks the servers in turn, in the order of their names.
type roundRobin[T Member] struct{ baseline }

// Pick implements Policy.
func (roundRobin[T]) Pick(p *Pool[T], c Criteria, _ *rand.Rand, picked []T) []T {
	for range p.members {
		if len(picked) >= c.Count {
			break
		}
		m := p.members[p.next%len(p.members)]
		p.next++
		if !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}
