package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is refused for lack of memory only after five times its target,
// where three times is the limit. The request is late, its time is nearly over, and it waits for
// one more try. The limit must be checked against the retry delay of a late request, which is six
// times the usual one.
func TestNoTryAfterTheBound(t *testing.T) {
	is := is.New(t)
	const target, gap = 200 * time.Millisecond, 60 * time.Millisecond
	for _, spread := range []float64{0.5, 1, 1.5} {
		for age := time.Duration(0); age < 3*target; age += time.Millisecond {
			pause, worthwhile := retryDelay(age, target, gap, spread)
			is.True(!worthwhile || age+pause <= 3*target)
		}
	}
	pause, worthwhile := retryDelay(0, target, gap, 1)
	is.Equal(pause, gap)
	is.True(worthwhile)
	pause, worthwhile = retryDelay(210*time.Millisecond, target, gap, 1)
	is.Equal(pause, 360*time.Millisecond)
	is.True(worthwhile)
}
