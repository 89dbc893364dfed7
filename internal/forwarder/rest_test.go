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
	// restFrom is from how long after a server has asked for rest no more than restFree
	// requests reach it until the end of that time.
	restFrom = 500 * time.Millisecond
	restFree = 2
)

// restingServer refuses what reaches it, and asks for rest each time.
type restingServer struct {
	rest time.Duration

	mutex sync.Mutex
	// asked is when it first asked for rest, arrivals when requests reached it.
	asked    time.Time
	arrivals []time.Time
}

func (r *restingServer) refuse(w http.ResponseWriter) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
	if r.asked.IsZero() {
		r.asked = time.Now()
	}
	w.Header().Set(retryAfter, "2")
	notRun(w)
	return true
}

// disturbed counts the requests that reached the server in the time of rest that it first asked
// for.
func (r *restingServer) disturbed() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, at := range r.arrivals {
		if since := at.Sub(r.asked); since > restFrom && since < r.rest {
			count++
		}
	}
	return count
}

// Symptom: a server that turns requests away, and asks for some seconds of rest each time, is
// sent more requests than the servers that work; callers whose request may be sent to one
// server get its refusals as their own. Sequence: a server refuses all that reaches it with the
// time that it wants; it is avoided for a moment, and then has the least work of all. Cause: a
// refusal taken for a full queue, whatever the server says with it. Proof: in the second after
// the first refusals it gets the most requests, and no way by which a request reaches it reads
// the time.
func TestRestHoldsOnEveryWay(t *testing.T) {
	const rest = 2 * time.Second
	for _, way := range append([]way{reservations}, ways...) {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, way.kv)
			server := &restingServer{rest: rest}
			way.start(s, server.refuse)
			for began := time.Now(); time.Since(began) < rest; time.Sleep(10 * time.Millisecond) {
				s.ask(way.path, way.header)
			}
			t.Logf("%d requests in the time of rest", server.disturbed())
			is.True(len(server.arrivals) > 0)
			is.True(server.disturbed() <= restFree)
		})
	}
}

// A request for which every server rests is refused at once, as not run, with the time at which
// the first has rested; then it is served.
func TestAllServersRest(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var need atomic.Bool
	need.Store(true)
	for _, rest := range []string{"1", "0.6"} {
		s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
			if need.Load() {
				w.Header().Set(retryAfter, rest)
				notRun(w)
			}
		})
	}
	refused := func() float64 {
		t.Helper()
		status, header, body := s.ask("/once/", nil)
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
	need.Store(false)
	time.Sleep(time.Duration(after * float64(time.Second)))
	status, _, _ := s.ask("/once/", nil)
	is.Equal(status, http.StatusOK)
}

// Symptom: plain requests are refused as overloaded while a second server is idle. Sequence: one
// of two servers refuses and asks for rest. Cause: its refusals taken for a queue that is full.
func TestRestIsNoQueue(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(retryAfter, "0.02")
		notRun(w)
	})
	s.server("b", "", answer("good"))
	for range 60 {
		status, _, _ := s.ask("/safe/", nil)
		is.Equal(status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(s.counts.seen["retry serverRests"] > 4)
	is.Equal(s.counts.seen["refusal overloaded"], 0)
}
