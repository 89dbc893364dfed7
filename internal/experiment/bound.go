package experiment

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// resources of a fleet, as the bound counts them.
type resource int

const (
	prefillTime  resource = iota // seconds of prefill servers
	decodeSteps                  // seconds of decode servers
	decodeMemory                 // token seconds of decode memory
	linkOut                      // bytes out of prefill servers
	linkIn                       // bytes into decode servers
	resources
)

type costs [resources]float64

// bound is the largest share of the requests that any router could serve
// within the targets, also with full knowledge of the load and no restriction
// on where and when work goes.
//
// Argument: a request that is served well uses at least its costs, whatever
// the router does. All requests that are served well share what the fleet has
// in the time. To take each request in part, from 0 to 1, relaxes the choice;
// the optimum of that linear programme is bounded by its dual: for any prices
// p >= 0 of the resources, no choice is worth more than
//
//	sum over r of p[r]*have[r] + sum over i of max(0, 1 - sum over r of p[r]*cost[i][r]).
//
// The prices only have to be found well for the bound to be tight; it holds for
// any. It is that of a long run: work that reaches over the end of the time is
// counted in full, as is the time before the first work.
func bound(s *Scenario, arrivals []arrival, strict bool) float64 {
	if len(arrivals) == 0 {
		return 1
	}
	have := s.have()
	var asked []costs
	for i := range arrivals {
		if cost, possible := s.costOf(&arrivals[i], strict); possible {
			for r := range cost {
				cost[r] /= have[r]
			}
			asked = append(asked, cost)
		}
	}
	return dual(asked) / float64(len(arrivals))
}

// have is what the fleet has in the time.
func (s *Scenario) have() costs {
	var have costs
	passed := time.Duration(s.Duration).Seconds()
	for _, p := range s.Pools {
		n := float64(p.Count) * passed
		switch p.Role {
		case oriolebend.Prefill:
			have[prefillTime] += n
			have[linkOut] += n * s.Engine.LinkBytes
		case oriolebend.Decode:
			have[decodeSteps] += n
			have[decodeMemory] += n * float64(p.KVTokens)
			have[linkIn] += n * s.Engine.LinkBytes
		}
	}
	return have
}

// costOf is the least that a request takes, and whether an empty fleet could
// serve it within its targets.
//
// A decode step lasts d*(0.99 + n/100) for a batch of n. The memory m of each
// request bounds the batch of a step, so that the steps in which a request of o
// tokens takes part cost the server at least o*d*(0.99*m/memory + 0.01): the
// first part shared by memory, the second its own. Its memory is held for the
// transfer and for steps of at least d.
func (s *Scenario) costOf(a *arrival, strict bool) (costs, bool) {
	step := time.Duration(s.Engine.DecodeStep).Seconds()
	memory := float64(s.decodeTokens())
	held := float64(a.prompt + a.class.OutputTokens.Max)
	bytes := float64(a.prompt) * float64(s.Engine.KVTokenBytes)
	computed := a.prompt - s.cacheable(a)
	var c costs
	c[prefillTime] = float64(computed) / s.Engine.PrefillTokens
	c[decodeSteps] = float64(a.output) * step * (0.99*held/memory + 0.01)
	c[decodeMemory] = held * (bytes/s.Engine.LinkBytes + float64(a.output)*step)
	c[linkOut], c[linkIn] = bytes, bytes
	first := c[prefillTime] + bytes/s.Engine.LinkBytes + step
	within := time.Duration(a.class.FirstWithin)
	if strict {
		within = strictFirst
	}
	return c, first <= within.Seconds() && bytes/s.Engine.LinkBytes <= 2*time.Duration(s.Engine.ExportLife).Seconds()
}

// decodeTokens is the largest memory of a decode server.
func (s *Scenario) decodeTokens() int {
	largest := 1
	for _, p := range s.Pools {
		if p.Role == oriolebend.Decode {
			largest = max(largest, p.KVTokens)
		}
	}
	return largest
}

// cacheable is how much of a prompt might be cached where it is computed.
func (s *Scenario) cacheable(a *arrival) int {
	if a.prefixID == 0 {
		return 0
	}
	shared := min(a.class.PrefixTokens, a.prompt)
	return shared / prefix.BlockTokens * prefix.BlockTokens
}

// dual finds prices by descent along one resource after the other, over
// fractions of what the fleet has.
func dual(asked []costs) float64 {
	var prices costs
	best := dualAt(asked, prices)
	for width := float64(len(asked)); width > 0.01; width /= 2 {
		for moved := true; moved; {
			moved = false
			for r := range prices {
				for _, by := range []float64{width, -width} {
					tried := prices
					tried[r] = max(tried[r]+by, 0)
					if value := dualAt(asked, tried); value < best-1e-9 {
						best, prices, moved = value, tried, true
					}
				}
			}
		}
	}
	return best
}

func dualAt(asked []costs, prices costs) float64 {
	sum := 0.0
	for _, p := range prices {
		sum += p
	}
	for _, cost := range asked {
		left := 1.0
		for r, p := range prices {
			left -= p * cost[r]
		}
		sum += max(left, 0)
	}
	return sum
}
