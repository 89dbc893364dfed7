package dispatch

import (
	"time"
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
	// avoidMoved is how long a server is avoided at whose address another instance
	// answered, or one that has changed its role: until it is known to be silent, or its
	// role is told. Given up for good, one whose answer crossed the word of its new role
	// would stay idle.
	avoidMoved = 5 * time.Second
)

// promptRead ends the reading part of a grant.
func (s *State) promptRead(e PromptRead) {
	p := s.at(*e.Grant.Prefill)
	if p == nil {
		return
	}
	p.busy = max(0, p.busy-1)
	defer s.forget(p)
	p.reading = max(0, p.reading-e.Grant.Need.Prompt)
	if c := s.at(e.Grant.Server); c != nil {
		c.fullFor += e.Grant.Need.Output // reserved until now, and not written yet
		if !e.Unused {
			c.refused = false
		}
	}
	switch {
	case e.Unused:
		return
	case e.Failed:
		p.fail(e.At)
		return
	}
	p.failed, p.avoidUntil = 0, time.Time{}
}

// ended gives the place of a grant back and judges its server.
func (s *State) ended(e Ended) {
	c := s.at(e.Grant.Server)
	if c == nil {
		return
	}
	c.busy = max(0, c.busy-1)
	defer s.forget(c)
	c.held = max(0, c.held-e.Grant.Need.Memory())
	if e.Outcome != OutcomeFull {
		c.fullFor += e.Grant.Need.Memory()
	}
	if service := s.services[e.Grant.Need.Service]; service != nil {
		service.observe(e)
		if (e.Outcome == OutcomeFull || e.Outcome == OutcomeWithheld) && e.Grant.Need.Again {
			service.budget.withdraw(e.At, s.config.RetryWindow)
		}
	}
	s.judge(Judged(e))
}

// judge judges the server of a grant by how a sending ended.
func (s *State) judge(e Judged) {
	c := s.at(e.Grant.Server)
	if c == nil {
		return
	}
	service := s.services[e.Grant.Need.Service]
	switch e.Outcome {
	case OutcomeAnswered:
		c.failed, c.avoidUntil, c.refused = 0, time.Time{}, false
		c.judged(service, false, e.Took)
	case OutcomeFailed:
		c.failed = 0
		c.judged(service, true, 0)
	case OutcomeRefused:
		c.avoidUntil = e.At.Add(avoidFull)
	case OutcomeFull:
		s.refused(e.At, c, e.Grant.Need.Memory())
	case OutcomeBroken, OutcomeCut:
		c.judged(service, true, 0)
		c.fail(e.At)
	case OutcomeLeft:
		c.fail(e.At)
	case OutcomeMoved:
		c.avoidUntil = e.At.Add(avoidMoved)
	case OutcomeCancelled, OutcomeWithheld, OutcomeDeclined:
	}
}

// againPause is how many times as long a server is taken to be full that refused again.
// With up to eight times as long a fifth of a site's memory lay idle for seconds after a
// change of leader, while a hundred requests waited for it.
const againPause = 2

// refused notes that a server had no room for an amount of memory.
//
// A server that refuses holds memory for work that is not known here: of forwarders
// that were lost, of streams whose end nobody saw, of another process that gave places
// before. The end of known work frees nothing then. Tried again at each such end,
// hundreds of full engines are asked a thousand times a second, and the process that
// gives places has no time left for what else it does. So one that refuses again must have
// seen as much more end before the next try, and the pause is longer after which there is
// one in any case.
func (s *State) refused(at time.Time, c *server, memory int) {
	room, pause := memory, s.config.FullFor
	if c.refused {
		room, pause = 0, againPause*pause
	}
	if !at.Before(c.fullUntil) || room < c.fullFor {
		c.fullFor = room
	}
	c.fullUntil = at.Add(pause)
	c.refused = true
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
