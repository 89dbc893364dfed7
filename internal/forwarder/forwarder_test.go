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

// counts keeps what a forwarder counted.
type counts struct {
	mutex sync.Mutex
	seen  map[string]int
}

func (c *counts) Count(what string, reason oriolebend.Reason, _ string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seen[what+" "+string(reason)]++
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

// newSite declares three routes to the service "s": /safe/ may be repeated,
// /once/ may not, and /stream/ is a resumable stream; "cut" is a stream that may
// not be resumed. kv makes the service one of engines.
func newSite(t *testing.T, kv int, options ...func(*Config)) *site {
	t.Helper()
	is := is.New(t)
	c := &counts{seen: map[string]int{}}
	log := &recorder{}
	logger, err := logging.New(settings.Log{Format: "json"}, log)
	is.NoErr(err)
	config := Config{
		Dialect: Own{}, Dispatch: dispatch.Config{FailureDomain: "a", Seed: 1, RetrySlack: 1000}, Observer: c,
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

// server adds a backend server in the failure domain.
func (s *site) server(domain string, role oriolebend.PoolRole, handler http.HandlerFunc) string {
	s.t.Helper()
	backend := httptest.NewServer(handler)
	s.t.Cleanup(backend.Close)
	s.backends = append(s.backends, backend)
	address := backend.Listener.Addr().String()
	s.servers = append(s.servers, message.BackendServer{
		Instance: fmt.Sprintf("i%d", len(s.servers)), Service: "s", Address: address, FailureDomain: domain,
		Phase: message.PhaseReady, Role: role,
	})
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
	return address
}

// leaves has a server say that it leaves.
func (s *site) leaves(index int) {
	s.servers[index].Phase = message.PhaseDraining
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
}

// ask sends a request and returns the answer's status, header and body; a body
// that is cut ends with "[cut]".
func (s *site) ask(path string, header map[string]string) (int, http.Header, string) {
	s.t.Helper()
	is := is.New(s.t)
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.callers.Address()+path, strings.NewReader("body"))
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set(ownRequest, "r1")
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

// abort ends the connection without an answer, as a server that dies.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// stall says nothing until the connection ends. net/http notices that only once
// the body is read.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func TestAnswerIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %s %s %s|%s", r.Method, r.RequestURI, r.Host, body, r.Header.Get(ownInstance), r.Header.Get(ownHold))
	})
	status, header, body := s.ask("/once/x?y=%20", map[string]string{ownInstance: "forged", ownHold: "forged"})
	is.Equal(status, http.StatusTeapot)
	is.Equal(header.Get("X-Own"), "kept")
	is.Equal(body, "POST /once/x?y=%20 h body i0|")
}

func TestWithoutRouteOrRouting(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	status, _, body := s.ask("/other/", nil)
	is.Equal(status, http.StatusNotFound)
	is.Equal(body, `{"reason":"unknownService","ran":"no"}`)
	status, header, _ := s.ask("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable) // no server yet
	is.Equal(header.Get("Retry-After"), "0.500")
	// A forwarder that knows no routing must not say that there is no route.
	s.forwarder.table.Store(nil)
	status, _, _ = s.ask("/other/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
}

// Symptom: after a power loss of everything callers are refused for good who come in the
// second before forwarders have their routing. Sequence: a caller's first try meets a VM
// without power, its second one a forwarder that has started and waits for control VMs to
// elect a leader; it has no third. Cause: a refusal by a process that is about to be able to
// serve. A request waits for a part of what its caller allows, and no longer.
func TestRequestsWaitForTheFirstRouting(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", answer("fresh"))
	routing := s.forwarder.table.Load().Routing
	s.forwarder.table.Store(nil)
	s.forwarder.routed, s.forwarder.routedOnce = make(chan struct{}), sync.Once{}
	began := time.Now()
	status, _, body := s.ask("/once/", map[string]string{ownDeadline: "100"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"controlAway","ran":"no"}`)
	is.True(time.Since(began) >= 60*time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() { s.forwarder.SetRouting(routing) })
	status, _, body = s.ask("/once/", map[string]string{ownDeadline: "15000"})
	is.Equal(status, http.StatusOK)
	is.Equal(body, "fresh")
}

// Symptom: a call that may run once runs twice, or a caller is told "not run" of
// one that ran. Sequence: the server dies after it has read the request. Cause: a
// call sent again, or a refusal, after its outcome was lost.
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
	status, _, body := s.ask("/once/", nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, `{"reason":"outcomeLost","ran":"unknown"}`)
	is.Equal(ran.Load(), int32(1))
}

// A call that may be repeated goes to another server after a failure, and the
// caller sees only the success.
func TestFailureIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", abort)
	s.server("b", "", answer("good"))
	status, _, body := s.ask("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "good")
	is.Equal(s.counts.seen["retry outcomeLost"], 1)
}

// Symptom: callers time out while one server of several stands still. Sequence:
// the server takes the request and says nothing. Cause: waiting for it until the
// time is over.
func TestSilentServerIsOvertaken(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", stall)
	s.server("b", "", answer("good"))
	began := time.Now()
	status, _, body := s.ask("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "good")
	is.True(time.Since(began) < time.Second)
}

// A server that states that it did not run the request has the caller told so,
// with a time to come back.
func TestNotRunIsToldAsSuch(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(ownRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, body := s.ask("/once/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"reason":"queueFull","ran":"no"}`)
	is.True(header.Get("Retry-After") != "")
}

// Symptom: a caller waits beyond what the operator allows. Sequence: the only
// server says nothing. Cause: a deadline that is the server's alone.
func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", stall)
	began := time.Now()
	status, _, body := s.ask("/once/", map[string]string{ownDeadline: "300"})
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(body, `{"reason":"deadline","ran":"unknown"}`)
	is.True(time.Since(began) < time.Second)
}

// events writes the events from one number to another.
func events(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	w.(http.Flusher).Flush()
}

// Symptom: a stream has a gap or a repeat. Sequence: the server dies in the
// middle of an event, and another one goes on. Cause: half an event that was
// passed on, or events that the caller has already.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\nda")
		w.(http.Flusher).Flush()
		abort(nil, nil)
	})
	s.server("b", "", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(ownAfter), "3")
		events(w, 3, 5)
	})
	status, _, body := s.ask("/stream/", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(strings.ReplaceAll(body, "\n", " "), "id: 1 data: 1  id: 2 data: 2  id: 3 data: 3  id: 4 data: 4  id: 5 data: 5  ")
}

