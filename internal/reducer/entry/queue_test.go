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
