package forwarder

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
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

// Guards against requests that ask engines for memory every few milliseconds after all engines have
// crashed. The allocator grants placements at engines that refuse connections, as it has no others.
func TestNoBusyLoopAtLostEngines(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	s.server("a", oriolebend.Decode, (&engine{}).ServeHTTP)
	s.backends[0].Close()
	places := &outdatedPlaces{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	began := time.Now()
	status, header, body := s.send("/cut/", map[string]string{headerPrompt: "100", headerOutput: "50"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"noServer","ran":"no"}`)
	is.Equal(header.Get("Retry-After"), "2.000")
	is.True(time.Since(began) <= maxWaitFactor*200*time.Millisecond) // the target of the route is 200 ms
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.True(len(places.within) <= 20)
}
