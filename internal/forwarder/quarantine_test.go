package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// crashers adds servers that end when they are sent anything, after some events of a
// stream, and counts what reaches them.
func (s *site) crashers(count int, role oriolebend.PoolRole, after int) *atomic.Int32 {
	reached := &atomic.Int32{}
	for range count {
		s.crasher(role, func(w http.ResponseWriter, _ *http.Request) {
			reached.Add(1)
			if after > 0 {
				events(w, 1, after)
			}
		})
	}
	return reached
}

// bodyFingerprint is the fingerprint of what ask sends to a path.
func bodyFingerprint(path string) quarantine.Fingerprint {
	return fingerprintOf(&http1.Request{Method: http.MethodPost, Host: "h", Target: path, Body: []byte("body")}, "")
}

// Symptom: a request ends all servers of a service, three or more for each try of its
// caller. Sequence: it may be repeated, so that each loss is followed by a sending to
// another server. Cause: sendings that are bounded for one try alone. It is refused as not
// run once three servers have ended, in whatever way it comes; what others ask for is not.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, path string
		// events are passed on before the server ends.
		events int
	}{
		{name: "plain", path: "/safe/"},
		{name: "plain, once", path: "/once/"},
		{name: "stream", path: "/stream/"},
		{name: "stream that has just begun", path: "/stream/", events: 2},
		{name: "stream, once", path: "/cut/", events: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			reached := s.crashers(8, "", test.events)
			for range 8 {
				s.ask(test.path, nil)
				s.looked()
			}
			is.True(reached.Load() >= quarantine.Limit)
			is.True(reached.Load() <= quarantine.Limit+1) // two attempts may be under way
			status, header, body := s.ask(test.path, nil)
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= 599)
			for i := range s.servers {
				s.leaves(i)
			}
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
			status, _, _ = s.ask(test.path+"other", nil)
			is.Equal(status, http.StatusOK)
		})
	}
}

// Symptom: proper requests are refused for ten minutes after a bad hour. Sequence: the
// same request meets servers whose connections break, or that are lost with their VMs; or
// it was answered a moment before. Cause: every loss taken for a crash, and every crash
// for the request's own.
func TestLossesAreNotCrashes(t *testing.T) {
	t.Run("connections break", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		for range 4 {
			s.server("a", "", abort)
		}
		for range 6 {
			s.ask("/once/", nil)
			s.looked()
		}
		_, held := s.forwarder.config.Quarantine.Reported()
		is.Equal(held, 0)
	})
	t.Run("answered before", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		s.server("a", "", answer("sound"))
		status, _, _ := s.ask("/safe/", nil)
		is.Equal(status, http.StatusOK)
		s.leaves(0)
		s.crashers(6, "", 0)
		for range 6 {
			s.ask("/safe/", nil)
			s.looked()
		}
		reported, held := s.forwarder.config.Quarantine.Reported()
		is.Equal(reported, 1)
		is.Equal(held, 0)
	})
	t.Run("stream that has run for a while", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		for range 4 {
			s.crasher("", func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 1)
				time.Sleep(justBegun + 100*time.Millisecond)
			})
		}
		for range 4 {
			s.ask("/cut/", nil)
			s.looked()
		}
		reported, _ := s.forwarder.config.Quarantine.Reported()
		is.Equal(reported, 0)
	})
}

// Symptom: a request reaches a server after it was known to crash servers. Sequence: it
// waits for memory, or for its prompt to be read, when another forwarder tells what it
// did. Cause: a look at its arrival alone. Its reservation and its prefill are given back.
func TestRequestIsHeldWhileItWaits(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	decode, prefill := &engine{}, &engine{}
	s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(ownPhase) != "" {
			var reports []message.CrashReport
			for i := range quarantine.Limit {
				reports = append(reports, message.CrashReport{Fingerprint: uint64(bodyFingerprint("/cut/")), Instance: fmt.Sprint(i)})
			}
			s.forwarder.config.Quarantine.ApplyReports(reports, false)
		}
		prefill.ServeHTTP(w, r)
	})
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	status, body := s.generation("/cut/")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
	s.forwarder.Wait()
	is.Equal(decode.seen(), "POST /reservations; DELETE /reservations/h1")
}
