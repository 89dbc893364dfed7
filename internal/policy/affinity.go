package policy

import "math/rand/v2"

// affinity takes the server that the longest shared block of the prompt
// hashes to, with bounded load.
type affinity[T Member] struct{ plain }

// Pick implements Policy.
func (affinity[T]) Pick(p *Pool[T], w Want, rng *rand.Rand, picked []T) []T {
	if hash, has := sharedBlock(w.Prefix); has {
		picked = p.appendOwner(hash, w.Count, picked)
	}
	return fill(p, w.Count, rng, picked)
}

func (p *Pool[T]) appendOwner(hash uint64, count int, picked []T) []T {
	if len(picked) >= count {
		return picked
	}
	if m, found := p.owner(hash, picked); found {
		picked = append(picked, m)
	}
	return picked
}

// sharedBlock is the hash of the block that decides affinity. The first block
// is mostly an instruction that all prompts of a model share and would lead
// them all to one server; the last is mostly one prompt's own. The one between
// tells documents apart.
func sharedBlock(prefix []uint64) (uint64, bool) {
	if len(prefix) == 0 {
		return 0, false
	}
	return prefix[len(prefix)/2], true
}
