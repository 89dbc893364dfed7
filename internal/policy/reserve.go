package policy

import (
	"math/rand/v2"
	"time"
)

// reserve is the product's own policy: one or two candidates by the prefix,
// the rest at random, the choice by the gates' true offers.
type reserve[T Member] struct{}

// domainCost is what leaving the failure domain counts for besides the time of
// the transfer itself: two crossings of a link and a share of a link that
// others need. It only decides between offers that are nearly equal.
const domainCost = 4 * time.Millisecond

// queuedCost breaks ties between equal predictions for the shorter queue.
const queuedCost = 100 * time.Microsecond

// Pick implements Policy.
func (reserve[T]) Pick(p *Pool[T], w Want, rng *rand.Rand, picked []T) []T {
	if len(w.Prefix) > 0 {
		return pickByPrefix(p, w, rng, picked)
	}
	if near := p.domains[w.Domain]; len(near) > 0 && w.Count-len(picked) > 1 {
		picked = p.lessLoaded(near, rng, picked)
	}
	return fill(p, w.Count, rng, picked)
}

// lessLoaded appends the one of two random members that hints call less
// loaded: even hints that lag make the fullest servers rare choices.
func (p *Pool[T]) lessLoaded(from []T, rng *rand.Rand, picked []T) []T {
	one, found := p.any(from, rng, picked)
	if !found {
		return picked
	}
	if other, found := p.any(from, rng, picked); found && other.Load() < one.Load() {
		one = other
	}
	return append(picked, one)
}

func pickByPrefix[T Member](p *Pool[T], w Want, rng *rand.Rand, picked []T) []T {
	hash, _ := sharedBlock(w.Prefix)
	picked = p.appendOwner(hash, w.Count, picked)
	if w.Count-len(picked) > 1 {
		picked = p.appendOwner(w.Prefix[len(w.Prefix)-1], w.Count-1, picked)
	}
	return fill(p, w.Count, rng, picked)
}

// Cost implements Policy: the predicted time until the work has its result,
// with small costs for what the prediction leaves out.
func (reserve[T]) Cost(e Estimate) time.Duration {
	cost := e.StartIn + e.Took + e.Transfer
	cost += time.Duration(e.Queued) * queuedCost
	if e.OtherDomain {
		cost += domainCost
	}
	return cost
}

// ReservesDecode implements Policy.
func (reserve[T]) ReservesDecode() bool { return true }
