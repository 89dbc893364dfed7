package forwarder

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// crasher adds a server that crashes after first has handled a request: it breaks the connection
// and refuses further ones.
func (s *site) crasher(role oriolebend.PoolRole, first http.HandlerFunc) {
	s.t.Helper()
	var backend atomic.Pointer[httptest.Server]
	s.server("a", role, func(w http.ResponseWriter, r *http.Request) {
		first(w, r)
		_ = backend.Load().Listener.Close()
		abort(w, r)
	})
	backend.Store(s.backends[len(s.backends)-1])
}

// awaitProbes waits until the servers whose connections broke have been probed.
func (s *site) awaitProbes() {
	const settle = 20 * time.Millisecond // until a probe has started, or its result was used
	time.Sleep(settle)
	s.forwarder.crashes.mutex.Lock()
	probes := slices.Collect(maps.Values(s.forwarder.crashes.probes))
	s.forwarder.crashes.mutex.Unlock()
	for _, p := range probes {
		<-p.done
	}
	time.Sleep(settle)
}

// Guards against logs that do not distinguish a server that crashed from a connection that broke. A
// line is logged for the crash, and none for the broken connection.
func TestCrashedServerIsLogged(t *testing.T) {
	for _, test := range []struct {
		name  string
		path  string
		ended bool
	}{
		{name: "crashed", path: "/once/", ended: true},
		{name: "crashed before a stream began", path: "/cut/", ended: true},
		{name: "connection broken", path: "/once/"},
		{name: "connection of a stream broken", path: "/cut/"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			if test.ended {
				s.crasher("", func(http.ResponseWriter, *http.Request) {})
			} else {
				s.server("a", "", abort)
			}
			status, _, _ := s.send(test.path, nil)
			is.Equal(status, http.StatusBadGateway)
			s.awaitProbes()
			is.Equal(strings.Contains(s.log.String(), "server has ended"), test.ended)
		})
	}
}

// Guards against a request that crashes servers and keeps reaching them on a site where answers are
// also lost. A connection to a server breaks while the server is alive, and a second later the
// server crashes: the result of the first probe must not be used for the second.
func TestServerCrashAfterABrokenConnection(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	breaks := true
	s.crasher("", func(w http.ResponseWriter, r *http.Request) {
		if breaks {
			breaks = false
			abort(w, r)
		}
	})
	s.send("/once/", nil)
	s.awaitProbes()
	is.True(!strings.Contains(s.log.String(), "server has ended"))
	s.send("/once/", nil)
	s.awaitProbes()
	is.True(strings.Contains(s.log.String(), "server has ended"))
}

// Guards against log lines of a request's tries that can't be matched with each other. A forwarder
// logs attributes that identify the tries, but the log withholds values under the names of callers'
// data. Each of these values must be logged.
func TestNeededAttributesAreNotWithheld(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.crashers(4, "", 0)
	for range 5 {
		s.send("/safe/", nil)
		s.awaitProbes()
	}
	is.True(strings.Contains(s.log.String(), "request held back"))
	is.True(strings.Contains(s.log.String(), `"fingerprint":"`+bodyFingerprint("/safe/").String()+`"`))
	is.True(!strings.Contains(s.log.String(), logging.Withheld))
}
