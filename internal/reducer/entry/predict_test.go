package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against refusing all patient requests while the servers serve them. It
// happens if admission looks only at the age of the oldest request without
// output, and that request finds no capacity for minutes while others overtake
// it.
func TestOldRequestDoesNotBlockAdmission(t *testing.T) {
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
	is.Equal(old.lane.admissionDelay(old, at.Add(time.Minute)), time.Duration(0)) // the rate is low, but no request waits
	old.unstarted = old.lane.patient.PushBack(old)
	is.Equal(old.lane.admissionDelay(old, at), time.Duration(0))
	for range 30 { // at one a second, 30 requests take half a minute
		old.lane.patient.PushBack(old)
	}
	is.True(old.lane.admissionDelay(old, at) > 0)
}
