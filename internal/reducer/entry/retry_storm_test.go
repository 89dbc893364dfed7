package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// simulation runs one state against gates that grant every reservation, in
// virtual time.
type simulation struct {
	state *State
	now   time.Time
	queue []Event
	// broken makes every prefill end with the loss of its server.
	broken     bool
	dispatched int
	// inTick counts the prefills sent in the current tick, and maxInTick is the
	// most in one tick after the first.
	inTick, maxInTick int
	ended             int
	problems          map[oriolebend.Reason]int
}

func (s *simulation) reduce(e Event) {
	for _, effect := range Reduce(s.state, e) {
		s.perform(effect)
	}
}

func (s *simulation) perform(e Effect) {
	switch e := e.(type) {
	case SendClaim:
		s.queue = append(s.queue, Claimed{
			At: s.now, RequestID: e.Claim.RequestID,
			Answer: message.ClaimAnswer{Outcome: message.ClaimOwned},
		})
	case SendSettle:
		s.queue = append(s.queue, Settled{
			At: s.now, RequestID: e.Settle.RequestID, Attempt: e.Settle.Attempt, State: e.Settle.State, Accepted: true,
		})
	case OpenSession:
		s.reply(e.Session, message.Offer{Attempt: e.Session.Attempt, Granted: true, Took: 50 * time.Millisecond})
	case Send:
		s.handleSend(e)
	case AnswerEnd:
		s.ended++
	case AnswerProblem:
		s.problems[e.Problem.Reason]++
	}
}

func (s *simulation) reply(k SessionKey, m message.Message) {
	s.queue = append(s.queue, Received{At: s.now, Session: k, Message: m})
}

func (s *simulation) handleSend(e Send) {
	switch m := e.Message.(type) {
	case message.Prefill:
		s.dispatched++
		s.inTick++
		if s.broken {
			s.queue = append(s.queue, SessionLost{At: s.now, Session: e.Session, Opened: true})
			return
		}
		s.reply(e.Session, message.Prefilled{Attempt: m.Attempt, KVBytes: 1e6, LivesFor: time.Second})
	case message.Decode:
		s.reply(e.Session, message.Part{Attempt: m.Attempt, Tokens: 1, Text: "a", Finish: message.FinishStop})
	}
}

func (s *simulation) run(ticks int) {
	for range ticks {
		s.now = s.now.Add(TickEvery)
		s.inTick = 0
		s.reduce(Ticked{At: s.now})
		for len(s.queue) > 0 {
			e := s.queue[0]
			s.queue = s.queue[1:]
			s.reduce(e)
		}
		s.maxInTick = max(s.maxInTick, s.inTick)
	}
}

func newSimulation(c Config) *simulation {
	s := &simulation{state: New(c), now: scriptStart, problems: map[oriolebend.Reason]int{}}
	s.reduce(ServersChanged{At: s.now, Complete: true, Servers: scriptServers("p1", "p2", "d1", "d2")})
	return s
}

func (s *simulation) arrive(n int, deadline time.Duration) {
	for i := range n {
		r := Request{
			ID: fmt.Sprintf("r%d", i), Generated: true, Model: "m", MaxTokens: 1, PromptTokens: 10,
			Scope: message.Scope{Organisation: "org"}, Urgency: oriolebend.Patient,
		}
		if deadline > 0 {
			r.Deadline = s.now.Add(deadline)
		}
		s.reduce(Arrived{At: s.now, Request: r})
	}
}

// Guards against servers that stay down under many times their usual load after
// a short fault. Every prefill loses its server for a minute while 60 requests
// are retried. Without a budget, retries come as fast as they fail.
func TestRetryStorm(t *testing.T) {
	is := is.New(t)
	const requests, burst, floor, seconds = 60, 10, 0.5, 60
	s := newSimulation(Config{Name: "e1", RetryBurst: burst, RetryFloor: floor})
	s.broken = true
	s.arrive(requests, 0)
	s.run(1)
	s.maxInTick = 0
	s.run(seconds * int(time.Second/TickEvery))
	is.True(s.dispatched <= requests+burst+seconds*floor) // within the budget
	is.True(s.dispatched >= requests+burst)               // and the budget is used
	is.True(s.maxInTick <= burst)                         // not in waves
	is.Equal(len(s.problems), 0)                          // nothing accepted is dropped

	s.broken = false
	s.run(120 * int(time.Second/TickEvery))
	is.Equal(s.ended, requests) // all are answered once the fault is over
	is.Equal(len(s.state.requests), 0)
}

// Guards against a caller that waits until its deadline for an answer that was
// given up long before: the retry budget stays empty beyond the deadline.
func TestGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSimulation(Config{Name: "e1", RetryBurst: 1, RetryFloor: 0.01})
	s.broken = true
	s.arrive(5, 30*time.Second)
	s.run(int(5 * time.Second / TickEvery))
	is.Equal(s.problems[oriolebend.ReasonRetryBudget], 5)
	is.Equal(len(s.state.requests), 0)
}
