package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// avoidFirst and avoidMost bound how long a server that failed is avoided;
	// the time doubles with each failure in a row. A server that restarts is
	// back within seconds, and one try at it then costs at most one request.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidFull is how long a server that refused for lack of room is avoided:
	// about the time in which one of ten generations in progress ends.
	avoidFull = 60 * time.Millisecond
)

// promptRead ends the reading part of a grant.
func (s *State) promptRead(e PromptRead) {
	service := s.services[e.Grant.Need.Service]
	p := s.servers[e.Grant.Prefill.Instance]
	if p == nil {
		return
	}
	p.busy = max(0, p.busy-1)
	p.reading = max(0, p.reading-e.Grant.Need.Prompt)
	switch {
	case e.Unused:
		return
	case e.Failed:
		p.fail(e.At)
		return
	}
	p.failed, p.avoidUntil = 0, time.Time{}
	if service != nil && e.Took > 0 {
		service.read(e.Grant.Need, e.Took)
	}
}

// read counts a prompt that a prefill engine has read. What is measured holds the
// time in the engine's queue as well, so that a high rate is the engine's own. The
// highest one is not: an engine that still has the prompt of a caller who comes
// back answers at once, and one such rate made the prefill pool seem five times
// as fast as it was.
func (v *service) read(n Need, took time.Duration) {
	v.prefillRate.add(rate(n.Prompt, took))
	v.highRate.add(rate(n.Prompt, took))
	v.load.Requests++
	v.load.PromptTokens += n.Prompt
}

// rate is in tokens a millisecond.
func rate(tokens int, took time.Duration) float64 {
	return float64(tokens) / max(1, float64(took.Microseconds())/1e3)
}

// ended gives the place of a grant back and judges its server.
func (s *State) ended(e Ended) {
	c := s.servers[e.Grant.Server.Instance]
	if c == nil {
		return
	}
	c.busy = max(0, c.busy-1)
	c.held = max(0, c.held-e.Grant.Need.memory())
	if e.Outcome != OutcomeFull {
		c.fullUntil = time.Time{} // memory has just become free there
	}
	service := s.services[e.Grant.Need.Service]
	switch e.Outcome {
	case OutcomeAnswered:
		c.failed, c.avoidUntil = 0, time.Time{}
		c.judged(service, false, e.Took)
	case OutcomeFailed:
		c.failed = 0
		c.judged(service, true, 0)
	case OutcomeRefused:
		c.avoidUntil = e.At.Add(avoidFull)
	case OutcomeFull:
		if memory := e.Grant.Need.memory(); !e.At.Before(c.fullUntil) || memory < c.fullFor {
			c.fullFor = memory
		}
		c.fullUntil = e.At.Add(avoidFull)
		if e.Grant.Need.Again && service != nil {
			service.budget.withdraw(e.At, s.config.RetryWindow)
		}
	case OutcomeBroken:
		c.judged(service, true, 0)
		c.fail(e.At)
	case OutcomeMoved:
		// Another instance has the address; this one does not come back.
		c.Phase = message.PhaseGone
	case OutcomeCancelled:
	}
}

// judged adds an answer to the averages of the server and of its service.
func (c *server) judged(v *service, failed bool, took time.Duration) {
	value := 0.0
	if failed {
		value = 1
	}
	c.failures.add(value)
	if took > 0 {
		c.took.add(float64(took.Microseconds()) / 1e3)
	}
	if v == nil {
		return
	}
	v.failures.add(value)
	if took > 0 {
		v.took.add(float64(took.Microseconds()) / 1e3)
	}
}

// fail avoids a server for a while.
func (c *server) fail(at time.Time) {
	pause := avoidMost
	if c.failed < 5 {
		pause = min(avoidMost, avoidFirst<<c.failed)
	}
	c.failed++
	c.avoidUntil = at.Add(pause)
}
