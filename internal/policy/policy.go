// Package policy implements the routing and queueing policies of entries. They select
// the backend servers of a pool that receive a reservation request, the offer that
// is accepted, and the order in which queued work proceeds. Policies are generic
// over the member type and deterministic: the code that calls them passes in the time
// and the source of random numbers. Other packages use the rendezvous hashing only.
package policy

import (
	"math/rand/v2"
	"time"
)

// Name names a routing policy in settings.
type Name string

const (
	// Reserve requests offers from a few servers that likely cache the prompt's
	// prefix and from random ones, and reserves decode memory before the prefill
	// runs.
	Reserve Name = "reserve"
	// Random selects a random server.
	Random Name = "random"
	// RoundRobin selects the servers in turn.
	RoundRobin Name = "roundRobin"
	// LeastLoad selects the server with the lowest reported load; the reports lag.
	LeastLoad Name = "leastLoad"
	// Affinity selects the server that the prompt's prefix hashes to.
	Affinity Name = "affinity"
)

// Member is one backend server of a pool.
type Member interface {
	comparable
	// Key returns the stable name of the server.
	Key() string
	// Domain returns the failure domain of the server.
	Domain() string
	// Load returns the last known load of the server, in any unit that is the
	// same for all members. It may lag.
	Load() float64
	// Weight returns the fraction of a full share of random choices that the
	// server gets, from 0 to 1.
	Weight() float64
}

// Criteria describes the members that one request needs from a pool.
type Criteria struct {
	// Prefix holds one hash for each leading block of the prompt, longest
	// last. It is empty if the request has no affinity.
	Prefix []uint64
	// Domain is the failure domain with the lowest cost to reach.
	Domain string
	// Count is the number of members to pick.
	Count int
	// Except is the key of a member to exclude. The caller excludes the member by
	// passing it to Pick as already picked.
	Except string
}

// Estimate predicts the cost of serving one request at one server, from the
// server's offer and from earlier observations.
type Estimate struct {
	// StartIn is the predicted wait until the work could start.
	StartIn time.Duration
	// Took is the predicted duration of the work.
	Took time.Duration
	// Transfer is the predicted time of the KV cache transfer to the server.
	Transfer time.Duration
	// OtherDomain is true if the KV cache must leave its failure domain.
	OtherDomain bool
	// Granted is true if the server has already reserved the memory.
	Granted bool
	// Queued is the number of reservations queued ahead.
	Queued int
}

// Policy selects the servers that a request is offered to.
type Policy[T Member] interface {
	// Pick appends distinct members of the pool to picked, the preferred ones
	// first, until picked holds c.Count members or every member of the pool.
	Pick(p *Pool[T], c Criteria, rng *rand.Rand, picked []T) []T
	// Cost ranks offers; the offer with the lowest cost is accepted.
	Cost(e Estimate) time.Duration
	// ReservesDecode reports whether decode memory is reserved before the prefill.
	ReservesDecode() bool
}

// New returns the policy with the given name, or Reserve for an unknown name.
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
