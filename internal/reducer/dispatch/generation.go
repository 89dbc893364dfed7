package dispatch

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// otherDomainMemory is what a decode engine in another failure domain than the
// prefill engine's is set back by, in prompts that it holds. Moving a KV cache
// between failure domains takes twice as long, and the links are the dearest; an
// engine that holds three prompts more writes a tenth slower.
const otherDomainMemory = 3.0

const (
	// awayMemory is what a decode engine in another failure domain than the forwarder's is
	// set back by, in prompts that it holds, and awayRead what a prefill engine there is
	// set back by.
	//
	// A stream between failure domains has each of its events on a link that loses packets
	// or is cut more often than the network within one: a single one that is sent again
	// makes the stream late. One notices it by callers who see pauses that neither the
	// engine nor the forwarder has made.
	awayMemory = 3.0
	awayRead   = 20 * time.Millisecond
)

// away reports whether a server stands in another failure domain than the forwarder.
func (n Need) away(c *server) bool {
	return n.FailureDomain != "" && n.FailureDomain != c.FailureDomain
}

// placeGeneration chooses a decode engine, and the prefill engine that would be
// done first. Without any prefill engine, or while the queue of the best one is long,
// the decode engine reads the prompt itself: between the tokens of its other requests,
// each of which then pauses for as long as that takes.
func (s *State) placeGeneration(e Asked, service *service, decoders []*server) (Grant, *Refused) {
	usable := s.usable(e.At, service, decoders)
	fitting := s.fitting(e, service, usable)
	if len(fitting) == 0 {
		return Grant{}, &Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: untilRoom(e.At, usable)}
	}
	fitting = s.best(e.At, service, fitting)
	reader := s.reader(e, service)
	if reader != nil {
		around := s.overflow(e, service, reader, fitting)
		switch {
		case len(around) > 0:
			reader, fitting = nil, around
		case service.backlogged(e, reader):
			return Grant{}, &Refused{Reason: oriolebend.ReasonNoMemory, RetryAfter: retryFull}
		}
	}
	decoder := s.least(fitting, func(c *server) float64 {
		load := float64(c.held)
		if reader == nil && e.At.Before(c.readsUntil) {
			load += float64(service.limits.Engine.KVTokens) // others go first
		}
		if reader != nil && c.FailureDomain != reader.FailureDomain {
			load += otherDomainMemory * float64(e.Need.Prompt)
		}
		if e.Need.away(c) {
			load += awayMemory * float64(e.Need.Prompt)
		}
		return load
	})
	grant := Grant{Need: e.Need, Server: decoder.BackendServer}
	if reader != nil {
		prefill := reader.BackendServer
		grant.Prefill, grant.Ahead = &prefill, reader.reading
	}
	return grant, nil
}

// Memory is the KV memory that a generation needs, in tokens.
func (n Need) Memory() int { return n.Prompt + n.Output }

// usable are the engines that generations are sent to: those in good standing, and
// with them the doubted ones. While the others are full, an engine that fails a part
// of its generations is worth more than none; set aside altogether it would stand idle
// through a peak, and could never show that it is well again. Only if there are none
// of either, the others are used.
func (s *State) usable(at time.Time, service *service, list []*server) []*server {
	usable := s.scratch.usable[:0]
	for _, c := range list {
		if service.standing(at, c) <= standingDoubted {
			usable = append(usable, c)
		}
	}
	s.scratch.usable = usable
	if len(usable) == 0 {
		return s.best(at, service, list)
	}
	return usable
}

// fitting are the engines that are taken to have room.
func (s *State) fitting(e Asked, service *service, usable []*server) []*server {
	most := s.capacity(service) - e.Need.Memory()
	fitting := s.scratch.fitting[:0]
	for _, c := range usable {
		if c.held <= most && !c.full(e.At, e.Need) {
			fitting = append(fitting, c)
		}
	}
	s.scratch.fitting = fitting
	return fitting
}

// full reports whether the server is taken to have no room for a need.
func (c *server) full(at time.Time, n Need) bool {
	return at.Before(c.fullUntil) && n.Memory() >= c.fullFor
}

// capacity is how much memory is granted at an engine.
func (s *State) capacity(v *service) int {
	return int(float64(v.limits.Engine.KVTokens) * s.config.Overcommit)
}

// Roomiest returns the engine with the most room for a generation among those that it may have,
// and how many these are.
func Roomiest(s *State, at time.Time, n Need) (instance string, engines int) {
	service := s.services[n.Service]
	if service == nil || service.limits.Engine == nil {
		return "", 0
	}
	candidates := s.candidates(Asked{At: at, Need: n})
	defer s.scratch.clear()
	least, usable := math.MaxInt, s.usable(at, service, candidates)
	for _, c := range usable {
		if c.held < least {
			instance, least = c.Instance, c.held
		}
	}
	return instance, len(usable)
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
	s.scratch.readers = s.collect(s.scratch.readers, e, func(c *server) bool { return c.Role == oriolebend.Prefill })
	list := s.best(e.At, service, s.scratch.readers)
	if len(list) == 0 || service.standing(e.At, list[0]) == standingAvoided {
		return nil
	}
	return s.least(list, func(c *server) float64 {
		took := s.splitTime(c, service, e.Need.Prompt)
		if e.Need.away(c) {
			took += float64(awayRead.Milliseconds())
		}
		return took
	})
}

// splitTime is the time in milliseconds until a prefill engine has read a
// prompt and its KV cache has been moved.
func (s *State) splitTime(c *server, service *service, prompt int) float64 {
	read := float64(c.reading+prompt) / service.rate()
	limits := service.limits.Engine
	const bitsPerByte, perMilli = 8, 1e3
	move := 0.0
	if limits.LinkMbps > 0 {
		move = float64(prompt) * float64(limits.TokenBytes) * bitsPerByte / (limits.LinkMbps * perMilli)
	}
	return read + move
}
