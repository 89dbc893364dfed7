package steady

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: an organisation is given its burst by two control VMs. Sequence: the one that
// leads is suspended for three seconds; it wakes up with a clock that stood still, and with
// a lease that seems to run. Cause: trust in that clock alone.
func TestSuspensionIsNoticed(t *testing.T) {
	is := is.New(t)
	day := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	var d Drift
	is.True(!d.Moved(time.Second, day))
	is.True(!d.Moved(2*time.Second, day.Add(time.Second+driftMost/2)))
	is.True(d.Moved(3*time.Second, day.Add(5*time.Second)))
	is.True(!d.Moved(4*time.Second, day.Add(6*time.Second)))
	is.True(d.Moved(5*time.Second, day)) // set back
}
