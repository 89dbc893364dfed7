// Package clockdrift detects time that the monotonic clock did not count, such as the suspension of
// a VM. In control VMs, packages quota and serverlimit use it to start their counts again after a
// suspension.
package clockdrift

import "time"

// Drift compares the monotonic clock with the wall clock.
//
// The monotonic clock stops while a VM is suspended. After that, the VM's lease seems
// to be valid although another control VM leads and grants. The wall clock has advanced in
// the meantime. A wall clock that was set can't be distinguished from a suspension; it costs
// as much as a change of the leader.
type Drift struct {
	monotonic time.Duration
	wall      time.Time
}

// maxDrift is the largest difference between the advances of the two clocks from one call of
// Jumped to the next that is not reported.
const maxDrift = 200 * time.Millisecond

// Jumped reports whether the two clocks have drifted apart by more than maxDrift since the last
// call. monotonic is the time on the monotonic clock, wall the time of day.
func (d *Drift) Jumped(monotonic time.Duration, wall time.Time) bool {
	drift := wall.Round(0).Sub(d.wall.Round(0)) - (monotonic - d.monotonic)
	first := d.wall.IsZero()
	d.monotonic, d.wall = monotonic, wall
	return !first && drift.Abs() > maxDrift
}
