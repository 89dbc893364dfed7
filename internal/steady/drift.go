// Package steady tells whether time has passed that the clock which measures did not count.
package steady

import "time"

// Drift compares the clock that measures with the time of day.
//
// A VM that is suspended wakes up with a clock that stood still: its lease seems to run,
// while another control VM leads and gives. The time of day has gone on meanwhile. A time
// of day that was set looks the same, and costs what a change of the leader costs.
type Drift struct {
	steady time.Duration
	day    time.Time
}

// driftMost is by how much the two may part between two looks.
const driftMost = 200 * time.Millisecond

// Moved reports whether the two have parted since the last look. steady is the time on the
// clock that measures, day the time of day.
func (d *Drift) Moved(steady time.Duration, day time.Time) bool {
	parted := day.Round(0).Sub(d.day.Round(0)) - (steady - d.steady)
	first := d.day.IsZero()
	d.steady, d.day = steady, day
	return !first && parted.Abs() > driftMost
}
