package dispatch

import (
	"time"
)

const (
	// avoidFirst and avoidMost are the shortest and the longest time for which a server
	// that failed is avoided; the time doubles with each consecutive failure. A server
	// that restarts is back within seconds, and one attempt then costs at most one request.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidFull is how long a server that refused for lack of room is avoided: about
	// the time in which one of ten generations in progress ends.
	avoidFull = 60 * time.Millisecond
	// avoidMoved is how long a server is avoided if another instance answered at its
	// address, or if it has changed its role: until the server is known to be silent, or
	// its new role is reported. If it were avoided for good, a server whose answer crossed
	// the report of its new role would stay idle.
	avoidMoved = 5 * time.Second
	// avoidUnconfirmed is how long a restored server is avoided that failed before it announced
	// itself: until its control VM drops it, or until its announcement ends the avoidance.
	avoidUnconfirmed = 3 * time.Second
)

// releasePrefill releases the prefill part of a grant.
func (s *State) releasePrefill(e PrefillEnded) {
	p := s.grantedServer(*e.Grant.Prefill)
	if p == nil {
		return
	}
	p.inProgress = max(0, p.inProgress-1)
	defer s.dropIfIdle(p)
	p.pendingPrompt = max(0, p.pendingPrompt-e.Grant.Need.Prompt)
	if c := s.grantedServer(e.Grant.Server); c != nil {
		c.fullAt += e.Grant.Need.Output // the output's memory was reserved until now and is not yet written
		if !e.Unused {
			c.refusedLast = false
		}
	}
	switch {
	case e.Unused:
		return
	case e.Failed:
		p.avoidAfterFailure(e.At)
		return
	}
	p.failedInRow, p.avoidUntil = 0, time.Time{}
}

// releasePlacement releases a grant and applies its outcome to the server.
func (s *State) releasePlacement(e Ended) {
	c := s.grantedServer(e.Grant.Server)
	if c == nil {
		return
	}
	c.inProgress = max(0, c.inProgress-1)
	defer s.dropIfIdle(c)
	c.heldMemory = max(0, c.heldMemory-e.Grant.Need.Memory())
	if e.Outcome != OutcomeFull {
		c.fullAt += e.Grant.Need.Memory()
	}
	if service := s.services[e.Grant.Need.Service]; service != nil {
		service.observeSojourn(e)
	}
	s.applyOutcome(OutcomeObserved(e))
}

// applyOutcome updates the health of a grant's server from the outcome of a send.
func (s *State) applyOutcome(e OutcomeObserved) {
	c := s.grantedServer(e.Grant.Server)
	if c == nil {
		return
	}
	service := s.services[e.Grant.Need.Service]
	s.observeWriting(e, c, service)
	switch e.Outcome {
	case OutcomeAnswered:
		s.observeAnswer(e, c, service)
		if service != nil {
			service.answeredIn[c.FailureDomain] = e.At
		}
		c.failedInRow, c.avoidUntil, c.refusedLast = 0, time.Time{}, false
		c.addResult(service, false, e.Took)
	case OutcomeFailed:
		c.failedInRow = 0
		c.addResult(service, true, 0)
	case OutcomeRefused:
		c.avoidUntil = e.At.Add(avoidFull)
	case OutcomeFull:
		s.markFull(e.At, c, e.Grant.Need.Memory())
	case OutcomeBroken, OutcomeCut:
		c.addResult(service, true, 0)
		c.avoidAfterFailure(e.At)
	case OutcomeLeft:
		c.avoidAfterFailure(e.At)
	case OutcomeMoved:
		c.avoidUntil = e.At.Add(avoidMoved)
	case OutcomeCancelled, OutcomeWithheld, OutcomeDeclined:
	}
}

// repeatedFullFactor is the factor by which the time for which a server counts as full
// grows if the server refused twice in a row. With a factor of up to eight, a fifth of a
// site's memory stayed idle for seconds after a change of leader, while a hundred requests
// waited for it.
const repeatedFullFactor = 2

// markFull records that a server had no room for an amount of memory.
//
// A server that refuses holds memory for work that is unknown here: work of forwarders
// that were lost, of streams whose end was not seen, or of an earlier allocator. The end of
// known work then frees nothing. If each such end triggered another attempt, hundreds of full
// engines would receive a thousand requests a second, and the allocator would have no time
// for its other work. After a second refusal in a row, known work there must therefore free
// more memory than the next request needs before that request is tried, and the time after
// which the server is tried in any case is longer.
func (s *State) markFull(at time.Time, c *server, memory int) {
	room, pause := memory, s.config.FullFor
	if c.refusedLast {
		room, pause = 0, repeatedFullFactor*pause
	}
	if !at.Before(c.fullUntil) || room < c.fullAt {
		c.fullAt = room
	}
	c.fullUntil = at.Add(pause)
	c.refusedLast = true
}

// addResult adds a result to the averages of the server and of its service.
func (c *server) addResult(v *service, failed bool, took time.Duration) {
	value := 0.0
	if failed {
		value = 1
	}
	c.failures.add(value)
	if took > 0 {
		c.latency.add(float64(took.Microseconds()) / 1e3)
	}
	if v == nil {
		return
	}
	v.failures.add(value)
	if took > 0 {
		v.latency.add(float64(took.Microseconds()) / 1e3)
	}
}

// avoidAfterFailure avoids a server for a time that grows with its consecutive failures.
func (c *server) avoidAfterFailure(at time.Time) {
	pause := avoidMost
	if c.failedInRow < 5 {
		pause = min(avoidMost, avoidFirst<<c.failedInRow)
	}
	if c.Unconfirmed {
		pause = avoidUnconfirmed
	}
	c.failedInRow++
	c.avoidUntil = at.Add(pause)
}
