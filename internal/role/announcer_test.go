package role

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a sidecar with a wrong certificate that costs the control VMs two
// cores: every control VM refuses it, and without a growing delay it tries again
// several times a second.
func TestAnnouncerBacksOffWhenRefused(t *testing.T) {
	is := is.New(t)
	a := &Announcer{Control: []string{"one", "two", "three"}}
	is.True(a.retryDelay(1) <= maxReconnectDelay) // the first round of all control VMs has no backoff
	is.True(a.retryDelay(3) <= maxReconnectDelay) // nor has its end
	longest := a.retryDelay(9)
	for range 100 { // then the delay grows: four times as long as in the first round
		wait := a.retryDelay(9)
		is.True(wait >= 4*minReconnectDelay)
		is.True(wait <= 4*maxReconnectDelay)
		longest = max(longest, wait)
	}
	is.True(longest > maxReconnectDelay)
	is.True(a.retryDelay(1_000_000) >= reconnectDelayLimit/2/6)
	is.True(a.retryDelay(1_000_000) <= 2*reconnectDelayLimit) // up to a bound
}
