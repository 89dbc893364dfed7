package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Sweep holds measurements of one day of load at several numbers of VMs, with everything
// else in proportion. Unlike a slope, it measures whole processes under load.
type Sweep struct {
	// Site and Run identify the sweep; Run is its number in journal/.
	Site string `toml:"site"`
	Run  string `toml:"run"`
	// VMs are the sizes, without the VMs of the backend servers; Servers are the numbers of
	// backend servers at each size.
	VMs     []float64 `toml:"vms"`
	Servers []float64 `toml:"servers"`
	// At is the size for which values are predicted.
	At    float64      `toml:"at"`
	Costs []SweepCosts `toml:"costs"`
}

// SweepCosts holds the values of one measure at each size.
type SweepCosts struct {
	// Role is the measured role, empty for a measure of the whole site.
	Role    string `toml:"role"`
	Measure string `toml:"what"`
	// Before holds the values before the last change that affects the measure, empty if
	// they are not known.
	Before []float64 `toml:"before"`
	// Busiest holds the values of the busiest process, or the longest times.
	Busiest []float64 `toml:"busiest"`
	// Mechanism is the mechanism that causes the cost.
	Mechanism string `toml:"carried"`
}

// SweepError reports a measure that does not have one value for each size.
type SweepError struct{ Measure string }

// Error implements error.
func (e *SweepError) Error() string {
	return fmt.Sprintf("sweep: %s must have one value for each size", e.Measure)
}

// Power returns the power of the size with which the values grow: the slope of the
// least-squares line through the logarithms of the points. It ignores values that are zero
// or less, and returns 0 if fewer than two points remain.
func Power(sizes, values []float64) float64 {
	var x, y []float64
	for i, v := range values {
		if v > 0 {
			x, y = append(x, math.Log(sizes[i])), append(y, math.Log(v))
		}
	}
	if len(x) < 2 {
		return 0
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	return covariance / variance
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// table returns the table of a sweep with the prediction of each measure for the size At.
func (w Sweep) table(name string) (Table, error) {
	t := Table{Name: name, Head: []string{fmt.Sprintf("measure (%s, run %s)", w.Site, w.Run)}}
	if len(w.Servers) != len(w.VMs) {
		return Table{}, &SweepError{Measure: "servers"}
	}
	for i, size := range w.VMs {
		t.Head = append(t.Head, fmt.Sprintf("%s VMs, %s servers", number(size), number(w.Servers[i])))
	}
	t.Head = append(t.Head, "power", "at "+number(w.At), "before", "mechanism that carries it")
	for _, c := range w.Costs {
		if len(c.Busiest) != len(w.VMs) || len(c.Before) != 0 && len(c.Before) != len(w.VMs) {
			return Table{}, &SweepError{Measure: c.Measure}
		}
		row := []string{measureName(c.Role, c.Measure)}
		for _, v := range c.Busiest {
			row = append(row, number(v))
		}
		power := Power(w.VMs, c.Busiest)
		row = append(row, fmt.Sprintf("%.2f", power), number(w.extrapolate(c, w.At)), figures(c.Before), c.Mechanism)
		t.Rows = append(t.Rows, row)
	}
	return t, nil
}

// sweepTables returns the tables of all sweeps, ordered by name.
func (d Data) sweepTables() ([]Table, error) {
	var tables []Table
	for _, name := range slices.Sorted(maps.Keys(d.Sweeps)) {
		t, err := d.Sweeps[name].table(name)
		if err != nil {
			return nil, err
		}
		tables = append(tables, t)
	}
	return tables, nil
}

// figures formats a list of values.
func figures(values []float64) string {
	var list []string
	for _, v := range values {
		list = append(list, number(v))
	}
	return strings.Join(list, "; ")
}
