package role

import (
	"testing"

	"github.com/matryer/is"
)

// Symptom: a sidecar with a wrong certificate cost the control VMs two cores.
// Sequence: every control VM refuses it, again and again.
// Cause: the wait between two tries never grew.
func TestRefusedAnnouncerWaitsLonger(t *testing.T) {
	is := is.New(t)
	a := &Announcer{Control: []string{"one", "two", "three"}}
	is.True(a.pause(1) <= reconnectMost) // one round of all control VMs is quick
	is.True(a.pause(3) <= reconnectMost) // also when it is over
	is.True(a.pause(9) > a.pause(3))     // then the wait grows
	is.True(a.pause(1_000_000) >= reconnectLongest/2/6)
	is.True(a.pause(1_000_000) <= 2*reconnectLongest) // up to a bound
}
