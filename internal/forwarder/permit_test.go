package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// limitOf names a limit in an answer.
func limitOf(w http.ResponseWriter, perSecond string) { w.Header().Set(ownLimit, perSecond) }

// A limit holds for every way by which a request reaches a server.
func TestLimitHoldsOnEveryWay(t *testing.T) {
	const (
		perSecond = 2
		length    = 2 * time.Second
	)
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, way.kv)
			var reached atomic.Int32
			way.start(s, func(w http.ResponseWriter) bool {
				reached.Add(1)
				limitOf(w, strconv.Itoa(perSecond))
				return false
			})
			asked := 0
			for began := time.Now(); time.Since(began) < length; time.Sleep(10 * time.Millisecond) {
				s.ask(way.path, way.header)
				asked++
			}
			t.Logf("%d of %d requests reached the server", reached.Load(), asked)
			is.True(asked > 40)
			// The first request hears of the limit, and one that it is sent again as.
			is.True(reached.Load() <= 2+perSecond*int32(length.Seconds())+1)
			is.True(reached.Load() >= 2) // somebody has to ask whether the need is over
		})
	}
}

// A request that no server takes by its limit is refused at once, as not run, with the time at
// which one may.
func TestAllServersAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	for range 2 {
		s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { limitOf(w, "2") })
	}
	for range 3 {
		s.ask("/once/", nil)
	}
	began := time.Now()
	status, header, body := s.ask("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"serverLimit","ran":"no"}`)
	is.True(time.Since(began) < 100*time.Millisecond)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 0.55)
	time.Sleep(time.Duration(after * float64(time.Second)))
	status, _, _ = s.ask("/once/", nil)
	is.Equal(status, http.StatusOK) // the time was true
}

// Symptom: plain requests are refused as overloaded while servers are idle. Sequence: a server
// in need turns away what is beyond its limit. Cause: its refusals taken for a full queue,
// which makes answers late. They are neither that nor a failure of the server.
func TestServerAtItsLimitIsNotFailing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var need atomic.Bool
	need.Store(true)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		if need.Load() {
			limitOf(w, "50")
			notRun(w)
		}
	})
	s.server("b", "", answer("good"))
	for range 60 {
		status, _, _ := s.ask("/safe/", nil)
		is.Equal(status, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(s.counts.seen["refusal overloaded"], 0)
	is.True(s.counts.seen["retry serverLimit"] > 0)
	need.Store(false)
	s.leaves(1)
	status := 0
	for began := time.Now(); status != http.StatusOK && time.Since(began) < time.Second; time.Sleep(10 * time.Millisecond) {
		status, _, _ = s.ask("/once/", nil)
	}
	for range 20 {
		status, _, _ = s.ask("/once/", nil)
		is.Equal(status, http.StatusOK) // its need is over, and nothing is held against it
	}
}

// Nonsense in one server's answers costs it and no other server anything.
func TestNonsenseOfOneServer(t *testing.T) {
	for _, limit := range []string{"-1", "many", "1e999", "NaN"} {
		t.Run(limit, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { limitOf(w, limit) })
			s.server("b", "", answer("good"))
			for range 20 {
				status, _, _ := s.ask("/once/", nil)
				is.Equal(status, http.StatusOK)
			}
		})
	}
}

// A start of a server that has the address of another one is not held to what that one said.
func TestLimitEndsWithTheStart(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var limited atomic.Bool
	limited.Store(true)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		if limited.Load() {
			limitOf(w, "0")
		}
	})
	status, _, _ := s.ask("/once/", nil)
	is.Equal(status, http.StatusOK)
	status, _, _ = s.ask("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	limited.Store(false)
	s.forwarder.ChangeServers(registry.Changes{Servers: []message.BackendServer{{
		Instance: "later", Service: "s", Address: s.servers[0].Address, FailureDomain: "a", Phase: message.PhaseReady,
	}}, Left: []string{"i0"}}, 1)
	for i := range 5 {
		status, _, body := s.ask("/once/", nil)
		is.Equal(fmt.Sprint(i, status, body), fmt.Sprint(i, http.StatusOK, ""))
	}
}