// Symptom: half a plan looks whole. Sequence: the server of a stream that may
// not be resumed dies. Cause: the end of the answer is sent all the same.
func TestCutStreamLooksCut(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 2)
		abort(nil, nil)
	})
	_, _, body := s.ask("/cut/", nil)
	is.True(strings.HasSuffix(body, "[cut]"))
	is.True(strings.Contains(body, "data: 2"))
}

// Symptom: an engine works on for a caller that has left. Sequence: the caller
// closes its connection in the middle of a stream.
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

// engine is a stand-in for a model engine; it notes what it was asked.
type engine struct {
	mutex sync.Mutex
	asked []string
	// full is how many reservations are refused, lapsed how many sendings with
	// a KV cache.
	full, lapsed int
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	what := r.Method + " " + r.URL.Path
	if r.Header.Get(ownPhase) != "" {
		what += " phase=" + r.Header.Get(ownPhase)
	}
	if r.Header.Get(ownSource) != "" {
		what += " source"
	}
	if r.Header.Get(ownHold) != "" {
		what += " reserved=" + r.Header.Get(ownHold)
	}
	e.asked = append(e.asked, what)
	switch {
	case r.URL.Path == "/reservations" && e.full > 0:
		e.full--
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/reservations":
		_, _ = io.WriteString(w, `{"reservation":"h1"}`)
	case r.Header.Get(ownPhase) != "":
		_, _ = io.WriteString(w, `{"result":"k1","tokens":100}`)
	case r.Header.Get(ownSource) != "" && e.lapsed > 0:
		e.lapsed--
		w.Header().Set(ownRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		events(w, 1, 2)
	}
}

func (e *engine) seen() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strings.Join(e.asked, "; ")
}

// generation sends a stream's request with tokens.
func (s *site) generation(path string) (int, string) {
	status, _, body := s.ask(path, map[string]string{ownPrompt: "100", ownOutput: "50"})
	return status, body
}

// The order of a generation: memory is reserved where it will run, then the
// prompt is read, then it runs with both.
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

// Symptom: a stream that may not be repeated fails though nothing of it ran.
// Sequence: the prefill result lapses before its transfer. The same engine
// computes the prompt itself.
func TestLapsedResultIsComputedAnew(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	prefill, decode := &engine{}, &engine{lapsed: 1}
	s.server("a", oriolebend.Prefill, prefill.ServeHTTP)
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	status, _ := s.generation("/cut/")
	is.Equal(status, http.StatusOK)
	is.Equal(decode.seen(), "POST /reservations; POST /cut/ source reserved=h1; POST /cut/")
	is.Equal(s.counts.seen["retry resultExpired"], 1)
}

// Symptom: an engine gets work long after it was told that its leaving is known.
// Sequence: a request has its place there; its prompt waits in the queue of a prefill
// engine for more than a second, while the decode engine leaves. Cause: a place that
// was believed for as long as the prefill took. The request goes to another engine, and
// the place and the prefill's result are given back.
func TestEngineThatLeftDuringThePrefill(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	leaving, stays := &engine{}, &engine{}
	prefill, slow := &engine{}, make(chan struct{}, 1)
	slow <- struct{}{}
	s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(ownPhase) != "" && len(slow) > 0 {
			<-slow
			s.leaves(1)
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

// Symptom: callers wait for memory until they give up. A request that finds none
// for three times its target is refused, as not run.
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

// Symptom: engine memory stays held by a caller that left between its
// reservation and its run. It is given back.
func TestReservationIsGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10000)
	decode := &engine{}
	s.server("a", oriolebend.Decode, decode.ServeHTTP)
	s.server("a", oriolebend.Prefill, stall)
	status, _, _ := s.ask("/cut/", map[string]string{ownPrompt: "100", ownOutput: "50", ownDeadline: "200"})
	is.Equal(status, http.StatusServiceUnavailable) // the prompt alone is no run
	s.forwarder.Wait()
	is.Equal(decode.seen(), "POST /reservations; DELETE /reservations/h1")
}
