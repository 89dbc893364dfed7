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
	// limitWindow is the time in which a server may get limitShare times what it names, and
	// limitFree requests besides; limitSettle is from how long after it first named its limit
	// that holds, limitTold from how long after an answer a forwarder counts as told.
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitFree   = 5
	limitSettle = 3 * time.Second
	limitTold   = 500 * time.Millisecond
	// senderHeader names the forwarder that a test sends a request to.
	senderHeader = "X-Sender"
)

// arrival is a request that reached a server, from a forwarder that had been told of its
// limit for long enough or not.
type arrival struct {
	at   time.Time
	told bool
}

// needyServer is a backend server of plain calls that can name a limit.
type needyServer struct {
	name     string
	listener *httptest.Server
	sequence atomic.Uint64

	mutex sync.Mutex
	// limit is what it names, empty if it names none; named is since when.
	limit string
	named time.Time
	// told is when it answered each sender with its limit first.
	told     map[string]time.Time
	arrivals []arrival
}

func newNeedyServer(t *testing.T, name string) *needyServer {
	s := &needyServer{name: name, told: map[string]time.Time{}}
	s.listener = httptest.NewServer(http.HandlerFunc(s.answer))
	t.Cleanup(s.listener.Close)
	return s
}

// answer takes as long as a usual call.
func (s *needyServer) answer(w http.ResponseWriter, r *http.Request) {
	const usual = 20 * time.Millisecond
	sender := r.Header.Get(senderHeader)
	s.mutex.Lock()
	told, known := s.told[sender]
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), told: known && time.Since(told) >= limitTold})
	s.mutex.Unlock()
	time.Sleep(usual)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit != "" {
		w.Header().Set("Oriolebend-Limit", s.limit)
		if _, known := s.told[sender]; !known {
			s.told[sender] = time.Now()
		}
	}
	_, _ = io.WriteString(w, "answered")
}

// nameLimit has the server name a limit from now on; empty ends it.
func (s *needyServer) nameLimit(limit string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit, s.named, s.told = limit, time.Now(), map[string]time.Time{}
}

// worst returns the most requests in one limitWindow from forwarders that had been told, and
// what is allowed.
func (s *needyServer) worst(perSecond float64) (most int, allowed float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, first := range s.arrivals {
		if first.at.Sub(s.named) < limitSettle {
			continue
		}
		count := 0
		for _, a := range s.arrivals[i:] {
			if a.told && a.at.Sub(first.at) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most, limitShare*perSecond*limitWindow.Seconds() + limitFree
}

// since counts the requests of the last while.
func (s *needyServer) since(while time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if time.Since(a.at) < while {
			count++
		}
	}
	return count
}

// needySite is a site whose servers can name limits.
type needySite struct {
	*routeSite
	servers    []*needyServer
	forwarders []*ForwarderProcess
}

// startNeedySite starts three control VMs, six forwarders and some servers.
func startNeedySite(t *testing.T, servers int) *needySite {
	t.Helper()
	is := is.New(t)
	s := &needySite{routeSite: newRouteSite(t)}
	for _, ip := range seededControls {
		s.startControl(ip, true)
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
		server := newNeedyServer(t, fmt.Sprintf("i-%d", i))
		s.servers = append(s.servers, server)
		announcing.Go(func() { s.announce(ctx, server) })
	}
	for _, f := range s.forwarders {
		s.eventually("the forwarder is ready", f.Ready)
		s.eventually("requests are served", func() bool {
			status, _, _ := s.ask(t.Context(), f, "first")
			return status == http.StatusOK
		})
	}
	return s
}

// announce tells control VMs of a server, as long as there are any.
func (s *needySite) announce(ctx context.Context, server *needyServer) {
	for ctx.Err() == nil {
		told := message.BackendServer{
			Instance: server.name, Service: "s", Address: server.listener.Listener.Addr().String(),
			Phase: message.PhaseReady, Slots: 8, Sequence: server.sequence.Add(1),
		}
		for _, c := range s.controls() {
			if c.Announce(ctx, told) == nil {
				break
			}
		}
		wait(ctx, 200*time.Millisecond)
	}
}

// ask sends a request to a forwarder and returns the status, after how many seconds the
// caller may come back, and how long the answer took.
func (s *needySite) ask(ctx context.Context, f *ForwarderProcess, id string) (int, float64, time.Duration) {
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
	_, _ = io.Copy(io.Discard, response.Body) // the status alone counts
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, after, time.Since(began)
}

// needyLoad counts what callers saw.
type needyLoad struct {
	mutex sync.Mutex
	// statuses counts answers by status.
	statuses map[int]int
	// slowest is the longest time of a refusal, and soonest the shortest time after which a
	// refused caller was told to come back.
	slowest time.Duration
	soonest float64
}

// run sends forty requests a second for a while, to one forwarder after the other.
func (s *needySite) run(length time.Duration) *needyLoad {
	l := &needyLoad{statuses: map[int]int{}, soonest: 1e9}
	var asking sync.WaitGroup
	ctx, cancel := context.WithTimeout(s.t.Context(), length)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		f := s.forwarders[n%len(s.forwarders)]
		asking.Go(func() {
			status, after, took := s.ask(s.t.Context(), f, fmt.Sprintf("r-%d", n))
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.statuses[status]++
			if status != http.StatusOK {
				l.slowest, l.soonest = max(l.slowest, took), min(l.soonest, after)
			}
		})
		wait(ctx, 25*time.Millisecond)
	}
	asking.Wait()
	return l
}

