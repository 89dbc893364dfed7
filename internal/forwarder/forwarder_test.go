package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// counts records what a forwarder counted.
type counts struct {
	mutex sync.Mutex
	seen  map[string]int
}

func (c *counts) Count(event string, reason oriolebend.Reason, _ string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seen[event+" "+string(reason)]++
}

func (*counts) Observe(string, oriolebend.Urgency, float64) {}

// site is a forwarder with backend servers and a port for callers.
type site struct {
	t         *testing.T
	forwarder *Forwarder
	callers   *http1.Server
	counts    *counts
	log       *recorder
	servers   []message.BackendServer
	backends  []*httptest.Server
}

// newSite declares four routes to the service "s": /safe/ may be repeated, /once/ may not, /stream/
// is a resumable stream, and /cut/ is a stream that may not be resumed. If kv is positive, "s" is a
// service of engines with that many KV tokens.
func newSite(t *testing.T, kv int, options ...func(*Config)) *site {
	t.Helper()
	is := is.New(t)
	c := &counts{seen: map[string]int{}}
	log := &recorder{}
	logger, err := logging.New(settings.Log{Format: "json"}, log)
	is.NoErr(err)
	config := Config{
		Dialect: NativeDialect{}, Dispatch: dispatch.Config{FailureDomain: "a", Seed: 1, RetrySlack: 1000}, Observer: c,
		Logger: logger,
	}
	for _, set := range options {
		set(&config)
	}
	f := New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &site{t: t, forwarder: f, counts: c, log: log, callers: http1.Serve(listener, http1.Config{
		Handler: f.Serve, Limits: f.Limits, Held: config.Held,
	})}
	t.Cleanup(s.callers.Close)
	target := []oriolebend.RouteTarget{{Service: "s", Weight: 1}}
	route := func(name string, repeat oriolebend.RepeatRule, stream bool, attempts int) oriolebend.Route {
		return oriolebend.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeat: repeat, Stream: stream, Attempts: attempts,
			Timeout: oriolebend.Duration(2 * time.Second), AnswerWithin: oriolebend.Duration(200 * time.Millisecond), Targets: target,
		}
	}
	service := oriolebend.RouteService{Name: "s"}
	if kv > 0 {
		service.Engine = &oriolebend.EngineLimits{KVTokens: kv, HoldWithin: oriolebend.Duration(time.Second)}
	}
	f.SetRouting(oriolebend.Routing{
		Version:  1,
		Services: []oriolebend.RouteService{service},
		Routes: []oriolebend.Route{
			route("safe", oriolebend.RepeatIdempotent, false, 2),
			route("once", oriolebend.RepeatNever, false, 1),
			route("stream", oriolebend.RepeatResumable, true, 2),
			route("cut", oriolebend.RepeatNever, true, 1),
		},
	})
	return s
}

// echoID names the request in the answer, as servers do.
func echoID(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headerRequest); id != "" {
			w.Header().Set(headerRequest, id)
		}
		handler(w, r)
	}
}

// server adds a backend server in the failure domain.
func (s *site) server(domain string, role oriolebend.PoolRole, handler http.HandlerFunc) string {
	s.t.Helper()
	backend := httptest.NewServer(echoID(handler))
	s.t.Cleanup(backend.Close)
	s.backends = append(s.backends, backend)
	address := backend.Listener.Addr().String()
	s.servers = append(s.servers, message.BackendServer{
		Instance: fmt.Sprintf("i%d", len(s.servers)), Service: "s", Address: address, FailureDomain: domain,
		Phase: message.PhaseReady, Role: role, SoftwareVersion: "v1",
	})
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
	return address
}

// drain reports that a server is draining.
func (s *site) drain(index int) {
	s.servers[index].Phase = message.PhaseDraining
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
}

// send sends a request and returns the status, header and body of the answer; a body that is cut off
// ends with "[cut]".
func (s *site) send(path string, header map[string]string) (int, http.Header, string) {
	s.t.Helper()
	return s.sendBody(path, header, "body")
}

// sendBody is like send with a body of its own.
func (s *site) sendBody(path string, header map[string]string, content string) (int, http.Header, string) {
	s.t.Helper()
	is := is.New(s.t)
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.callers.Address()+path, strings.NewReader(content))
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set(headerRequest, "r1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	text := string(body)
	if err != nil {
		text += "[cut]"
	}
	return response.StatusCode, response.Header, text
}

// abort closes the connection without an answer, like a server that crashes.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// stall sends nothing until the connection is closed. net/http notices that only once the body has
// been read.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func TestAnswerIsForwarded(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %s %s %s|%s", r.Method, r.RequestURI, r.Host, body, r.Header.Get(headerInstance), r.Header.Get(headerHold))
	})
	status, header, body := s.send("/once/x?y=%20", map[string]string{headerInstance: "forged", headerHold: "forged"})
	is.Equal(status, http.StatusTeapot)
	is.Equal(header.Get("X-Own"), "kept")
	is.Equal(body, "POST /once/x?y=%20 h body i0|")
}

