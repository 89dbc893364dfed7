// Package policy holds the routing and queueing policies: which backend
// servers of a pool are asked for one request, which of their offers is taken,
// and in which order waiting work goes on. Policies are generic over the
// member type and pure: time and random numbers are handed in.
package policy

import (
	"math/rand/v2"
	"time"
)

// Name names a routing policy in settings.
type Name string

const (
	// Reserve asks a few servers that likely hold the prompt's prefix and one
	// at random, and reserves decode memory before the prefill is paid for.
	Reserve Name = "reserve"
	// Random takes any server.
	Random Name = "random"
	// RoundRobin takes one server after the other.
	RoundRobin Name = "roundRobin"
	// LeastLoad takes the server with the least load by lagging hints.
	LeastLoad Name = "leastLoad"
	// Affinity takes the server that the prompt's prefix hashes to.
	Affinity Name = "affinity"
)

// Member is one backend server of a pool, as a policy sees it.
type Member interface {
	comparable
	// Key is the stable name of the server.
	Key() string
	// Domain is the failure domain of the server.
	Domain() string
	// Load is what is known of the server's load, in any unit that is the
	// same for all members; the knowledge may lag.
	Load() float64
	// Weight is how much of a full share of random choices the server gets,
	// from 0 to 1.
	Weight() float64
}

// Want is what one request asks of a pool.
type Want struct {
	// Prefix holds one hash for each leading block of the prompt, longest
	// last; it is empty if affinity does not matter.
	Prefix []uint64
	// Domain is the failure domain that costs the least to reach.
	Domain string
	// Count is how many members are wanted.
	Count int
	// Except is the key of a member that is not wanted; the caller hands it in
	// as picked.
	Except string
}

// Estimate is what is known of serving one request at one server, from its
// offer and from what was learned.
type Estimate struct {
	// StartIn is the predicted wait until the work could start.
	StartIn time.Duration
	// Took is the predicted time of the work.
	Took time.Duration
	// Transfer is the predicted time to move the KV cache to the server.
	Transfer time.Duration
	// OtherDomain is true if the KV cache has to leave its failure domain.
	OtherDomain bool
	// Granted is true if the room is held already.
	Granted bool
	// Queued counts reservations ahead.
	Queued int
}

// Policy decides where a request is tried.
type Policy[T Member] interface {
	// Pick appends different members of the pool to picked, the most wanted
	// first, until there are w.Count.
	Pick(p *Pool[T], w Want, rng *rand.Rand, picked []T) []T
	// Cost orders offers; the lowest is taken.
	Cost(e Estimate) time.Duration
	// ReservesDecode is true if decode memory is reserved before the prefill.
	ReservesDecode() bool
}

// New returns the policy of a name; an unknown name gives Reserve.
func New[T Member](n Name) Policy[T] {
	switch n {
	case Random:
		return random[T]{}
	case RoundRobin:
		return roundRobin[T]{}
	case LeastLoad:
		return leastLoad[T]{}
	case Affinity:
		return affinity[T]{}
	default:
		return reserve[T]{}
	}
}
