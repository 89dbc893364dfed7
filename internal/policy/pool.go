package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ringPoints is the number of points that each member has on the hash ring. With
// 64 points, the largest share in a pool of 16 members is about 1.3 times the mean.
const ringPoints = 64

// maxWeightedPicks is the number of random draws after which a member is picked
// even if its weight rejected it.
const maxWeightedPicks = 4

// Pool holds the members that can serve one kind of request. Finding candidates
// takes logarithmic time at most; building the pool sorts all points of the ring.
type Pool[T Member] struct {
	members []T
	ring    []point
	domains map[string][]T
	next    int
	// meanLoad is the moving average of the load of randomly sampled members.
	meanLoad float64
}

// point is one position of a member on the hash ring.
type point struct {
	hash   uint64
	member int
}

// NewPool builds a pool. The order of members does not matter.
func NewPool[T Member](members []T) *Pool[T] {
	p := &Pool[T]{members: slices.Clone(members), domains: map[string][]T{}}
	slices.SortFunc(p.members, func(a, b T) int { return strings.Compare(a.Key(), b.Key()) })
	for i, m := range p.members {
		p.domains[m.Domain()] = append(p.domains[m.Domain()], m)
		for n := range ringPoints {
			hash := xxhash.Sum64String(m.Key() + "#" + strconv.Itoa(n))
			p.ring = append(p.ring, point{hash: hash, member: i})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		default:
			return a.member - b.member
		}
	})
	return p
}

// Len returns the number of members.
func (p *Pool[T]) Len() int { return len(p.members) }

// Members returns the members in the order of their keys. The slice must not be
// modified.
func (p *Pool[T]) Members() []T { return p.members }

// loadBound bounds the load of the members that affinity picks: affinity skips a member
// whose load exceeds loadBound times the mean load plus one, as in consistent hashing
// with bounded loads.
const loadBound = 1.25

// ringOwner returns the first member at or after a hash on the ring that is neither
// already picked nor over the load bound. It examines at most 4*ringPoints points. If
// every member found there is over the bound or picked, it returns the first one that is
// not picked.
func (p *Pool[T]) ringOwner(hash uint64, picked []T) (T, bool) {
	var first T
	found := false
	index, _ := slices.BinarySearchFunc(p.ring, hash, func(pt point, h uint64) int {
		if pt.hash < h {
			return -1
		}
		if pt.hash > h {
			return 1
		}
		return 0
	})
	steps := min(len(p.ring), 4*ringPoints)
	for i := range steps {
		m := p.members[p.ring[(index+i)%len(p.ring)].member]
		if slices.Contains(picked, m) {
			continue
		}
		if !found {
			first, found = m, true
		}
		if m.Load() <= loadBound*p.meanLoad+1 {
			return m, true
		}
	}
	return first, found
}

// pickWeighted returns a random member that is not already picked. It accepts a
// drawn member with a probability equal to the member's weight.
func (p *Pool[T]) pickWeighted(from []T, rng *rand.Rand, picked []T) (T, bool) {
	var last T
	found := false
	if len(from) == 0 {
		return last, false
	}
	for range maxWeightedPicks {
		m := from[rng.IntN(len(from))]
		p.sampleLoad(m)
		if slices.Contains(picked, m) {
			continue
		}
		last, found = m, true
		if rng.Float64() < m.Weight() {
			return m, true
		}
	}
	if found {
		return last, true
	}
	return p.firstUnpicked(from, picked)
}

// firstUnpicked returns the first member of from that is not already picked.
func (p *Pool[T]) firstUnpicked(from, picked []T) (T, bool) {
	for _, m := range from[:min(len(from), len(picked)+1)] {
		if !slices.Contains(picked, m) {
			return m, true
		}
	}
	var zero T
	return zero, false
}

// meanLoadGain is the weight of one sample in the moving average of the load.
const meanLoadGain = 1.0 / 16

// sampleLoad adds the load of a randomly drawn member to the moving average.
func (p *Pool[T]) sampleLoad(m T) {
	p.meanLoad += meanLoadGain * (m.Load() - p.meanLoad)
}