func TestWithoutRouteOrRouting(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	status, _, body := s.send("/other/", nil)
	is.Equal(status, http.StatusNotFound)
	is.Equal(body, `{"reason":"unknownService","ran":"no"}`)
	status, header, _ := s.send("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable) // no server yet
	is.Equal(header.Get("Retry-After"), "0.500")
	// A forwarder without a routing must not answer that there is no route.
	s.forwarder.table.Store(nil)
	status, _, _ = s.send("/other/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against callers who lose their request in the second after a power loss of the whole site.
// Their first try meets a VM without power, their second one a forwarder that has started and waits
// for the control VMs to elect a leader, and they have no third. A request waits for the first
// routing, but only for a share of the time that its caller allows.
func TestRequestsWaitForTheFirstRouting(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", answer("fresh"))
	routing := s.forwarder.table.Load().Routing
	s.forwarder.table.Store(nil)
	s.forwarder.routed, s.forwarder.routedOnce = make(chan struct{}), sync.Once{}
	began := time.Now()
	status, _, body := s.send("/once/", map[string]string{headerDeadline: "100"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"controlAway","ran":"no"}`)
	is.True(time.Since(began) >= 60*time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() { s.forwarder.SetRouting(routing) })
	status, _, body = s.send("/once/", map[string]string{headerDeadline: "15000"})
	is.Equal(status, http.StatusOK)
	is.Equal(body, "fresh")
}

// Guards against a call that may run once but runs twice, and against a caller that receives "not
// run" for a call that ran. The server crashes after it has read the request: the outcome is
// unknown, so the call must be neither repeated nor refused.
func TestLostOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var ran atomic.Int32
	lose := func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		abort(w, r)
	}
	s.server("a", "", lose)
	s.server("a", "", lose)
	status, _, body := s.send("/once/", nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, `{"reason":"outcomeLost","ran":"unknown"}`)
	is.Equal(ran.Load(), int32(1))
}

// A call that may be repeated goes to another server after a failure, and the caller sees only the
// success.
func TestFailureIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", abort)
	s.server("b", "", answer("good"))
	status, _, body := s.send("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "good")
	is.Equal(s.counts.seen["retry outcomeLost"], 1)
}

// Guards against callers that time out because one of several servers accepts a request and then
// hangs.
func TestHangingServerIsHedged(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", stall)
	s.server("b", "", answer("good"))
	began := time.Now()
	status, _, body := s.send("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "good")
	is.True(time.Since(began) < time.Second)
}

// If a server states that it did not run the request, the caller receives "not run" with a retry
// delay.
func TestNotRunIsReported(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, body := s.send("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"queueFull","ran":"no"}`)
	is.True(header.Get("Retry-After") != "")
}

// Guards against a caller that waits longer than the deadline allows when the only server hangs.
func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", stall)
	began := time.Now()
	status, _, body := s.send("/once/", map[string]string{headerDeadline: "300"})
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(body, `{"reason":"deadline","ran":"unknown"}`)
	is.True(time.Since(began) < time.Second)
}

// events writes the events with the numbers from one to another.
func events(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	w.(http.Flusher).Flush()
}

// Guards against a stream with a gap or a repeat. The server crashes in the middle of an event, and
// another one continues: the incomplete event and the events that the caller already has must not
// be forwarded.
func TestStreamContinuesElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\nda")
		w.(http.Flusher).Flush()
		abort(nil, nil)
	})
	s.server("b", "", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(headerAfter), "3")
		events(w, 3, 5)
	})
	status, _, body := s.send("/stream/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(strings.ReplaceAll(body, "\n", " "), "id: 1 data: 1  id: 2 data: 2  id: 3 data: 3  id: 4 data: 4  id: 5 data: 5  ")
}

// Guards against an incomplete answer that looks complete: if the server of a stream that may not be
// resumed crashes, the regular end of the answer must not be sent.
func TestCutStreamLooksCut(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		abort(nil, nil)
	})
	_, _, body := s.send("/cut/", nil)
	is.True(strings.HasSuffix(body, "[cut]"))
	is.True(strings.Contains(body, "data: 2"))
}

// Guards against an engine that continues a stream whose caller has closed its connection.
func TestCallerThatLeavesIsCancelled(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	ended := make(chan struct{})
	s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
		events(w, 1, 1)
		stall(w, r)
		close(ended)
	})
	conn, err := net.Dial("tcp", s.callers.Address())
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET /cut/ HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = bufio.NewReader(conn).ReadString('\n')
	is.NoErr(err)
	is.NoErr(conn.Close())
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server still works")
	}
}

