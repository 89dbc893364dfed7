package experiment

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// resource is a resource of the fleet that the bound takes into account.
type resource int

const (
	prefillTime  resource = iota // seconds of prefill servers
	decodeSteps                  // seconds of decode servers
	decodeMemory                 // token seconds of decode memory
	linkOut                      // bytes out of prefill servers
	linkIn                       // bytes into decode servers
	resourceCount
)

// costs is an amount of every resource.
type costs [resourceCount]float64

// goodputBound returns an upper bound of the share of the requests that any router could
// serve within their targets, even with full knowledge of the load and without
// restrictions on where and when work runs.
//
// A request that is served within its targets uses at least its costs, whatever
// the router does. All such requests together use at most the capacity of the
// fleet. Choosing the requests to serve is relaxed to a linear programme, in which
// each request may be chosen in part, from 0 to 1. The optimum of this programme is
// bounded by its dual: for any prices p >= 0 of the resources, no choice is worth
// more than
//
//	sum over r of p[r]*have[r] + sum over i of max(0, 1 - sum over r of p[r]*cost[i][r]).
//
// The bound holds for any prices; good prices only make it tighter. It is the bound
// of a long run: work that continues after the end of the run counts in full, and
// so does the capacity before the first request.
func goodputBound(s *Scenario, arrivals []arrival, strict bool) float64 {
	if len(arrivals) == 0 {
		return 1
	}
	capacity := s.capacity()
	var demands []costs
	for i := range arrivals {
		if cost, possible := s.minCost(&arrivals[i], strict); possible {
			for r := range cost {
				cost[r] /= capacity[r]
			}
			demands = append(demands, cost)
		}
	}
	return minDual(demands) / float64(len(arrivals))
}

// capacity returns the capacity of the fleet during the run.
func (s *Scenario) capacity() costs {
	var capacity costs
	passed := time.Duration(s.Duration).Seconds()
	for _, p := range s.Pools {
		n := float64(p.Count) * passed
		switch p.Role {
		case oriolebend.Prefill:
			capacity[prefillTime] += n
			capacity[linkOut] += n * s.Engine.LinkBytes
		case oriolebend.Decode:
			capacity[decodeSteps] += n
			capacity[decodeMemory] += n * float64(p.KVTokens)
			capacity[linkIn] += n * s.Engine.LinkBytes
		}
	}
	return capacity
}

// minCost returns the least amount of each resource that a request uses, and
// whether an empty fleet could serve it within its targets.
//
// A decode step lasts d*(0.99 + n/100) for a batch of n. The memory m of each
// request bounds the size of a batch. The steps in which a request of o tokens
// takes part therefore cost the server at least o*d*(0.99*m/memory + 0.01): the
// first term is the part of a step that the batch shares, in proportion to memory,
// the second the part that each request adds. The memory is held during the
// transfer and during steps of at least d.
func (s *Scenario) minCost(a *arrival, strict bool) (costs, bool) {
	step := time.Duration(s.Engine.DecodeStep).Seconds()
	memory := float64(s.maxDecodeMemory())
	held := float64(a.promptTokens + a.class.OutputTokens.Max)
	bytes := float64(a.promptTokens) * float64(s.Engine.KVTokenBytes)
	computed := a.promptTokens - s.cacheableTokens(a)
	var c costs
	c[prefillTime] = float64(computed) / s.Engine.PrefillTokens
	c[decodeSteps] = float64(a.outputTokens) * step * (0.99*held/memory + 0.01)
	c[decodeMemory] = held * (bytes/s.Engine.LinkBytes + float64(a.outputTokens)*step)
	c[linkOut], c[linkIn] = bytes, bytes
	first := c[prefillTime] + bytes/s.Engine.LinkBytes + step
	within := time.Duration(a.class.FirstWithin)
	if strict {
		within = strictFirst
	}
	return c, first <= within.Seconds() && bytes/s.Engine.LinkBytes <= 2*time.Duration(s.Engine.ExportLife).Seconds()
}

// maxDecodeMemory returns the KV memory of the largest decode server, in tokens.
func (s *Scenario) maxDecodeMemory() int {
	largest := 1
	for _, p := range s.Pools {
		if p.Role == oriolebend.Decode {
			largest = max(largest, p.KVTokens)
		}
	}
	return largest
}

// cacheableTokens returns how many tokens of a prompt could at best be in the cache of
// the engine that computes it: the complete blocks of the shared prefix.
func (s *Scenario) cacheableTokens(a *arrival) int {
	if a.prefixID == 0 {
		return 0
	}
	shared := min(a.class.PrefixTokens, a.promptTokens)
	return shared / prefix.BlockTokens * prefix.BlockTokens
}

// minDual minimises the dual value by coordinate descent over the prices, and returns
// the smallest value found. Costs are fractions of the fleet's capacity.
func minDual(demands []costs) float64 {
	var prices costs
	best := dualValue(demands, prices)
	for width := float64(len(demands)); width > 0.01; width /= 2 {
		for improved := true; improved; {
			improved = false
			for r := range prices {
				for _, change := range []float64{width, -width} {
					candidate := prices
					candidate[r] = max(candidate[r]+change, 0)
					if value := dualValue(demands, candidate); value < best-1e-9 {
						best, prices, improved = value, candidate, true
					}
				}
			}
		}
	}
	return best
}

// dualValue returns the value of the dual for the given prices.
func dualValue(demands []costs, prices costs) float64 {
	sum := 0.0
	for _, p := range prices {
		sum += p
	}
	for _, cost := range demands {
		margin := 1.0
		for r, p := range prices {
			margin -= p * cost[r]
		}
		sum += max(margin, 0)
	}
	return sum
}
