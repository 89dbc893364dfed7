package clockdrift

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspensionIsNoticed guards against two control VMs that each grant an organisation its
// burst. The leader is suspended for three seconds and resumes with a monotonic clock that
// stood still, so that its lease seems to be valid by that clock alone.
func TestSuspensionIsNoticed(t *testing.T) {
	is := is.New(t)
	wall := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	var d Drift
	is.True(!d.Jumped(time.Second, wall))
	is.True(!d.Jumped(2*time.Second, wall.Add(time.Second+maxDrift/2)))
	is.True(d.Jumped(3*time.Second, wall.Add(5*time.Second)))
	is.True(!d.Jumped(4*time.Second, wall.Add(6*time.Second)))
	is.True(d.Jumped(5*time.Second, wall)) // the wall clock was set back
}
