package dispatch

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// placeGeneration chooses a decode engine, and the prefill engine that would be
// done first. Only without any prefill engine does the decode engine read the
// prompt itself: between the tokens of its other requests, each of which then
// pauses for as long as a piece of the prompt takes.
func (s *State) placeGeneration(e Asked, service *service, decoders []*server) (Grant, *Refused) {
	fitting := slices.DeleteFunc(slices.Clone(decoders), func(c *server) bool {
		return c.full(e.At, e.Need) || c.held+e.Need.memory() > s.capacity(service, e.Need)
	})
	if len(fitting) == 0 {
		return Grant{}, &Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: untilRoom(e.At, decoders)}
	}
	reader := s.reader(e, service)
	decoder := s.least(fitting, func(c *server) float64 {
		load := float64(c.held)
		if reader != nil && c.FailureDomain != reader.FailureDomain {
			load += otherDomain * float64(e.Need.Prompt)
		}
		return load
	})
	grant := Grant{Need: e.Need, Server: decoder.BackendServer}
	if reader != nil {
		prefill := reader.BackendServer
		grant.Prefill = &prefill
	}
	return grant, nil
}

// memory is the KV memory that a generation needs.
func (n Need) memory() int { return n.Prompt + n.Output }

// full reports whether the server is taken to have no room for a need.
func (c *server) full(at time.Time, n Need) bool {
	return at.Before(c.fullUntil) && n.memory() >= c.fullFor
}

// lateShare is the share of an engine's memory that late requests may fill.
//
// Were they placed wherever they fit, they would take the memory that the next
// one in time is about to ask for: after a burst all requests would be late, and
// stay so until the load falls far below what the engines can carry. One would
// notice full engines and no answer that meets its target.
const lateShare = 0.85

// capacity is how much memory is granted at an engine.
func (s *State) capacity(v *service, n Need) int {
	share := s.config.Overcommit
	if n.Late {
		share = min(share, lateShare)
	}
	return int(float64(v.limits.Engine.KVTokens) * share)
}

// untilRoom is when the first of some full servers is worth another try.
func untilRoom(at time.Time, list []*server) time.Duration {
	first := retryFull
	for _, c := range list {
		if left := c.fullUntil.Sub(at); left > 0 {
			first = min(first, left)
		}
	}
	return first
}

// reader is the prefill engine that would be done first, nil if there is none.
func (s *State) reader(e Asked, service *service) *server {
	var list []*server
	for _, c := range s.inOrder {
		if c.Service == e.Need.Service && c.takesWork() && c.Role == oriolebend.Prefill {
			list = append(list, c)
		}
	}
	s.shuffle(list)
	list = s.best(e.At, service, list)
	if len(list) == 0 || service.standing(e.At, list[0]) == standingAvoided {
		return nil
	}
	return s.least(list, func(c *server) float64 { return s.splitTime(c, service, e.Need.Prompt) })
}

// splitTime is the time in milliseconds until a prefill engine has read a
// prompt and its KV cache has been moved.
func (s *State) splitTime(c *server, service *service, prompt int) float64 {
	read := float64(c.reading+prompt) / service.prefillRate.or(startRate)
	limits := service.limits.Engine
	const bitsPerByte, perMilli = 8, 1e3
	move := 0.0
	if limits.LinkMbps > 0 {
		move = float64(prompt) * float64(limits.TokenBytes) * bitsPerByte / (limits.LinkMbps * perMilli)
	}
	return read + move
}
