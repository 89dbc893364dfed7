package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/saturation"
)

// answersOverloaded sends plain requests one after the other, and returns how many were refused for an
// overload of their service.
func (s *site) answersOverloaded(requests int) int {
	s.t.Helper()
	for range requests {
		_, _, _ = s.send("/once/", nil)
	}
	return s.counts.seen["refusal overloaded"]
}

// Guards against a process that refuses what it has read because of delays of its own: most callers
// come to it, its link is full, and all answers seem to take nearly as long as their target.
func TestOwnDelaysAreNoOverload(t *testing.T) {
	is := is.New(t)
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(170 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}
	const requests = 12

	unmeasured := newSite(t, 0)
	unmeasured.server("a", "", slow)
	is.True(unmeasured.answersOverloaded(requests) > 0)

	meter := saturation.New(saturation.Config{LinkBytes: 1})
	go meter.Run(t.Context())
	full := newSite(t, 0, func(c *Config) { c.Pool.Meter = meter })
	full.server("a", "", slow)
	_, _, _ = full.send("/once/", nil)
	for !meter.NearCapacityWithin(ownDelayPeriod) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(full.answersOverloaded(requests), 0)
}
