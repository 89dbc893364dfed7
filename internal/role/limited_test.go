package role

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// limitWindow is the time in which a server may receive limitShare times its reported
	// limit, plus limitFree requests. The bound holds from limitSettle after the server first
	// reported its limit. A forwarder must know the limit from limitKnownAfter after an answer
	// that reports it.
	limitWindow     = 4 * time.Second
	limitShare      = 1.5
	limitFree       = 5
	limitSettle     = 3 * time.Second
	limitKnownAfter = 500 * time.Millisecond
	// senderHeader names the forwarder to which a test sends a request.
	senderHeader = "X-Sender"
)

// arrival is a request that reached a server. limitKnown is true if its forwarder must have
// known the limit by then.
type arrival struct {
	at         time.Time
	limitKnown bool
}

// limitingServer is a backend server of plain calls that can report a limit.
type limitingServer struct {
	name     string
	listener *httptest.Server
	sequence atomic.Uint64

	mutex sync.Mutex
	// limit is the limit that the server reports, empty if it reports none; limitedSince
	// is when the limit was set.
	limit        string
	limitedSince time.Time
	// firstAnswers holds when the server first reported its limit to each forwarder.
	firstAnswers map[string]time.Time
	arrivals     []arrival
}

func newLimitingServer(t *testing.T, name string) *limitingServer {
	s := &limitingServer{name: name, firstAnswers: map[string]time.Time{}}
	s.listener = httptest.NewServer(http.HandlerFunc(s.answer))
	t.Cleanup(s.listener.Close)
	return s
}

// answer answers after the time that a usual call takes.
func (s *limitingServer) answer(w http.ResponseWriter, r *http.Request) {
	const usual = 20 * time.Millisecond
	sender := r.Header.Get(senderHeader)
	s.mutex.Lock()
	since, known := s.firstAnswers[sender]
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), limitKnown: known && time.Since(since) >= limitKnownAfter})
	s.mutex.Unlock()
	time.Sleep(usual)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit != "" {
		w.Header().Set("Oriolebend-Limit", s.limit)
		if _, known := s.firstAnswers[sender]; !known {
			s.firstAnswers[sender] = time.Now()
		}
	}
	_, _ = io.WriteString(w, "answered")
}

// setLimit sets the limit that the server reports from now on; empty means none.
func (s *limitingServer) setLimit(limit string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit, s.limitedSince, s.firstAnswers = limit, time.Now(), map[string]time.Time{}
}

// maxInWindow returns the highest number of requests in one limitWindow from forwarders that
// knew the limit, and the allowed number.
func (s *limitingServer) maxInWindow(perSecond float64) (most int, allowed float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, first := range s.arrivals {
		if first.at.Sub(s.limitedSince) < limitSettle {
			continue
		}
		count := 0
		for _, a := range s.arrivals[i:] {
			if a.limitKnown && a.at.Sub(first.at) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most, limitShare*perSecond*limitWindow.Seconds() + limitFree
}

// countWithin counts the requests of a period that ends now.
func (s *limitingServer) countWithin(period time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if time.Since(a.at) < period {
			count++
		}
	}
	return count
}

// limitSite is a site whose servers can report limits.
type limitSite struct {
	*routeSite
	servers    []*limitingServer
	forwarders []*ForwarderProcess
}

// startLimitSite starts three control VMs, six forwarders and some servers.
func startLimitSite(t *testing.T, servers int) *limitSite {
	t.Helper()
	is := is.New(t)
	s := &limitSite{routeSite: newRouteSite(t)}
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(1, "s")
	for i := range 6 {
		f, err := StartForwarder(s.forwarderProcess(fmt.Sprintf("127.0.1.%d", 10+i)), forwarder.NativeDialect{})
		is.NoErr(err)
		t.Cleanup(func() { _ = f.Kill() })
		s.forwarders = append(s.forwarders, f)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var announcing sync.WaitGroup
	t.Cleanup(func() { cancel(); announcing.Wait() })
	for i := range servers {
		server := newLimitingServer(t, fmt.Sprintf("i-%d", i))
		s.servers = append(s.servers, server)
		announcing.Go(func() { s.announce(ctx, server) })
	}
	for _, f := range s.forwarders {
		s.waitFor("the forwarder is ready", f.Ready)
		s.waitFor("requests are served", func() bool {
			status, _, _ := s.send(t.Context(), f, "first")
			return status == http.StatusOK
		})
	}
	return s
}

// announce announces a server to a control VM repeatedly until ctx ends.
func (s *limitSite) announce(ctx context.Context, server *limitingServer) {
	for ctx.Err() == nil {
		announcement := message.BackendServer{
			Instance: server.name, Service: "s", Address: server.listener.Listener.Addr().String(),
			Phase: message.PhaseReady, Slots: 8, Sequence: server.sequence.Add(1),
		}
		for _, c := range s.controls() {
			if c.Announce(ctx, announcement) == nil {
				break
			}
		}
		wait(ctx, 200*time.Millisecond)
	}
}

// send sends a request to a forwarder. It returns the status, the Retry-After in seconds, and
// the duration.
func (s *limitSite) send(ctx context.Context, f *ForwarderProcess, id string) (int, float64, time.Duration) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Address()+"/x", nil)
	if err != nil {
		return 0, 0, 0
	}
	request.Host = "h"
	request.Header.Set("Oriolebend-Request", id)
	request.Header.Set(senderHeader, f.Address())
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, after, time.Since(began)
}

