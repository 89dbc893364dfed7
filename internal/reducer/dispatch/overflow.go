package dispatch

import (
	"slices"
	"time"
)

const (
	// overflowAfter is the part of the target for the first event that a prompt may
	// wait in the queue of a prefill engine before a decode engine reads it itself.
	// The place at the decode engine is held meanwhile and serves nobody.
	overflowAfter = 0.3
	// backlogAfter is the part of that target from which on no place is given that
	// needs a prefill engine. The rest of it is for the prompt itself and the first
	// event.
	backlogAfter = 0.6
	// overflowPause is the part of the target for pauses that a decode engine may
	// take to read a prompt itself. Its generations stand still for as long, on top
	// of their usual pause.
	overflowPause = 0.6
	// overflowRate is how fast a decode engine reads prompts beside a prefill
	// engine: it does so in smaller pieces, between the tokens of its generations.
	overflowRate = 0.5
)

// overflow keeps those of the engines with room that can read a prompt themselves
// without holding up their generations for too long; nil if the prompt goes to its
// prefill engine.
//
// The prefill pool is divided off for the usual mix of work. When engines of it are
// lost, or a peak comes, prompts wait in its queue while each holds the memory that it
// will need at a decode engine; once they wait for longer than the target, hardly
// anything is in time, and decode engines stand by with their memory reserved. One
// notices it by prefills that take seconds. What a decode engine can read without
// harm goes around that queue: one prompt at a time, so that pauses don't add up.
func (s *State) overflow(e Asked, v *service, reader *server, fitting []*server) []*server {
	if e.Need.FirstWithin <= 0 || e.Need.PauseWithin <= 0 {
		return nil
	}
	if !v.waits(e, reader, overflowAfter) {
		return nil
	}
	if v.readTimeHere(e.Need.Prompt) > time.Duration(overflowPause*float64(e.Need.PauseWithin)) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(fitting), func(c *server) bool { return e.At.Before(c.readsUntil) })
}

// backlogged reports whether a prompt would wait in the queue of a prefill engine until
// its first event is late. Given a place all the same, it would keep memory from others
// for as long as it waits there; it waits before it has a place instead, where the one
// with the least time left goes first and where who waits in vain is told so at once.
func (v *service) backlogged(e Asked, reader *server) bool {
	return e.Need.FirstWithin > 0 && v.waits(e, reader, backlogAfter)
}

// waits reports whether what a prefill engine has to read takes longer than a part of
// the target for the first event.
func (v *service) waits(e Asked, reader *server, part float64) bool {
	return v.readTime(reader.reading) > time.Duration(part*float64(e.Need.FirstWithin))
}

// ReadTime is how long a prefill engine of a service takes for a prompt.
func (s *State) ReadTime(name string, prompt int) time.Duration {
	v := s.services[name]
	if v == nil {
		return 0
	}
	return v.readTime(prompt)
}

// readTime is how long a prefill engine takes for some tokens.
func (v *service) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / v.rate() * float64(time.Millisecond))
}

// rate is the prompt tokens a millisecond that prefill engines read.
func (v *service) rate() float64 {
	if v.readRate.count < medianFirst {
		return startRate
	}
	return v.readRate.value
}

// readTimeHere is how long a decode engine takes for a prompt.
func (v *service) readTimeHere(prompt int) time.Duration {
	return time.Duration(float64(v.readTime(prompt)) / overflowRate)
}
