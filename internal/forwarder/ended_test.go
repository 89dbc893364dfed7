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

// crasher adds a server that ends, as a process does, once it has done something for a
// request: it breaks the connection and refuses others.
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

// looked waits until the servers whose connections broke were looked at.
func (s *site) looked() {
	const begun = 20 * time.Millisecond // until a look has begun, or its end is taken in
	time.Sleep(begun)
	s.forwarder.endings.mutex.Lock()
	looks := slices.Collect(maps.Values(s.forwarder.endings.looks))
	s.forwarder.endings.mutex.Unlock()
	for _, l := range looks {
		<-l.done
	}
	time.Sleep(begun)
}

// Symptom: on call one can't tell a server that crashed from a connection that broke.
// A line tells it of the first, and none of the second.
func TestEndedServerIsTold(t *testing.T) {
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
			status, _, _ := s.ask(test.path, nil)
			is.Equal(status, http.StatusBadGateway)
			s.looked()
			is.Equal(strings.Contains(s.log.String(), "server has ended"), test.ended)
		})
	}
}

// Symptom: a request that crashes servers goes on reaching them on a site on which answers
// are lost as well. Sequence: a connection to a server breaks, which lives; a second later it
// ends. Cause: what was found at the first time is taken for the second.
func TestServerThatEndsAfterABrokenConnection(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	breaks := true
	s.crasher("", func(w http.ResponseWriter, r *http.Request) {
		if breaks {
			breaks = false
			abort(w, r)
		}
	})
	s.ask("/once/", nil)
	s.looked()
	is.True(!strings.Contains(s.log.String(), "server has ended"))
	s.ask("/once/", nil)
	s.looked()
	is.True(strings.Contains(s.log.String(), "server has ended"))
}

// Symptom: on call the lines of a request's tries can't be brought together. Sequence: a
// forwarder logs what identifies them; the log withholds it, as it does values under names
// that callers' data goes by. Cause: an attribute's name. Each value must be there.
func TestNothingThatIsNeededIsWithheld(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.crashers(4, "", 0)
	for range 5 {
		s.ask("/safe/", nil)
		s.looked()
	}
	is.True(strings.Contains(s.log.String(), "request held back"))
	is.True(strings.Contains(s.log.String(), `"fingerprint":"`+bodyFingerprint("/safe/").String()+`"`))
	is.True(!strings.Contains(s.log.String(), logging.Withheld))
}
