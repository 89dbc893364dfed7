package forwarder

import (
	"context"
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
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// crashers adds servers that crash when they are sent a request, after some events of a stream, and
// counts the requests that reach them.
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

// bodyFingerprint returns the fingerprint of the request that send sends to a path.
func bodyFingerprint(path string) quarantine.Fingerprint {
	return fingerprintOf(&http1.Request{Method: http.MethodPost, Host: "h", Target: path, Body: []byte("body")}, "")
}

// Guards against a request that crashes all servers of a service, three or more for each try of its
// caller. The request may be repeated, so that each crash is followed by a send to another server,
// and the number of sends is bounded for one try alone. After three crashes the request is refused
// as not run on every kind of route; other requests are not.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, path string
		// events are forwarded before the server crashes.
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
				s.send(test.path, nil)
				s.awaitProbes()
			}
			is.True(reached.Load() >= quarantine.Limit)
			is.True(reached.Load() <= quarantine.Limit+1) // two attempts may be in flight
			status, header, body := s.send(test.path, nil)
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= 599)
			for i := range s.servers {
				s.drain(i)
			}
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
			status, _, _ = s.send(test.path+"other", nil)
			is.Equal(status, http.StatusOK)
		})
	}
}

// Guards against valid requests that are refused for ten minutes after many failures. The same
// request meets servers whose connections break or that are lost with their VMs, or it was answered
// a moment before. Not every lost connection is a crash, and not every crash is caused by the
// request.
func TestLossesAreNotCrashes(t *testing.T) {
	t.Run("connections break", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		for range 4 {
			s.server("a", "", abort)
		}
		for range 6 {
			s.send("/once/", nil)
			s.awaitProbes()
		}
		is.Equal(s.forwarder.config.Quarantine.Reported(quarantine.KindRequest).Held, 0)
	})
	t.Run("answered before", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		s.server("a", "", answer("sound"))
		status, _, _ := s.send("/safe/", nil)
		is.Equal(status, http.StatusOK)
		s.drain(0)
		s.crashers(6, "", 0)
		for range 6 {
			s.send("/safe/", nil)
			s.awaitProbes()
		}
		is.Equal(s.forwarder.config.Quarantine.Reported(quarantine.KindRequest), quarantine.Counts{Reported: 1})
	})
	t.Run("stream that has run for a while", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 0)
		for range 4 {
			s.crasher("", func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 1)
				time.Sleep(earlyStreamPeriod + 100*time.Millisecond)
			})
		}
		for range 4 {
			s.send("/cut/", nil)
			s.awaitProbes()
		}
		is.Equal(s.forwarder.config.Quarantine.Reported(quarantine.KindRequest).Reported, 0)
	})
}

// Guards against a request that reaches a server after it is known to crash servers. While it waits
// for memory or for its prefill, another forwarder reports the crashes: checking the quarantine on
// arrival alone is not enough. Its reservation and its prefill result are released.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	decode, prefill := &engine{}, &engine{}
	s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerPhase) != "" {
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

// partReports returns reports by which two parts are quarantined: each crashed servers under
// different requests.
func partReports(service string, parts ...string) []message.CrashReport {
	var reports []message.CrashReport
	for _, fingerprint := range partFingerprints(service, parts) {
		for i := range quarantine.Limit {
			reports = append(reports, message.CrashReport{
				Fingerprint: uint64(fingerprint), Part: true, Requests: []uint64{uint64(i)}, Instance: fmt.Sprint(i),
				Age: time.Duration(i) * time.Second,
			})
		}
	}
	return reports
}

// Guards against a part of prompts that crashes all servers of a service, on every kind of route: no
// two requests with it are alike. Requests with another part of the same prompts are served.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	for _, test := range []struct {
		name, path string
		// events are forwarded before the server crashes.
		events int
		// sends is to how many servers a request is sent.
		sends int32
	}{
		{name: "plain", path: "/safe/", sends: 2},
		{name: "plain, once", path: "/once/", sends: 1},
		{name: "stream", path: "/stream/", sends: 2},
		{name: "stream that has just begun", path: "/stream/", events: 2, sends: 2},
		{name: "stream, once", path: "/cut/", events: 1, sends: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			reached := s.crashers(10, "", test.events)
			deadly := map[string]string{headerParts: "shared, deadly"}
			for i := range 8 {
				s.send(fmt.Sprintf("%s%d", test.path, i), deadly)
				s.awaitProbes()
				time.Sleep(100 * time.Millisecond) // crashes of one moment count once
			}
			is.True(reached.Load() >= quarantine.Limit)
			is.True(reached.Load() <= test.sends*quarantine.Limit)
			status, header, body := s.send(test.path+"last", deadly)
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 0)
			for i := range s.servers {
				s.drain(i)
			}
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
			status, _, _ = s.send(test.path+"other", map[string]string{headerParts: "shared, sound"})
			is.Equal(status, http.StatusOK)
		})
	}
}

// blockingPlaces grants no placement.
type blockingPlaces struct {
	outdatedPlaces
	waiting chan struct{}
}

func (p *blockingPlaces) Place(ctx context.Context, _ PlacementRequest) (dispatch.Effect, bool) {
	close(p.waiting)
	<-ctx.Done()
	return dispatch.Refused{}, true
}

// Guards against a request that waits for its placement, although it is known meanwhile that it must
// not be sent to any server. It is refused at once, and not at its deadline.
func TestRequestThatWaitsForItsPlacementIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	s.server("a", oriolebend.Decode, (&engine{}).ServeHTTP)
	places := &blockingPlaces{waiting: make(chan struct{})}
	s.forwarder.config.Places = places
	go func() {
		<-places.waiting
		s.forwarder.config.Quarantine.ApplyReports(partReports("s", "deadly"), false)
	}()
	began := time.Now()
	status, header, body := s.send("/cut/", map[string]string{headerPrompt: "100", headerOutput: "50", headerParts: "shared,deadly"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
	is.Equal(header.Get("Retry-After"), "1.000")
	is.True(time.Since(began) < time.Second) // the route allows 2 s
}

// Guards against a server that crashes under a request that it has in its queue when it becomes known
// that the request crashes servers. The request is cancelled there, and may have run.
func TestRequestThatHasNotBegunIsCancelled(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	cancelled := make(chan struct{})
	s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
		s.forwarder.config.Quarantine.ApplyReports(partReports("s", "deadly"), false)
		stall(w, r)
		close(cancelled)
	})
	status, _, body := s.send("/cut/", map[string]string{headerParts: "deadly"})
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, `{"reason":"crashesServers","ran":"unknown"}`)
	<-cancelled
}

// Guards against a request that is sent a second time to a server whose KV cache has expired, although
// it is known meanwhile that it crashes servers.
func TestNoSecondSendOfAQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	sends := &atomic.Int32{}
	s.server("a", oriolebend.Prefill, (&engine{}).ServeHTTP)
	decode := &engine{}
	s.server("a", oriolebend.Decode, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cut/" {
			decode.ServeHTTP(w, r)
			return
		}
		sends.Add(1)
		s.forwarder.config.Quarantine.ApplyReports(partReports("s", "deadly"), false)
		w.Header().Set(headerRan, string(oriolebend.RanNo)) // the KV cache can't be fetched
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, _, body := s.send("/cut/", map[string]string{headerPrompt: "100", headerOutput: "50", headerParts: "deadly"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"crashesServers","ran":"no"}`)
	is.Equal(sends.Load(), int32(1))
}
