package forwarder

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// backoffFrom is the time after a server's first request for a backoff period. From then until
	// the period ends, no more than backoffFree requests may reach the server.
	backoffFrom = 500 * time.Millisecond
	backoffFree = 2
)

// backoffServer refuses every request, and requests a backoff period each time.
type backoffServer struct {
	period time.Duration

	mutex sync.Mutex
	// requested is when the server first requested a backoff period, arrivals when requests reached it.
	requested time.Time
	arrivals  []time.Time
}

func (r *backoffServer) refuse(w http.ResponseWriter) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
	if r.requested.IsZero() {
		r.requested = time.Now()
	}
	w.Header().Set(retryAfter, "2")
	notRun(w)
	return true
}

// duringBackoff counts the requests that reached the server during the first backoff period that it
// requested.
func (r *backoffServer) duringBackoff() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, at := range r.arrivals {
		if since := at.Sub(r.requested); since > backoffFrom && since < r.period {
			count++
		}
	}
	return count
}

// Guards against a server that refuses requests with a Retry-After header, and is sent more
// requests than the servers that work. If its refusals were taken for a full queue and a kind of
// send ignored the header, the server would be avoided for a moment and then have the least work of
// all: in the second after its first refusals it would get the most requests. Callers whose request
// may be sent to only one server would get its refusals.
func TestBackoffHoldsForEverySend(t *testing.T) {
	const period = 2 * time.Second
	for _, kind := range append([]sendKind{reservations}, sendKinds...) {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, kind.kv)
			server := &backoffServer{period: period}
			kind.start(s, server.refuse)
			for began := time.Now(); time.Since(began) < period; time.Sleep(10 * time.Millisecond) {
				s.send(kind.path, kind.header)
			}
			t.Logf("%d requests in the backoff period", server.duringBackoff())
			is.True(len(server.arrivals) > 0)
			is.True(server.duringBackoff() <= backoffFree)
		})
	}
}

// A request for which all servers are in a backoff period is refused immediately, as not run, with
// the delay until the first period ends; then it is served.
func TestAllServersInBackoff(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var overloaded atomic.Bool
	overloaded.Store(true)
	for _, period := range []string{"1", "0.6"} {
		s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
			if overloaded.Load() {
				w.Header().Set(retryAfter, period)
				notRun(w)
			}
		})
	}
	refused := func() float64 {
		t.Helper()
		status, header, body := s.send("/once/", nil)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(body, `{"reason":"serverRests","ran":"no"}`)
		after, err := strconv.ParseFloat(header.Get(retryAfter), 64)
		is.NoErr(err)
		return after
	}
	refused()
	refused()
	began := time.Now()
	after := refused()
	is.True(time.Since(began) < 100*time.Millisecond)
	is.True(after > 0.4 && after <= 0.6)
	overloaded.Store(false)
	time.Sleep(time.Duration(after * float64(time.Second)))
	status, _, _ := s.send("/once/", nil)
	is.Equal(status, http.StatusOK)
}

// Guards against plain requests that are refused as overloaded while a second server is idle. One
// of two servers refuses and requests a backoff period; its refusals must not be taken for a full
// queue.
func TestBackoffIsNoFullQueue(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(retryAfter, "0.02")
		notRun(w)
	})
	s.server("b", "", answer("good"))
	for range 60 {
		status, _, _ := s.send("/safe/", nil)
		is.Equal(status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(s.counts.seen["retry serverRests"] > 4)
	is.Equal(s.counts.seen["refusal overloaded"], 0)
}