// callerStats holds the statistics of the answers that callers received.
type callerStats struct {
	mutex sync.Mutex
	// statuses counts answers by status.
	statuses map[int]int
	// slowest is the longest duration of a refusal, and minRetryAfter the shortest
	// Retry-After of one in seconds.
	slowest       time.Duration
	minRetryAfter float64
}

// run sends forty requests a second for a time, to one forwarder after the other.
func (s *limitSite) run(length time.Duration) *callerStats {
	l := &callerStats{statuses: map[int]int{}, minRetryAfter: 1e9}
	var asking sync.WaitGroup
	ctx, cancel := context.WithTimeout(s.t.Context(), length)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		f := s.forwarders[n%len(s.forwarders)]
		asking.Go(func() {
			status, after, took := s.send(s.t.Context(), f, fmt.Sprintf("r-%d", n))
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.statuses[status]++
			if status != http.StatusOK {
				l.slowest, l.minRetryAfter = max(l.slowest, took), min(l.minRetryAfter, after)
			}
		})
		wait(ctx, 25*time.Millisecond)
	}
	asking.Wait()
	return l
}

// Guards against a server that reports a limit in requests per second but still receives
// several times as many. Two of four servers report a limit in their answers to six
// forwarders. A forwarder that did not read these headers would send as before. The
// limit holds for all forwarders together, while each knows only its own sends.
func TestServerThatNamesALimit(t *testing.T) {
	is := is.New(t)
	s := startLimitSite(t, 4)
	limits := []float64{1.1, 1.7}
	for i, limit := range limits {
		s.servers[i].setLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	load := s.run(limitSettle + 2*limitWindow)
	for i, limit := range limits {
		most, allowed := s.servers[i].maxInWindow(limit)
		t.Logf("limit %.1f: %d requests within %v, allowed %.0f", limit, most, limitWindow, allowed)
		is.True(float64(most) <= allowed)
		is.True(s.servers[i].countWithin(limitWindow) > 0) // some request must reach it to find out whether the limit has ended
	}
	is.Equal(load.statuses[http.StatusOK], sumOf(load.statuses)) // the other servers have capacity for all
}

func sumOf(counts map[int]int) int {
	all := 0
	for _, n := range counts {
		all += n
	}
	return all
}

// Guards against a limited server that receives several times its limit while control VMs
// are lost. All servers have reported limits; the control VM that counts is killed, and later
// all control VMs are. Forwarders must not count on their own in the meantime, and a new count
// must not begin with a full allowance. Refusals during this time must be returned at once.
func TestLimitsWhileControlVMsAreLost(t *testing.T) {
	is := is.New(t)
	s := startLimitSite(t, 2)
	const limit = 3
	for _, server := range s.servers {
		server.setLimit(strconv.Itoa(limit))
	}
	go func() {
		wait(t.Context(), limitSettle+time.Second)
		lost := s.leader()
		s.kill(lost)
		wait(t.Context(), 2*time.Second)
		s.startControl(lost)
		for _, ip := range seededControls {
			s.kill(ip)
		}
		for _, ip := range seededControls {
			s.startControl(ip)
		}
	}()
	load := s.run(limitSettle + 2*limitWindow)
	for _, server := range s.servers {
		most, allowed := server.maxInWindow(limit)
		t.Logf("limit %d: %d requests within %v, allowed %.0f", limit, most, limitWindow, allowed)
		is.True(float64(most) <= allowed)
	}
	t.Logf("answers %v, slowest refusal %v, lowest Retry-After %.3f s", load.statuses, load.slowest, load.minRetryAfter)
	is.Equal(load.statuses[http.StatusOK]+load.statuses[http.StatusServiceUnavailable], sumOf(load.statuses))
	is.True(load.statuses[http.StatusOK] >= 20) // most of the requests that the limits allow while a control VM counts
	is.True(load.slowest < 300*time.Millisecond)
	is.True(load.minRetryAfter > 0)
}

// Guards against a server that stays idle after its limit has ended. The server reports no
// limit any more in the few answers that it sends. If the end of the limit were known only to
// the forwarder that received it, each of the six forwarders would need an answer of its own.
func TestLimitEndsForAllForwarders(t *testing.T) {
	is := is.New(t)
	s := startLimitSite(t, 1)
	s.servers[0].setLimit("0.5")
	limited := s.run(2 * time.Second)
	is.True(limited.statuses[http.StatusServiceUnavailable] > limited.statuses[http.StatusOK])
	s.servers[0].setLimit("")
	// Once one request is granted, the next limit request of each forwarder is answered with
	// the end of the limit.
	s.run(5 * time.Second)
	after := s.run(2 * time.Second)
	t.Logf("answers while limited %v, after it %v", limited.statuses, after.statuses)
	is.Equal(after.statuses[http.StatusOK], sumOf(after.statuses))
}
