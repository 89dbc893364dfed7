package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestQuantileOfRates guards against a division that leaves four of fifty engines in the prefill
// pool, so that streams begin seconds late. A caller returns to an engine that still holds its
// prompt, and the engine responds at once. If the highest of all rates counted as the engines' own
// rate, the prefill pool would seem much too fast. An outlier must not move the estimate far.
func TestQuantileOfRates(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	var q quantile
	for i := range 400 {
		rate := 20 + 30*random.Float64() // prompts that waited for up to their own prefill time
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
	is.True(q.value < 500) // an outlier as the first value is forgotten
}
