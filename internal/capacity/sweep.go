package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Sweep is one day played at several numbers of VMs, with everything else in
// proportion. Unlike a slope it holds whole processes under load.
type Sweep struct {
	// Site and Run say which sweep it is; Run is its number in journal/.
	Site string `toml:"site"`
	Run  string `toml:"run"`
	// VMs are the sizes, without the backend servers' own VMs, and Servers the backend
	// servers at each.
	VMs     []float64 `toml:"vms"`
	Servers []float64 `toml:"servers"`
	// At is the size that is worked out.
	At    float64      `toml:"at"`
	Costs []SweepCosts `toml:"costs"`
}

// SweepCosts is what one measure came to at each size.
type SweepCosts struct {
	// Role is whose measure it is, empty for that of the whole site.
	Role string `toml:"role"`
	What string `toml:"what"`
	// Before is what it came to before the last change that matters to it, empty if it
	// is not known.
	Before []float64 `toml:"before"`
	// Busiest is that of the busiest process, or the longest time.
	Busiest []float64 `toml:"busiest"`
	// Carried is the mechanism that carries it.
	Carried string `toml:"carried"`
}

// SweepError is a measure without a value for each size.
type SweepError struct{ What string }

// Error implements error.
func (e *SweepError) Error() string {
	return fmt.Sprintf("sweep: %s has not one value for each size", e.What)
}

// Power is by which power of the size values grow: the slope of least squares through
// the points' logarithms. Values that are zero count as none; with fewer than two
// points left there is no growth to see.
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
	var with, square float64
	for i := range x {
		with += (x[i] - meanX) * (y[i] - meanY)
		square += (x[i] - meanX) * (x[i] - meanX)
	}
	return with / square
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// table shows a sweep, and what it leads to at the size that is worked out: the last
// value, carried on by the power, which is not let below zero.
func (w Sweep) table(name string) (Table, error) {
	t := Table{Name: name, Head: []string{fmt.Sprintf("measure (%s, run %s)", w.Site, w.Run)}}
	if len(w.Servers) != len(w.VMs) {
		return Table{}, &SweepError{What: "servers"}
	}
	for i, size := range w.VMs {
		t.Head = append(t.Head, fmt.Sprintf("%s VMs, %s servers", number(size), number(w.Servers[i])))
	}
	t.Head = append(t.Head, "power", "at "+number(w.At), "before", "mechanism that carries it")
	for _, c := range w.Costs {
		if len(c.Busiest) != len(w.VMs) || len(c.Before) != 0 && len(c.Before) != len(w.VMs) {
			return Table{}, &SweepError{What: c.What}
		}
		row := []string{measureName(c.Role, c.What)}
		for _, v := range c.Busiest {
			row = append(row, number(v))
		}
		power := Power(w.VMs, c.Busiest)
		row = append(row, fmt.Sprintf("%.2f", power), number(w.carry(c, w.At)), figures(c.Before), c.Carried)
		t.Rows = append(t.Rows, row)
	}
	return t, nil
}

// sweeps are the tables of all sweeps, in the order of their names.
func (d Data) sweeps() ([]Table, error) {
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

// figures lists values as the page shows them.
func figures(values []float64) string {
	var list []string
	for _, v := range values {
		list = append(list, number(v))
	}
	return strings.Join(list, "; ")
}
