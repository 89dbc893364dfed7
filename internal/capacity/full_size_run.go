package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// FullSizeRun holds measurements of a deployment that was run at its full size. The page compares
// them with the prediction of a sweep of another deployment for that size.
type FullSizeRun struct {
	Site string `toml:"site"`
	// Runs are the numbers of the runs in journal/.
	Runs []string `toml:"runs"`
	VMs  float64  `toml:"vms"`
	// Sweep is the name of the sweep that predicts the costs.
	Sweep string         `toml:"sweep"`
	Costs []FullSizeCost `toml:"costs"`
}

// FullSizeCost is the value of one measure.
type FullSizeCost struct {
	// Role and Measure identify the measure of the sweep.
	Role    string `toml:"role"`
	Measure string `toml:"what"`
	// Measured is the value of the busiest process, or the longest time.
	Measured float64 `toml:"measured"`
	// Why explains what the prediction does not include.
	Why string `toml:"why"`
}

// PredictionError reports a measure that the sweep does not contain.
type PredictionError struct{ Sweep, Measure string }

// Error implements error.
func (e *PredictionError) Error() string {
	return fmt.Sprintf("sweep %q has no measure %q", e.Sweep, e.Measure)
}

// measureName returns the name of a role's measure on the page.
func measureName(role, measure string) string { return strings.TrimPrefix(role+": "+measure, ": ") }

// extrapolate extends the last value of a measure to another size by its power. A negative
// power counts as zero.
func (w Sweep) extrapolate(c SweepCosts, to float64) float64 {
	last := len(w.VMs) - 1
	return c.Busiest[last] * math.Pow(to/w.VMs[last], max(0, Power(w.VMs, c.Busiest)))
}

// predict returns the value that a sweep predicts for a measure at a size, or false if the
// sweep does not contain the measure.
func (w Sweep) predict(role, measure string, size float64) (float64, bool) {
	for _, c := range w.Costs {
		if c.Role == role && c.Measure == measure {
			return w.extrapolate(c, size), true
		}
	}
	return 0, false
}

// table compares the measured values with the predictions.
func (r FullSizeRun) table(title string, sweeps map[string]Sweep) (Table, error) {
	t := Table{Name: title, Head: []string{
		fmt.Sprintf("measure (%s, %s VMs, runs %s)", r.Site, number(r.VMs), strings.Join(r.Runs, ", ")),
		"from the sweep of " + sweeps[r.Sweep].Site, "measured", "factor", "why",
	}}
	for _, c := range r.Costs {
		predicted, ok := sweeps[r.Sweep].predict(c.Role, c.Measure, r.VMs)
		if !ok {
			return Table{}, &PredictionError{Sweep: r.Sweep, Measure: measureName(c.Role, c.Measure)}
		}
		factor := "-"
		if predicted > 0 {
			factor = fmt.Sprintf("%.2f", c.Measured/predicted)
		}
		t.Rows = append(t.Rows, []string{measureName(c.Role, c.Measure), number(predicted), number(c.Measured), factor, c.Why})
	}
	return t, nil
}

// fullSizeTables returns the tables of all deployments that were run at their full size,
// ordered by name.
func (d Data) fullSizeTables() ([]Table, error) {
	var tables []Table
	for _, title := range slices.Sorted(maps.Keys(d.FullSizeRuns)) {
		t, err := d.FullSizeRuns[title].table(title, d.Sweeps)
		if err != nil {
			return nil, err
		}
		tables = append(tables, t)
	}
	return tables, nil
}
