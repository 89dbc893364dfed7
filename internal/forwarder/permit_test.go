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

// setLimit reports a limit in an answer.
func setLimit(w http.ResponseWriter, perSecond string) { w.Header().Set(headerLimit, perSecond) }

// A limit holds for every kind of send that reaches a server.
func TestLimitHoldsForEverySend(t *testing.T) {
	const (
		perSecond = 2
		length    = 2 * time.Second
		requests  = 41
	)
	for _, kind := range sendKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, kind.kv)
			var reached atomic.Int32
			kind.start(s, func(w http.ResponseWriter) bool {
				reached.Add(1)
				setLimit(w, strconv.Itoa(perSecond))
				return false
			})
			sent := 0
			began := time.Now()
			for ; time.Since(began) < length || sent < requests; time.Sleep(10 * time.Millisecond) {
				s.send(kind.path, kind.header)
				sent++
			}
			lasted := time.Since(began)
			t.Logf("%d of %d requests reached the server in %v", reached.Load(), sent, lasted)
			// The first request learns the limit, and a resend of it may reach the server as well.
			is.True(reached.Load() <= 2+int32(perSecond*lasted.Seconds())+1)
			is.True(reached.Load() >= 2) // some request has to find out whether the limit still applies
		})
	}
}

// A request that no server accepts because of its limit is refused immediately, as not run, with
// the delay until one may accept it.
func TestAllServersAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	for range 2 {
		s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { setLimit(w, "2") })
	}
	for range 3 {
		s.send("/once/", nil)
	}
	began := time.Now()
	status, header, body := s.send("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"serverLimit","ran":"no"}`)
	is.True(time.Since(began) < 100*time.Millisecond)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 0.55)
	time.Sleep(time.Duration(after * float64(time.Second)))
	status, _, _ = s.send("/once/", nil)
	is.Equal(status, http.StatusOK) // the delay was correct
}

// Guards against plain requests that are refused as overloaded while servers are idle. A server
// with a limit refuses the requests beyond it. These refusals must count neither as a full queue,
// which makes answers late, nor as a failure of the server.
func TestServerAtItsLimitIsNotFailing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var overloaded atomic.Bool
	overloaded.Store(true)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		if overloaded.Load() {
			setLimit(w, "50")
			notRun(w)
		}
	})
	s.server("b", "", answer("good"))
	for range 60 {
		status, _, _ := s.send("/safe/", nil)
		is.Equal(status, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(s.counts.seen["refusal overloaded"], 0)
	is.True(s.counts.seen["retry serverLimit"] > 0)
	overloaded.Store(false)
	s.drain(1)
	status := 0
	for began := time.Now(); status != http.StatusOK && time.Since(began) < time.Second; time.Sleep(10 * time.Millisecond) {
		status, _, _ = s.send("/once/", nil)
	}
	for range 20 {
		status, _, _ = s.send("/once/", nil)
		is.Equal(status, http.StatusOK) // the limit has ended and has no further effect
	}
}

// Invalid limits in one server's answers affect neither that server nor others.
func TestInvalidLimitOfOneServer(t *testing.T) {
	for _, limit := range []string{"-1", "many", "1e999", "NaN"} {
		t.Run(limit, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { setLimit(w, limit) })
			s.server("b", "", answer("good"))
			for range 20 {
				status, _, _ := s.send("/once/", nil)
				is.Equal(status, http.StatusOK)
			}
		})
	}
}

// A new incarnation at the address of another server is not bound by the limit of that server.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var limited atomic.Bool
	limited.Store(true)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		if limited.Load() {
			setLimit(w, "0")
		}
	})
	status, _, _ := s.send("/once/", nil)
	is.Equal(status, http.StatusOK)
	status, _, _ = s.send("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	limited.Store(false)
	s.forwarder.ChangeServers(registry.Changes{Servers: []message.BackendServer{{
		Instance: "later", Service: "s", Address: s.servers[0].Address, FailureDomain: "a", Phase: message.PhaseReady,
	}}, Left: []string{"i0"}}, 1)
	for i := range 5 {
		status, _, body := s.send("/once/", nil)
		is.Equal(fmt.Sprint(i, status, body), fmt.Sprint(i, http.StatusOK, ""))
	}
}
