package capacity

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestFullSizeRunIsComparedWithItsSweep guards against a measured value that is compared with a
// prediction for a measure that the sweep does not contain.
func TestFullSizeRunIsComparedWithItsSweep(t *testing.T) {
	is := is.New(t)
	sweeps := map[string]Sweep{"s": {
		Site: "other", VMs: []float64{10, 100}, Costs: []SweepCosts{{Role: "forwarder", Measure: "memory", Busiest: []float64{1, 10}}},
	}}
	p := FullSizeRun{Site: "fleet", VMs: 200, Sweep: "s", Costs: []FullSizeCost{{Role: "forwarder", Measure: "memory", Measured: 30}}}
	table, err := p.table("played", sweeps)
	is.NoErr(err)
	is.Equal(table.Rows, [][]string{{"forwarder: memory", "20", "30", "1.50", ""}})
	p.Costs[0].Measure = "unknown"
	_, err = p.table("played", sweeps)
	var typed *PredictionError
	is.True(errors.As(err, &typed))
	is.Equal(typed.Measure, "forwarder: unknown")
}
