package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a pool of four prefill engines serves fifty, and streams begin seconds
// late. Sequence: a caller comes back to an engine that still has its prompt, and
// the engine answers at once. Cause: the highest rate of all was taken for the
// engines' own. One rate far out must not move the estimate far.
func TestQuantileOfRates(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	var q quantile
	for i := range 400 {
		rate := 20 + 30*random.Float64() // prompts that waited up to their own time
		if i%50 == 7 {
			rate = 900
		}
		q.add(rate)
	}
	is.True(q.value > 40 && q.value < 65)

	q = quantile{}
	q.add(900)
	for range 60 {
		q.add(50)
	}
	is.True(q.value < 500) // a first value far out is forgotten
}
