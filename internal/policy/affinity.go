package policy

import "math/rand/v2"

// affinity picks the server that the shared block of the prompt hashes to, with bounded
// load.
type affinity[T Member] struct{ baseline }

// Pick implements Policy.
func (affinity[T]) Pick(p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T {
	if hash, has := sharedBlock(c.Prefix); has {
		picked = p.appendOwner(hash, c.Count, picked)
	}
	return pickRandom(p, c.Count, rng, picked)
}

// appendOwner appends the owner of a hash, unless count members are already picked.
func (p *Pool[T]) appendOwner(hash uint64, count int, picked []T) []T {
	if len(picked) >= count {
		return picked
	}
	if m, found := p.ringOwner(hash, picked); found {
		picked = append(picked, m)
	}
	return picked
}

// sharedBlock returns the hash of the block that decides affinity, which is the middle
// one. The first block is mostly an instruction that all prompts of a model share and
// would send all of them to one server. The last block is mostly unique to one prompt.
// The middle block distinguishes documents.
func sharedBlock(prefix []uint64) (uint64, bool) {
	if len(prefix) == 0 {
		return 0, false
	}
	return prefix[len(prefix)/2], true
}
