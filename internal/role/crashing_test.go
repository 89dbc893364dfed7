package role

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// crashLimit is under how many ends of servers a request is known to crash them, and
	// how often it may be sent later than crashSettle after the last of these.
	crashLimit  = 3
	crashSettle = 3 * time.Second
	// crashKnown is how long after the third end every forwarder may take to know it: a
	// third of crashSettle, so that the bound also holds where one telling is lost.
	crashKnown = crashSettle / 3
	// crashing is the body of the request that crashes servers.
	crashing = "crashing"
	// backAfter is how long a server is away that has crashed.
	backAfter = 300 * time.Millisecond
)

// fragileFleet is a set of backend servers whose processes end as soon as they begin to
// run one request, and are started again a moment later.
type fragileFleet struct {
	t       *testing.T
	site    *routeSite
	servers []*fragileServer
	group   sync.WaitGroup

	mutex sync.Mutex
	// crashes is when servers ended.
	crashes []time.Time
}

// fragileServer is one server of a fragileFleet.
type fragileServer struct {
	fleet       *fragileFleet
	name        string
	address     string
	incarnation atomic.Uint64
	sequence    atomic.Uint64
}

func newFragileFleet(t *testing.T, s *routeSite, count int) *fragileFleet {
	t.Helper()
	f := &fragileFleet{t: t, site: s}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		f.group.Wait()
	})
	for i := range count {
		v := &fragileServer{fleet: f, name: fmt.Sprintf("i-%d", i)}
		// No connection goes out from this address, so that none takes the port while
		// the server is away.
		listener, err := net.Listen("tcp", "127.0.1.100:0")
		is.New(t).NoErr(err)
		v.address = listener.Addr().String()
		f.servers = append(f.servers, v)
		f.group.Go(func() { v.live(ctx, listener) })
		f.group.Go(func() { v.announce(ctx) })
	}
	return f
}

// live runs one process after the other until ctx ends.
func (v *fragileServer) live(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		v.incarnation.Add(1)
		v.sequence.Store(0)
		life, end := context.WithCancel(ctx)
		server := &http.Server{Handler: v.handler(end), ReadHeaderTimeout: time.Second}
		stop := context.AfterFunc(life, func() { _ = server.Close() })
		_ = server.Serve(listener)
		stop()
		end()
		wait(ctx, backAfter)
		var err error
		if listener, err = net.Listen("tcp", v.address); err != nil && ctx.Err() == nil {
			v.fleet.t.Errorf("%s can't start again: %v", v.name, err)
			return
		}
	}
	_ = listener.Close()
}

// handler answers, or ends the process under the one request. A usual request takes long
// enough to be there when that happens.
func (v *fragileServer) handler(end func()) http.HandlerFunc {
	const usual = 30 * time.Millisecond
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) != crashing {
			time.Sleep(usual)
			_, _ = io.WriteString(w, "answered")
			return
		}
		v.fleet.mutex.Lock()
		v.fleet.crashes = append(v.fleet.crashes, time.Now())
		v.fleet.mutex.Unlock()
		end()
		panic(http.ErrAbortHandler)
	}
}

// announce tells control VMs of the server, as long as there are any.
func (v *fragileServer) announce(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		told := message.BackendServer{
			Instance: v.name, Service: "s", Address: v.address, Phase: message.PhaseReady, Slots: 8,
			Sequence: v.sequence.Add(1), Incarnation: v.incarnation.Load(),
		}
		for _, c := range v.fleet.site.controls() {
			if c.Announce(ctx, told) == nil {
				break
			}
		}
		wait(ctx, 100*time.Millisecond)
	}
}

// later counts the ends of servers, and those later than a time after the third.
func (f *fragileFleet) later(than time.Duration) (all, later int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, at := range f.crashes {
		if i >= crashLimit && at.Sub(f.crashes[crashLimit-1]) > than {
			later++
		}
	}
	return len(f.crashes), later
}

// askBody sends a request with a body to a forwarder and returns the status, 0 without a
// whole answer, and after how many seconds the caller may come back.
func askBody(ctx context.Context, f *ForwarderProcess, id, body string) (int, float64) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address()+"/x", strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	request.Host = "h"
	request.Header.Set("Oriolebend-Request", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		after = 0 // there is none
	}
	return response.StatusCode, after
}

// crashingLoad sends the request that crashes servers to one forwarder after the other,
// beside callers whose requests are all different.
type crashingLoad struct {
	// answered and lost count the others' requests; shutOut those that were told to stay
	// away for longer than a server takes to start again.
	answered, lost, shutOut atomic.Int32
}

// run sends for a while; a try of the request comes four times a second.
func (l *crashingLoad) run(ctx context.Context, forwarders []*ForwarderProcess, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		f := forwarders[n%len(forwarders)]
		group.Go(func() { _, _ = askBody(ctx, f, fmt.Sprintf("again-%d", n), crashing) })
		for i := range 5 {
			group.Go(func() { l.other(ctx, f, fmt.Sprintf("other-%d-%d", n, i)) })
			wait(ctx, 50*time.Millisecond)
		}
	}
	group.Wait()
}