// engine is a stand-in for a model engine; it records its requests.
type engine struct {
	mutex    sync.Mutex
	requests []string
	// full is how many reservations are refused, expired how many sends with a KV cache.
	full, expired int
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	call := r.Method + " " + r.URL.Path
	if r.Header.Get(headerPhase) != "" {
		call += " phase=" + r.Header.Get(headerPhase)
	}
	if r.Header.Get(headerSource) != "" {
		call += " source"
	}
	if r.Header.Get(headerHold) != "" {
		call += " reserved=" + r.Header.Get(headerHold)
	}
	e.requests = append(e.requests, call)
	switch {
	case r.URL.Path == "/reservations" && e.full > 0:
		e.full--
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/reservations":
		_, _ = io.WriteString(w, `{"reservation":"h1"}`)
	case r.Header.Get(headerPhase) != "":
		_, _ = io.WriteString(w, `{"result":"k1","tokens":100}`)
	case r.Header.Get(headerSource) != "" && e.expired > 0:
		e.expired--
		w.Header().Set(headerRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		events(w, 1, 2)
	}
}

func (e *engine) seen() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strings.Join(e.requests, "; ")
}

// generation sends a request with token counts to a stream's path.
func (s *site) generation(path string) (int, string) {
	status, _, body := s.send(path, map[string]string{headerPrompt: "100", headerOutput: "50"})
	return status, body
}

// A generation first reserves memory at its decode engine, then has its prompt read, and then runs
// with the reservation and the prefill result.
func TestGenerationReservesBeforeItsPrefill(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	prefill, decode := &engine{}, &engine{full: 1}
	s.server("a", oriolebend.Prefill, prefill.ServeHTTP)
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	status, body := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "data: 2"))
	is.Equal(prefill.seen(), "POST /cut/ phase=prefill")
	is.Equal(decode.seen(), "POST /reservations; POST /reservations; POST /cut/ source reserved=h1")
}

// Guards against a stream that may not be repeated and fails although it did not run at all. The
// prefill result expires before its transfer, so the same engine must read the prompt itself.
func TestExpiredResultIsRecomputed(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	prefill, decode := &engine{}, &engine{expired: 1}
	s.server("a", oriolebend.Prefill, prefill.ServeHTTP)
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.Equal(decode.seen(), "POST /reservations; POST /cut/ source reserved=h1; POST /cut/")
	is.Equal(s.counts.seen["retry resultExpired"], 1)
}

// Guards against an engine that gets work long after its leaving was confirmed. A request has its
// placement there, and its prompt waits in the queue of a prefill engine for more than a second while
// the decode engine leaves. The request must be sent to another engine, and the reservation and the
// prefill result must be released.
func TestEngineThatLeftDuringThePrefill(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	leaving, stays := &engine{}, &engine{}
	prefill, slow := &engine{}, make(chan struct{}, 1)
	slow <- struct{}{}
	s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerPhase) != "" && len(slow) > 0 {
			<-slow
			s.drain(1)
			s.server("b", oriolebend.Decode, stays.ServeHTTP)
			time.Sleep(1100 * time.Millisecond)
		}
		prefill.ServeHTTP(w, r)
	})
	s.server("a", oriolebend.Decode, leaving.ServeHTTP)
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	s.forwarder.Wait()
	is.Equal(leaving.seen(), "POST /reservations; DELETE /reservations/h1")
	is.True(strings.Contains(stays.seen(), "POST /cut/ source"))
	is.True(strings.Contains(prefill.seen(), "DELETE /"))
}

// Guards against callers that wait for memory until they give up. A request that finds no memory
// for three times its target is refused as not run.
func TestNoMemoryIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	decode := &engine{full: 1000}
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	began := time.Now()
	status, body := s.generation("/cut/")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"noMemory","ran":"no"}`)
	is.True(time.Since(began) < time.Second)
}

// Guards against engine memory that stays reserved for a caller that disconnected between its
// reservation and its generation.
func TestReservationIsReleased(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	decode := &engine{}
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	s.server("a", oriolebend.Prefill, stall)
	status, _, _ := s.send("/cut/", map[string]string{headerPrompt: "100", headerOutput: "50", headerDeadline: "200"})
	is.Equal(status, http.StatusServiceUnavailable) // reading the prompt alone does not count as a run
	s.forwarder.Wait()
	is.Equal(decode.seen(), "POST /reservations; DELETE /reservations/h1")
}

// Guards against a forwarder that goes back to an older routing and keeps it: two control VMs send two
// versions at once, and the older one is stored last.
func TestNewestOfConcurrentRoutingsIsInForce(t *testing.T) {
	is := is.New(t)
	const rounds, routes = 1000, 50
	s := newSite(t, 0)
	routing := s.forwarder.table.Load().Routing
	for range routes {
		route := routing.Routes[0]
		route.Name = fmt.Sprintf("r%d", len(routing.Routes))
		route.PathPrefix = "/" + route.Name + "/"
		routing.Routes = append(routing.Routes, route)
	}
	for round := range uint64(rounds) {
		newest := 2*round + 3
		var group sync.WaitGroup
		for _, version := range []uint64{newest - 1, newest} {
			sent := routing
			sent.Version = version
			sent.Services = []oriolebend.RouteService{{Name: "s"}, {Name: fmt.Sprintf("v%d", version)}}
			group.Go(func() { s.forwarder.SetRouting(sent) })
		}
		group.Wait()
		is.Equal(s.forwarder.Version(), newest)
		budgets := s.forwarder.RetryBudgets() // one for each service that the reducer knows
		is.Equal(budgets[1].Service, fmt.Sprintf("v%d", newest))
	}
}
