package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: no brief is let in any more while the servers serve briefs.
// Sequence: one old request finds no room for minutes; the others pass it.
// Cause: admission went by the age of the oldest request without output.
func TestOneOldRequestShutsNobodyOut(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	old := s.newRequest(fleetRequest(0))
	old.Urgency, old.FirstWithin = oriolebend.Patient, 10*time.Second
	at := scriptStart
	s.now = at
	old.arrived = at
	for range 60 {
		at = at.Add(time.Second)
		old.lane.served.add(at)
	}
	is.Equal(old.lane.late(old, at.Add(time.Minute)), time.Duration(0)) // seldom, nobody waits
	old.unstarted = old.lane.patient.PushBack(old)
	is.Equal(old.lane.late(old, at), time.Duration(0))
	for range 30 { // at one a second, they wait half a minute
		old.lane.patient.PushBack(old)
	}
	is.True(old.lane.late(old, at) > 0)
}