func (l *crashingLoad) other(ctx context.Context, f *ForwarderProcess, id string) {
	status, after := askBody(ctx, f, id, "body of "+id)
	switch {
	case status == http.StatusOK:
		l.answered.Add(1)
	case after > 1:
		l.shutOut.Add(1)
	default:
		l.lost.Add(1)
	}
}

// startCrashSite starts control VMs, forwarders and servers that crash.
func startCrashSite(t *testing.T, servers int) (*routeSite, *fragileFleet, []*ForwarderProcess) {
	t.Helper()
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	s.declare(1, "s")
	var forwarders []*ForwarderProcess
	for _, ip := range []string{"127.0.1.6", "127.0.1.7", "127.0.1.8"} {
		f, err := StartForwarder(s.forwarderProcess(ip), forwarder.NativeDialect{})
		is.NoErr(err)
		t.Cleanup(func() { _ = f.Kill() })
		forwarders = append(forwarders, f)
	}
	fleet := newFragileFleet(t, s, servers)
	for i, f := range forwarders {
		s.eventually("the forwarder is ready", f.Ready)
		s.eventually("requests are served", func() bool {
			status, _ := askBody(t.Context(), f, "first", fmt.Sprintf("first of %d", i))
			return status == http.StatusOK
		})
	}
	return s, fleet, forwarders
}

// Symptom: ten model servers end within ten seconds, each with all that it was working
// on, and nothing else is wrong with the site. Sequence: a request ends each server that
// begins to run it. It is lost with the server, as far as its forwarder can tell; its
// caller sends it again, with another id and to another forwarder, which knows nothing of
// the first. Cause: what a request did to servers is remembered for one try, by one
// forwarder. Proof: at each end the same method, path and body was the only work that
// the server had not begun to answer, and no server without it ended.
func TestRequestThatCrashesServers(t *testing.T) {
	_, fleet, forwarders := startCrashSite(t, 4)
	checkCrashes(t, fleet, forwarders)
}

// The same while no control VM runs: what one forwarder learns reaches the others all
// the same.
func TestRequestThatCrashesServersWithoutControl(t *testing.T) {
	s, fleet, forwarders := startCrashSite(t, 4)
	for _, ip := range seededControls {
		s.kill(ip)
	}
	checkCrashes(t, fleet, forwarders)
}

// Symptom: a request ends two servers by turns for as long as it comes. Sequence: no control VM
// runs, and nobody tells of the new starts of the two. Cause: a server that starts again counts
// as the start before, so that its further ends add nothing.
func TestRequestThatCrashesTwoServersWithoutControl(t *testing.T) {
	s, fleet, forwarders := startCrashSite(t, 2)
	for _, ip := range seededControls {
		s.kill(ip)
	}
	checkCrashes(t, fleet, forwarders)
}

// Symptom: after a power loss of everything a request that was held ends servers again.
// Sequence: all control VMs and forwarders end at one moment, and start again with what is
// on disk; the request goes on coming. Cause: what is known of it is in memory alone.
func TestHeldRequestStaysHeldAfterARestartOfEverything(t *testing.T) {
	is := is.New(t)
	s, fleet, forwarders := startCrashSite(t, 4)
	var load crashingLoad
	load.run(t.Context(), forwarders, 2*time.Second)
	before, _ := fleet.later(0)
	is.True(before >= crashLimit)
	for _, f := range forwarders {
		is.NoErr(f.Kill())
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
	for _, ip := range seededControls {
		s.startControl(ip, false)
	}
	f, err := StartForwarder(s.forwarderProcess("127.0.1.9"), forwarder.NativeDialect{})
	is.NoErr(err)
	t.Cleanup(func() { _ = f.Kill() })
	s.eventually("the forwarder is ready", f.Ready)
	s.eventually("requests are served", func() bool {
		status, _ := askBody(t.Context(), f, "first", "first after the restart")
		return status == http.StatusOK
	})
	load.run(t.Context(), []*ForwarderProcess{f}, 2*time.Second)
	after, _ := fleet.later(0)
	is.Equal(after, before)
}

func checkCrashes(t *testing.T, fleet *fragileFleet, forwarders []*ForwarderProcess) {
	t.Helper()
	is := is.New(t)
	var load crashingLoad
	load.run(t.Context(), forwarders, crashSettle+4*time.Second)
	all, later := fleet.later(crashSettle)
	_, unknown := fleet.later(crashKnown)
	t.Logf("%d servers ended, %d of them late; of others' requests %d were answered, %d lost, %d shut out",
		all, later, load.answered.Load(), load.lost.Load(), load.shutOut.Load())
	is.True(all >= crashLimit)              // the request did end servers
	is.True(later <= crashLimit)            // and was sent no more soon
	is.Equal(unknown, 0)                    // all forwarders know it well before that
	is.Equal(load.shutOut.Load(), int32(0)) // others are not shut out with it
}
