package policy

import (
	"math/rand/v2"
	"time"
)

// reserve is the default policy. It picks one or two candidates by the prompt's prefix,
// or without a prefix one in the nearest failure domain, and the rest at random. It
// chooses among the offers that their gates make.
type reserve[T Member] struct{}

// crossDomainCost is the cost of leaving the failure domain in addition to the time of
// the transfer. It covers two crossings of a link and the use of a link that other
// transfers share. It only decides between offers that are nearly equal.
const crossDomainCost = 4 * time.Millisecond

// queuedReservationCost breaks ties between equal predictions in favour of the shorter queue.
const queuedReservationCost = 100 * time.Microsecond

// Pick implements Policy.
func (reserve[T]) Pick(p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T {
	if len(c.Prefix) > 0 {
		return pickByPrefix(p, c, rng, picked)
	}
	if near := p.domains[c.Domain]; len(near) > 0 && c.Count-len(picked) > 1 {
		picked = p.appendLessLoaded(near, rng, picked)
	}
	return pickRandom(p, c.Count, rng, picked)
}

// appendLessLoaded appends the less loaded of two random members. Even load reports that
// lag make the most loaded servers rare choices.
func (p *Pool[T]) appendLessLoaded(from []T, rng *rand.Rand, picked []T) []T {
	one, found := p.pickWeighted(from, rng, picked)
	if !found {
		return picked
	}
	if other, found := p.pickWeighted(from, rng, picked); found && other.Load() < one.Load() {
		one = other
	}
	return append(picked, one)
}

// pickByPrefix picks the owner of the shared block of the prompt, then the owner of its
// longest prefix if a place for a random member remains, and the rest at random.
func pickByPrefix[T Member](p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T {
	hash, _ := sharedBlock(c.Prefix)
	picked = p.appendOwner(hash, c.Count, picked)
	if c.Count-len(picked) > 1 {
		picked = p.appendOwner(c.Prefix[len(c.Prefix)-1], c.Count-1, picked)
	}
	return pickRandom(p, c.Count, rng, picked)
}

// Cost implements Policy. It returns the predicted time until the result of the work,
// plus small costs for factors that the prediction leaves out.
func (reserve[T]) Cost(e Estimate) time.Duration {
	cost := e.StartIn + e.Took + e.Transfer
	cost += time.Duration(e.Queued) * queuedReservationCost
	if e.OtherDomain {
		cost += crossDomainCost
	}
	return cost
}

// ReservesDecode implements Policy.
func (reserve[T]) ReservesDecode() bool { return true }
