package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ringPoints is how many points each member has on the ring. With 64 points
// the largest share of a pool of 16 members is about 1.3 times the mean.
const ringPoints = 64

// weightTries is how many random members are looked at before a slow one is
// taken all the same.
const weightTries = 4

// Pool is the members that can serve one kind of request. Finding candidates
// costs the logarithm of its size at most; building it sorts all points.
type Pool[T Member] struct {
	members []T
	ring    []point
	domains map[string][]T
	next    int
	// mean follows the load of members that were looked at by chance.
	mean float64
}

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

// Len is the number of members.
func (p *Pool[T]) Len() int { return len(p.members) }

// Members lists the members in the order of their keys; it must not be
// changed.
func (p *Pool[T]) Members() []T { return p.members }

// loadBound is how far above the mean a member's load may be before affinity
// passes it over: the bounded-load rule of consistent hashing.
const loadBound = 1.25

// owner returns the first member behind a hash on the ring that is neither
// picked yet nor over the load bound. If all are over, the first one counts.
func (p *Pool[T]) owner(hash uint64, picked []T) (T, bool) {
	var first T
	found := false
	at, _ := slices.BinarySearchFunc(p.ring, hash, func(q point, h uint64) int {
		if q.hash < h {
			return -1
		}
		if q.hash > h {
			return 1
		}
		return 0
	})
	steps := min(len(p.ring), 4*ringPoints)
	for i := range steps {
		m := p.members[p.ring[(at+i)%len(p.ring)].member]
		if slices.Contains(picked, m) {
			continue
		}
		if !found {
			first, found = m, true
		}
		if m.Load() <= loadBound*p.mean+1 {
			return m, true
		}
	}
	return first, found
}

// any returns a random member that is not picked yet; members of low weight
// are passed over as often as their weight says.
func (p *Pool[T]) any(from []T, rng *rand.Rand, picked []T) (T, bool) {
	var last T
	found := false
	if len(from) == 0 {
		return last, false
	}
	for range weightTries {
		m := from[rng.IntN(len(from))]
		p.see(m)
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

func (p *Pool[T]) firstUnpicked(from, picked []T) (T, bool) {
	for _, m := range from[:min(len(from), len(picked)+1)] {
		if !slices.Contains(picked, m) {
			return m, true
		}
	}
	var none T
	return none, false
}

// meanGain is the share that one more look has in the mean load.
const meanGain = 1.0 / 16

func (p *Pool[T]) see(m T) {
	p.mean += meanGain * (m.Load() - p.mean)
}
