package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// otherDomainMemory is the penalty of a decode engine in another failure domain than the
// prefill engine, in prompts that it holds. Moving a KV cache between failure domains takes
// twice as long, and the links between them are the most expensive; an engine that holds three
// more prompts writes a tenth slower.
const otherDomainMemory = 3.0

const (
	// forwarderDomainMemory is the penalty of a decode engine in another failure domain than
	// the forwarder, in prompts that it holds, and forwarderDomainDelay the penalty of a
	// prefill engine there.
	//
	// Each event of a stream between failure domains crosses a link that loses packets or is
	// cut more often than the network within one domain, and a single retransmission makes the
	// stream late. The symptom is that callers see pauses that neither the engine nor the
	// forwarder has caused.
	forwarderDomainMemory = 3.0
	forwarderDomainDelay  = 20 * time.Millisecond
)

// inOtherDomain reports whether a server is in another failure domain than the forwarder.
func (n Need) inOtherDomain(c *server) bool {
	return n.FailureDomain != "" && n.FailureDomain != c.FailureDomain
}

// chooseEngines chooses the decode engine with the least predicted time x memory, and the prefill
// engine that would finish first. Without any prefill engine, or while the queue of the best one is
// long, the decode engine prefills the prompt itself, between the tokens of its other requests; each
// of these then pauses for as long as the prefill takes.
func (s *State) chooseEngines(e PlacementRequested, service *service, decoders []*server) (Grant, *Refused) {
	usable := s.usable(e.At, service, decoders)
	fitting := s.fitting(e, service, usable)
	if len(fitting) == 0 {
		return Grant{}, &Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: untilRetry(e.At, usable)}
	}
	if late := s.endsTooLate(e, service); late != nil {
		if fitting = slices.DeleteFunc(fitting, late); len(fitting) == 0 {
			return Grant{}, &Refused{Reason: oriolebend.ReasonDeadline, RetryAfter: retryFull}
		}
	}
	fitting = s.healthiest(e.At, service, fitting)
	prefiller := s.choosePrefillEngine(e, service)
	if prefiller != nil {
		overflow := s.overflow(e, service, prefiller, fitting)
		switch {
		case len(overflow) > 0:
			prefiller, fitting = nil, overflow
		case service.backlogged(e, prefiller):
			return Grant{}, &Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: retryFull}
		}
	}
	decoder := s.leastLoaded(fitting, func(c *server) float64 {
		load := float64(c.heldMemory)
		if prefiller == nil && e.At.Before(c.prefillsUntil) {
			load += float64(service.limits.Engine.KVTokens) // prefer the other engines
		}
		if prefiller != nil && c.FailureDomain != prefiller.FailureDomain {
			load += otherDomainMemory * float64(e.Need.Prompt)
		}
		if e.Need.inOtherDomain(c) {
			load += forwarderDomainMemory * float64(e.Need.Prompt)
		}
		return c.weightedMemory(load, e.Need)
	})
	grant := Grant{Need: e.Need, Server: decoder.BackendServer, Batch: decoder.inProgress}
	if prefiller != nil {
		prefill := prefiller.BackendServer
		grant.Prefill, grant.Ahead = &prefill, prefiller.pendingPrompt
	}
	return grant, nil
}

// Memory is the KV memory that a generation needs, in tokens.
func (n Need) Memory() int { return n.Prompt + n.Output }

// usable returns the engines to which generations are sent: those of good health and the
// suspect ones. While the good ones are full, an engine that fails a part of its
// generations is better than none; if it were excluded, it would stay idle through a peak and
// could never show that it has recovered. Only if there are none of either, the best of the
// others are used.
func (s *State) usable(at time.Time, service *service, list []*server) []*server {
	usable := s.scratch.usable[:0]
	for _, c := range list {
		if service.healthOf(at, c) <= healthSuspect {
			usable = append(usable, c)
		}
	}
	s.scratch.usable = usable
	if len(usable) == 0 {
		return s.healthiest(at, service, list)
	}
	return usable
}

// fitting returns the engines that are assumed to have room.
func (s *State) fitting(e PlacementRequested, service *service, usable []*server) []*server {
	most := s.capacity(service) - e.Need.Memory()
	fitting := s.scratch.fitting[:0]
	for _, c := range usable {
		if c.heldMemory <= most && !c.full(e.At, e.Need) {
			fitting = append(fitting, c)
		}
	}
	s.scratch.fitting = fitting
	return fitting
}

// full reports whether the server is assumed to have no room for a need.
func (c *server) full(at time.Time, n Need) bool {
	return at.Before(c.fullUntil) && n.Memory() >= c.fullAt
}

// capacity is how much memory is granted at an engine.
func (s *State) capacity(v *service) int {
	return int(float64(v.limits.Engine.KVTokens) * s.config.Overcommit)
}

// MostFreeEngine returns the engine with the most free memory among those that a generation may
// use, and how many these are.
func MostFreeEngine(s *State, at time.Time, n Need) (instance string, engines int) {
	service := s.services[n.Service]
	if service == nil || service.limits.Engine == nil {
		return "", 0
	}
	candidates := s.candidates(PlacementRequested{At: at, Need: n})
	defer s.scratch.clear()
	least, usable := math.MaxInt, s.usable(at, service, candidates)
	for _, c := range usable {
		if c.heldMemory < least {
			instance, least = c.Instance, c.heldMemory
		}
	}
	return instance, len(usable)
}

// untilRetry is the time until the first of several full servers is worth another attempt.
func untilRetry(at time.Time, list []*server) time.Duration {
	first := retryFull
	for _, c := range list {
		if left := c.fullUntil.Sub(at); left > 0 {
			first = min(first, left)
		}
	}
	return first
}

// choosePrefillEngine returns the prefill engine that would finish first, nil if there is
// none.
func (s *State) choosePrefillEngine(e PlacementRequested, service *service) *server {
	s.scratch.prefillEngines = s.collect(s.scratch.prefillEngines, e, func(c *server) bool { return c.Role == oriolebend.Prefill })
	list := s.healthiest(e.At, service, s.scratch.prefillEngines)
	if len(list) == 0 || service.healthOf(e.At, list[0]) == healthAvoided {
		return nil
	}
	return s.leastLoaded(list, func(c *server) float64 {
		took := s.prefillAndMoveMillis(c, service, e.Need.Prompt)
		if e.Need.inOtherDomain(c) {
			took += float64(forwarderDomainDelay.Milliseconds())
		}
		return took
	})
}

// prefillAndMoveMillis is the time in milliseconds until a prefill engine has processed
// a prompt, behind those in its queue, and its KV cache has been moved.
func (s *State) prefillAndMoveMillis(c *server, service *service, prompt int) float64 {
	prefill := float64(c.pendingPrompt+prompt) / service.rate() * c.prefills.Factor()
	limits := service.limits.Engine
	const bitsPerByte, perMilli = 8, 1e3
	move := 0.0
	if limits.LinkMbps > 0 {
		move = float64(prompt) * float64(limits.TokenBytes) * bitsPerByte / (limits.LinkMbps * perMilli)
	}
	return prefill + move
}
