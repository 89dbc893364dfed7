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
	longest := a.pause(9)
	for range 100 { // then the wait grows: four times what it was after one round
		wait := a.pause(9)
		is.True(wait >= 4*reconnectLeast)
		is.True(wait <= 4*reconnectMost)
		longest = max(longest, wait)
	}
	is.True(longest > reconnectMost)
	is.True(a.pause(1_000_000) >= reconnectLongest/2/6)
	is.True(a.pause(1_000_000) <= 2*reconnectLongest) // up to a bound
}
