package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against refusals for the deadline after a wrong report: with one report of ten million
// events in ten seconds, every stream would be predicted to end later than its caller waits.
func TestHugeNumberOfEventsIsIgnored(t *testing.T) {
	is := is.New(t)
	v := &service{}
	grant := Grant{Need: Need{Output: 100}}
	for range 10 {
		v.observeOutput(OutcomeObserved{Outcome: OutcomeAnswered, Grant: grant, Events: 70})
	}
	v.observeOutput(OutcomeObserved{Outcome: OutcomeAnswered, Grant: grant, Events: 10_000_000})
	is.Equal(v.speeds.output.value, 0.7)
	v.observeOutput(OutcomeObserved{Outcome: OutcomeAnswered, Grant: Grant{Need: Need{Output: 1}}, Events: 5})
	is.True(v.speeds.output.value > 0.7) // a short stream with events for its begin and end counts
}
