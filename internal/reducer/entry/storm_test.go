package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// bench runs one state against gates that grant all, in virtual time.
type bench struct {
	state *State
	now   time.Time
	queue []Event
	// broken makes every prefill end with the loss of its server.
	broken     bool
	dispatched int
	// busiest is the most prefills that were sent in one tick after the first.
	inTick, busiest int
	ended           int
	problems        map[oriolebend.Reason]int
}

func (b *bench) reduce(e Event) {
	for _, effect := range Reduce(b.state, e) {
		b.take(effect)
	}
}

func (b *bench) take(e Effect) {
	switch e := e.(type) {
	case AskClaim:
		b.queue = append(b.queue, Claimed{
			At: b.now, RequestID: e.Claim.RequestID,
			Answer: message.ClaimAnswer{Outcome: message.ClaimOwned},
		})
	case AskSettle:
		b.queue = append(b.queue, Settled{
			At: b.now, RequestID: e.Settle.RequestID, Attempt: e.Settle.Attempt, State: e.Settle.State, Accepted: true,
		})
	case OpenSession:
		b.reply(e.Session, message.Offer{Attempt: e.Session.Attempt, Granted: true, Took: 50 * time.Millisecond})
	case Send:
		b.sent(e)
	case AnswerEnd:
		b.ended++
	case AnswerProblem:
		b.problems[e.Problem.Reason]++
	}
}

func (b *bench) reply(k SessionKey, m message.Message) {
	b.queue = append(b.queue, Received{At: b.now, Session: k, Message: m})
}

func (b *bench) sent(e Send) {
	switch m := e.Message.(type) {
	case message.Prefill:
		b.dispatched++
		b.inTick++
		if b.broken {
			b.queue = append(b.queue, SessionLost{At: b.now, Session: e.Session, Opened: true})
			return
		}
		b.reply(e.Session, message.Prefilled{Attempt: m.Attempt, KVBytes: 1e6, LivesFor: time.Second})
	case message.Decode:
		b.reply(e.Session, message.Part{Attempt: m.Attempt, Tokens: 1, Text: "a", Finish: message.FinishStop})
	}
}

func (b *bench) run(ticks int) {
	for range ticks {
		b.now = b.now.Add(TickEvery)
		b.inTick = 0
		b.reduce(Ticked{At: b.now})
		for len(b.queue) > 0 {
			e := b.queue[0]
			b.queue = b.queue[1:]
			b.reduce(e)
		}
		b.busiest = max(b.busiest, b.inTick)
	}
}

func newBench(c Config) *bench {
	b := &bench{state: New(c), now: scriptStart, problems: map[oriolebend.Reason]int{}}
	b.reduce(ServersChanged{At: b.now, Whole: true, Servers: scriptServers("p1", "p2", "d1", "d2")})
	return b
}

func (b *bench) arrive(n int, deadline time.Duration) {
	for i := range n {
		r := Request{
			ID: fmt.Sprintf("r%d", i), Generated: true, Model: "m", MaxTokens: 1, PromptTokens: 10,
			Scope: message.Scope{Organisation: "org"}, Urgency: oriolebend.Patient,
		}
		if deadline > 0 {
			r.Deadline = b.now.Add(deadline)
		}
		b.reduce(Arrived{At: b.now, Request: r})
	}
}

// Symptom: after a short fault the servers stay down, under many times their
// usual load.
// Sequence: every prefill loses its server for a minute while 60 requests want
// to try again.
// Cause: retries without a budget come as fast as they fail.
func TestRetryStorm(t *testing.T) {
	is := is.New(t)
	const requests, burst, floor, seconds = 60, 10, 0.5, 60
	b := newBench(Config{Name: "e1", RetryBurst: burst, RetryFloor: floor})
	b.broken = true
	b.arrive(requests, 0)
	b.run(1)
	b.busiest = 0
	b.run(seconds * int(time.Second/TickEvery))
	is.True(b.dispatched <= requests+burst+seconds*floor) // within the budget
	is.True(b.dispatched >= requests+burst)               // and the budget is used
	is.True(b.busiest <= burst)                           // not in waves
	is.Equal(len(b.problems), 0)                          // nothing accepted is dropped

	b.broken = false
	b.run(120 * int(time.Second/TickEvery))
	is.Equal(b.ended, requests) // all are answered once the fault is over
	is.Equal(len(b.state.requests), 0)
}

// Symptom: a caller waits until its deadline for an answer that was given up
// long before.
// Sequence: the retry budget is empty until after the deadline.
func TestGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Name: "e1", RetryBurst: 1, RetryFloor: 0.01})
	b.broken = true
	b.arrive(5, 30*time.Second)
	b.run(int(5 * time.Second / TickEvery))
	is.Equal(b.problems[oriolebend.ReasonRetryBudget], 5)
	is.Equal(len(b.state.requests), 0)
}
