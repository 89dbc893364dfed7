package capacity

import (
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestPower(t *testing.T) {
	is := is.New(t)
	sizes := []float64{30, 100, 300}
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	is.True(near(Power(sizes, []float64{60, 200, 600}), 1))
	is.True(near(Power(sizes, []float64{9, 100, 900}), 2))
	is.True(near(Power(sizes, []float64{5, 5, 5}), 0))
	is.True(near(Power(sizes, []float64{0, 10, 30}), 1)) // a value of zero is ignored
	is.True(near(Power(sizes, []float64{0, 0, 30}), 0))
}

// TestSweepNeedsAValueForEachSize guards against values in the wrong column: a measure
// without a value for one size must be refused.
func TestSweepNeedsAValueForEachSize(t *testing.T) {
	is := is.New(t)
	w := Sweep{VMs: []float64{30, 100, 300}, Servers: []float64{300, 1000, 3000}, At: 320, Costs: []SweepCosts{{Measure: "short", Busiest: []float64{1, 2}}}}
	_, err := w.table("sweep")
	var typed *SweepError
	is.True(errors.As(err, &typed))
	is.Equal(typed.Measure, "short")
}