// Symptom: a server that names how many requests a second it still takes goes on to get
// several times as many. Sequence: two of four servers name a limit in their answers; six
// forwarders pass these answers on and send as before. Cause: nobody reads what a server says
// of itself, and a limit holds for all forwarders together, of which each knows its own
// sendings alone. Proof: the two get as many requests after they named their limits as before,
// from each of the six.
func TestServerThatNamesALimit(t *testing.T) {
	is := is.New(t)
	s := startNeedySite(t, 4)
	limits := []float64{1.1, 1.7}
	for i, limit := range limits {
		s.servers[i].nameLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	load := s.run(limitSettle + 2*limitWindow)
	for i, limit := range limits {
		most, allowed := s.servers[i].worst(limit)
		t.Logf("limit %.1f: %d requests within %v, allowed %.0f", limit, most, limitWindow, allowed)
		is.True(float64(most) <= allowed)
		is.True(s.servers[i].since(limitWindow) > 0) // somebody has to ask whether the need is over
	}
	is.Equal(load.statuses[http.StatusOK], sum(load.statuses)) // the others have room for all
}

func sum(counts map[int]int) int {
	all := 0
	for _, n := range counts {
		all += n
	}
	return all
}

// Symptom: a server in need gets its limit several times over while control VMs are lost.
// Sequence: all servers have named limits; the control VM that counts is killed, and later all
// of them are. Cause: forwarders that count for themselves meanwhile, or a count that begins
// full. Who is refused meanwhile is told so at once.
func TestLimitsWhileControlVMsAreLost(t *testing.T) {
	is := is.New(t)
	s := startNeedySite(t, 2)
	const limit = 3
	for _, server := range s.servers {
		server.nameLimit(strconv.Itoa(limit))
	}
	go func() {
		wait(t.Context(), limitSettle+time.Second)
		lost := s.leader()
		s.kill(lost)
		wait(t.Context(), 2*time.Second)
		s.startControl(lost, false)
		for _, ip := range seededControls {
			s.kill(ip)
		}
		for _, ip := range seededControls {
			s.startControl(ip, false)
		}
	}()
	load := s.run(limitSettle + 2*limitWindow)
	for _, server := range s.servers {
		most, allowed := server.worst(limit)
		t.Logf("limit %d: %d requests within %v, allowed %.0f", limit, most, limitWindow, allowed)
		is.True(float64(most) <= allowed)
	}
	t.Logf("answers %v, slowest refusal %v, soonest return %.3f s", load.statuses, load.slowest, load.soonest)
	is.Equal(load.statuses[http.StatusOK]+load.statuses[http.StatusServiceUnavailable], sum(load.statuses))
	is.True(load.statuses[http.StatusOK] >= 20) // most of what the limits allow while a control VM counts
	is.True(load.slowest < 300*time.Millisecond)
	is.True(load.soonest > 0)
}

// Symptom: a server whose need is over stands idle. Sequence: it names no limit any more, in
// the few answers that it gives; each of six forwarders would have to be told by one of its
// own. Cause: the end of a limit that stays with the forwarder that heard of it.
func TestLimitEndsForAllForwarders(t *testing.T) {
	is := is.New(t)
	s := startNeedySite(t, 1)
	s.servers[0].nameLimit("0.5")
	limited := s.run(2 * time.Second)
	is.True(limited.statuses[http.StatusServiceUnavailable] > limited.statuses[http.StatusOK])
	s.servers[0].nameLimit("")
	// Once one is let through, the next question of each forwarder tells it.
	s.run(5 * time.Second)
	after := s.run(2 * time.Second)
	t.Logf("answers while limited %v, after it %v", limited.statuses, after.statuses)
	is.Equal(after.statuses[http.StatusOK], sum(after.statuses))
}
