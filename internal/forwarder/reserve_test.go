package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a request is told after five times its target that there is no memory, where
// three are the bound. Sequence: it is late, its time is nearly over, and it waits for one
// more try. Cause: a bound that was held against the usual pause, while the pause of a
// late request is six times as long.
func TestNoTryAfterTheBound(t *testing.T) {
	is := is.New(t)
	const target, gap = 200 * time.Millisecond, 60 * time.Millisecond
	for _, spread := range []float64{0.5, 1, 1.5} {
		for age := time.Duration(0); age < 3*target; age += time.Millisecond {
			pause, worthwhile := nextTry(age, target, gap, spread)
			is.True(!worthwhile || age+pause <= 3*target)
		}
	}
	pause, worthwhile := nextTry(0, target, gap, 1)
	is.Equal(pause, gap)
	is.True(worthwhile)
	pause, worthwhile = nextTry(210*time.Millisecond, target, gap, 1)
	is.Equal(pause, 360*time.Millisecond)
	is.True(worthwhile)
}
