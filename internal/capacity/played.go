package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Played is a deployment that was played at its full size, beside what a sweep of another one
// leads to at that size.
type Played struct {
	Site string `toml:"site"`
	// Runs are the numbers of the plays in journal/.
	Runs []string `toml:"runs"`
	VMs  float64  `toml:"vms"`
	// Sweep names the sweep that predicts it.
	Sweep string       `toml:"sweep"`
	Costs []PlayedCost `toml:"costs"`
}

// PlayedCost is what one measure came to.
type PlayedCost struct {
	// Role and What are those of the sweep's measure.
	Role string `toml:"role"`
	What string `toml:"what"`
	// Measured is that of the busiest process, or the longest time.
	Measured float64 `toml:"measured"`
	// Why tells what the prediction leaves out.
	Why string `toml:"why"`
}

// PredictionError is a measure that no sweep predicts.
type PredictionError struct{ Sweep, What string }

// Error implements error.
func (e *PredictionError) Error() string {
	return fmt.Sprintf("capacity: the sweep %q has no measure %q", e.Sweep, e.What)
}

// measureName is how the page calls a measure of a role.
func measureName(role, what string) string { return strings.TrimPrefix(role+": "+what, ": ") }

// carry is the last value of a measure, carried on to another size by its power, which is not
// let below zero.
func (w Sweep) carry(c SweepCosts, to float64) float64 {
	last := len(w.VMs) - 1
	return c.Busiest[last] * math.Pow(to/w.VMs[last], max(0, Power(w.VMs, c.Busiest)))
}

// predict is what a sweep leads to for a measure at a size.
func (w Sweep) predict(role, what string, size float64) (float64, bool) {
	for _, c := range w.Costs {
		if c.Role == role && c.What == what {
			return w.carry(c, size), true
		}
	}
	return 0, false
}

// table shows what was measured beside what was predicted.
func (p Played) table(title string, sweeps map[string]Sweep) (Table, error) {
	t := Table{Name: title, Head: []string{
		fmt.Sprintf("measure (%s, %s VMs, runs %s)", p.Site, number(p.VMs), strings.Join(p.Runs, ", ")),
		"from the sweep of " + sweeps[p.Sweep].Site, "measured", "factor", "why",
	}}
	for _, c := range p.Costs {
		predicted, ok := sweeps[p.Sweep].predict(c.Role, c.What, p.VMs)
		if !ok {
			return Table{}, &PredictionError{Sweep: p.Sweep, What: measureName(c.Role, c.What)}
		}
		factor := "-"
		if predicted > 0 {
			factor = fmt.Sprintf("%.2f", c.Measured/predicted)
		}
		t.Rows = append(t.Rows, []string{measureName(c.Role, c.What), number(predicted), number(c.Measured), factor, c.Why})
	}
	return t, nil
}

// played are the tables of all deployments played at their size, in the order of their names.
func (d Data) played() ([]Table, error) {
	var tables []Table
	for _, title := range slices.Sorted(maps.Keys(d.Played)) {
		t, err := d.Played[title].table(title, d.Sweeps)
		if err != nil {
			return nil, err
		}
		tables = append(tables, t)
	}
	return tables, nil
}
