package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: pings are seconds late while every gate has room for them.
// Sequence: briefs take every place of the entry's limit and wait for memory;
// a ping arrives.
// Cause: one limit for urgent and patient requests of a model.
func TestUrgentPassesFullPatientLimit(t *testing.T) {
	is := is.New(t)
	s := fleetState(12, policy.Reserve)
	at := scriptStart
	asked := func(i int, u oriolebend.Urgency) bool {
		at = at.Add(time.Millisecond)
		r := fleetRequest(0)
		r.ID = fmt.Sprintf("%s-%d", u, i)
		r.Urgency = u
		Reduce(s, Arrived{At: at, Request: r})
		answer := message.ClaimAnswer{Outcome: message.ClaimOwned}
		for _, e := range Reduce(s, Claimed{At: at, RequestID: r.ID, Answer: answer}) {
			if _, opened := e.(OpenSession); opened {
				return true
			}
		}
		return false
	}
	briefs := 0
	for asked(briefs, oriolebend.Patient) {
		briefs++
	}
	is.True(briefs > 0)
	is.True(asked(0, oriolebend.Urgent))
}

// Symptom: every brief is late while the servers are busy.
// Sequence: briefs come faster than the fleet serves them, for long.
// Cause: the queue grew without a bound in time. Nothing that was accepted may
// be dropped for it.
func TestPatientRefusedBehindLongQueue(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	r := s.newRequest(fleetRequest(0))
	r.Urgency = oriolebend.Patient
	at := scriptStart
	for range 10 {
		at = at.Add(time.Second)
		r.lane.served.add(at)
	}
	late := func() time.Duration { return r.lane.queuedTooLong(r, 10*time.Second, at) }
	is.Equal(late(), time.Duration(0))
	for range 3 {
		r.lane.queue.Push(false, "org", 1, r)
	}
	is.Equal(late(), time.Duration(0)) // three at about one a second
	for range 20 {
		r.lane.queue.Push(false, "org", 1, r)
	}
	is.True(late() > 10*time.Second)
	r.Urgency = oriolebend.Urgent
	is.Equal(late(), time.Duration(0)) // pings have their own rule
}
