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
	is.True(a.retryDelay(1) <= maxReconnectDelay) // one round of all control VMs is quick
	is.True(a.retryDelay(3) <= maxReconnectDelay) // also when it is over
	longest := a.retryDelay(9)
	for range 100 { // then the wait grows: four times what it was after one round
		wait := a.retryDelay(9)
		is.True(wait >= 4*minReconnectDelay)
		is.True(wait <= 4*maxReconnectDelay)
		longest = max(longest, wait)
	}
	is.True(longest > maxReconnectDelay)
	is.True(a.retryDelay(1_000_000) >= reconnectDelayLimit/2/6)
	is.True(a.retryDelay(1_000_000) <= 2*reconnectDelayLimit) // up to a bound
}
