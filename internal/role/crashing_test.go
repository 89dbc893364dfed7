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
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

const (
	// crashLimit is the number of server crashes after which a request is known to crash
	// servers, and the number of times it may be sent later than crashSettle after the
	// last of these crashes.
	crashLimit  = 3
	crashSettle = 3 * time.Second
	// crashKnownAfter is how long after the third crash every forwarder may take to know
	// it. It is a third of crashSettle, so that the bound also holds if one report is lost.
	crashKnownAfter = crashSettle / 3
	// crashingBody is the body of the request that crashes servers.
	crashingBody = "crashing"
	// crashingPart is the part of prompts that crashes servers, sharedPart a part that is in the
	// same prompts and in those of other callers.
	crashingPart = "crashing-part"
	sharedPart   = "shared-part"
	// partCrashLimit is the number of server crashes after which a part is known to crash
	// servers.
	partCrashLimit = 5
	// restartDelay is how long a crashed server takes to start again.
	restartDelay = 300 * time.Millisecond
)

// partsHeader lists the parts of a request's prompt that other requests may share.
const partsHeader = "Oriolebend-Prompt-Parts"

// crashingFleet is a set of backend servers whose processes exit as soon as they begin to
// run one particular request, and are started again a moment later.
type crashingFleet struct {
	t       *testing.T
	site    *routeSite
	servers []*crashingServer
	group   sync.WaitGroup

	mutex sync.Mutex
	// crashes holds the times at which servers crashed.
	crashes []time.Time
}

// crashingServer is one server of a crashingFleet.
type crashingServer struct {
	fleet       *crashingFleet
	name        string
	address     string
	incarnation atomic.Uint64
	sequence    atomic.Uint64
}

func newCrashingFleet(t *testing.T, s *routeSite, count int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{t: t, site: s}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		f.group.Wait()
	})
	for i := range count {
		v := &crashingServer{fleet: f, name: fmt.Sprintf("i-%d", i)}
		// No connection is opened from this address, so that none uses the port while the
		// server is down.
		listener, err := net.Listen("tcp", "127.0.1.100:0")
		is.New(t).NoErr(err)
		v.address = listener.Addr().String()
		f.servers = append(f.servers, v)
		f.group.Go(func() { v.run(ctx, listener) })
		f.group.Go(func() { v.announce(ctx) })
	}
	return f
}

// run runs one incarnation after the other until ctx ends.
func (v *crashingServer) run(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		v.incarnation.Add(1)
		v.sequence.Store(0)
		life, end := context.WithCancel(ctx)
		server := &http.Server{Handler: v.handler(end), ReadHeaderTimeout: time.Second}
		stop := context.AfterFunc(life, func() { _ = server.Close() })
		_ = server.Serve(listener)
		stop()
		end()
		wait(ctx, restartDelay)
		var err error
		if listener, err = net.Listen("tcp", v.address); err != nil && ctx.Err() == nil {
			v.fleet.t.Errorf("restart %s: %v", v.name, err)
			return
		}
	}
	_ = listener.Close()
}

// handler answers requests, and ends the process at the request that crashes servers. A
// usual request takes long enough to be in progress when that happens.
func (v *crashingServer) handler(end func()) http.HandlerFunc {
	const usual = 30 * time.Millisecond
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) != crashingBody && !strings.Contains(r.Header.Get(partsHeader), crashingPart) {
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

// announce announces the server to a control VM repeatedly until ctx ends.
func (v *crashingServer) announce(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		announcement := message.BackendServer{
			Instance: v.name, Service: "s", Address: v.address, Phase: message.PhaseReady, Slots: 8,
			Sequence: v.sequence.Add(1), Incarnation: v.incarnation.Load(),
		}
		for _, c := range v.fleet.site.controls() {
			if c.Announce(ctx, announcement) == nil {
				break
			}
		}
		wait(ctx, 100*time.Millisecond)
	}
}

// countCrashes counts the crashes of servers, and those later than a time after the crash
// with the number limit.
func (f *crashingFleet) countCrashes(limit int, than time.Duration) (all, later int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, at := range f.crashes {
		if i >= limit && at.Sub(f.crashes[limit-1]) > than {
			later++
		}
	}
	return len(f.crashes), later
}

// sendBody sends a request with a body to a forwarder. It returns the status, 0 without a
// complete answer, and the Retry-After in seconds, 0 without one.
func sendBody(ctx context.Context, f *ForwarderProcess, id, body string, parts ...string) (int, float64) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address()+"/x", strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	request.Host = "h"
	request.Header.Set("Oriolebend-Request", id)
	request.Header.Set(partsHeader, strings.Join(parts, ","))
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
		after = 0 // no Retry-After header
	}
	return response.StatusCode, after
}

// crashingLoad sends requests that crash servers to one forwarder after the other, together with
// different requests of other callers.
type crashingLoad struct {
	// limit is the number of crashes after which the cause is known.
	limit int
	// crash sends the request number n that crashes servers.
	crash func(ctx context.Context, f *ForwarderProcess, n int)
	// parts are the parts of the prompts of other callers.
	parts []string
	// answered, lost and refusedLong count the requests of other callers. refusedLong
	// counts refusals with a Retry-After of more than a second: a server restarts sooner.
	answered, lost, refusedLong atomic.Int32
	// settled and settledAnswered count those that were sent in the last two seconds.
	settled, settledAnswered atomic.Int32
}

// newRequestLoad returns the load of one request that crashes servers.
func newRequestLoad() *crashingLoad {
	return &crashingLoad{limit: crashLimit, crash: func(ctx context.Context, f *ForwarderProcess, n int) {
		_, _ = sendBody(ctx, f, fmt.Sprintf("again-%d", n), crashingBody)
	}}
}

// newPartLoad returns the load of different requests that share the part that crashes servers.
// Other callers' prompts share their first part with them.
func newPartLoad() *crashingLoad {
	return &crashingLoad{limit: partCrashLimit, parts: []string{sharedPart}, crash: func(ctx context.Context, f *ForwarderProcess, n int) {
		id := fmt.Sprintf("part-%d", n)
		_, _ = sendBody(ctx, f, id, "body of "+id, sharedPart, crashingPart)
	}}
}

// run sends requests for a time; the request that crashes servers is sent four times a
// second.
func (l *crashingLoad) run(ctx context.Context, forwarders []*ForwarderProcess, length time.Duration) {
	settled := time.Now().Add(length - 2*time.Second)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		f := forwarders[n%len(forwarders)]
		group.Go(func() { l.crash(ctx, f, n) })
		for i := range 5 {
			group.Go(func() { l.other(ctx, f, fmt.Sprintf("other-%d-%d", n, i), settled) })
			wait(ctx, 50*time.Millisecond)
		}
	}
	group.Wait()
}

func (l *crashingLoad) other(ctx context.Context, f *ForwarderProcess, id string, settled time.Time) {
	late := time.Now().After(settled)
	status, after := sendBody(ctx, f, id, "body of "+id, l.parts...)
	if ctx.Err() != nil {
		return // the end of the load
	}
	if late {
		l.settled.Add(1)
	}
	switch {
	case status == http.StatusOK:
		l.answered.Add(1)
		if late {
			l.settledAnswered.Add(1)
		}
	case after > 1:
		l.refusedLong.Add(1)
	default:
		l.lost.Add(1)
	}
}

// startCrashSite starts control VMs, forwarders and a crashingFleet.
func startCrashSite(t *testing.T, servers int) (*routeSite, *crashingFleet, []*ForwarderProcess) {
	t.Helper()
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(1, "s")
	var forwarders []*ForwarderProcess
	for _, ip := range []string{"127.0.1.6", "127.0.1.7", "127.0.1.8"} {
		f, err := StartForwarder(s.forwarderProcess(ip), forwarder.NativeDialect{})
		is.NoErr(err)
		t.Cleanup(func() { _ = f.Kill() })
		forwarders = append(forwarders, f)
	}
	fleet := newCrashingFleet(t, s, servers)
	for i, f := range forwarders {
		s.waitFor("the forwarder is ready", f.Ready)
		s.waitFor("requests are served", func() bool {
			status, _ := sendBody(t.Context(), f, "first", fmt.Sprintf("first of %d", i))
			return status == http.StatusOK
		})
	}
	return s, fleet, forwarders
}

// killControls kills all control VMs once the forwarders know each other. A control VM names a new
// forwarder to the others with its next update, up to a second later. Without control VMs nobody
// sends crash reports to a forwarder that is not known yet.
func killControls(s *routeSite, forwarders []*ForwarderProcess) {
	s.t.Helper()
	for _, f := range forwarders {
		s.waitFor("the forwarder knows the others", func() bool { return len(f.follower.Peers()) == len(forwarders)-1 })
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
}

// Guards against one request that crashes ten model servers within ten seconds, each with
// all its work, on an otherwise healthy site. The request crashes each server
// that begins to run it, and its forwarder only sees a lost server. The caller sends the
// request again with another id to another forwarder. If each forwarder remembered crashes
// only for one attempt, none would identify the request. The request can be identified: at
// each crash its method, path and body were the only work that the server had not begun to
// answer, and no server without it crashed.
func TestRequestThatCrashesServers(t *testing.T) {
	_, fleet, forwarders := startCrashSite(t, 4)
	checkCrashes(t, fleet, forwarders, newRequestLoad())
}

// Guards against the same failure while no control VM runs: the crash reports of one
// forwarder must reach the others directly.
func TestRequestThatCrashesServersWithoutControl(t *testing.T) {
	s, fleet, forwarders := startCrashSite(t, 4)
	killControls(s, forwarders)
	checkCrashes(t, fleet, forwarders, newRequestLoad())
}

// Guards against a request that crashes two servers in turn for as long as it is sent. No
// control VM runs, so the forwarders receive no new incarnation of the servers. If a restarted
// server counted as its previous incarnation, its further crashes would not be counted.
func TestRequestThatCrashesTwoServersWithoutControl(t *testing.T) {
	s, fleet, forwarders := startCrashSite(t, 2)
	killControls(s, forwarders)
	checkCrashes(t, fleet, forwarders, newRequestLoad())
}

// Guards against a quarantined request that crashes servers again after a power loss of the
// whole site. All control VMs and forwarders end at the same time and start again from their
// disks, while callers still send the request. Crash reports that are kept only in memory
// would be lost.
func TestQuarantineSurvivesARestartOfEverything(t *testing.T) {
	t.Run("request", func(t *testing.T) { checkRestart(t, newRequestLoad) })
	t.Run("part", func(t *testing.T) { checkRestart(t, newPartLoad) })
}

func checkRestart(t *testing.T, newLoad func() *crashingLoad) {
	t.Helper()
	is := is.New(t)
	s, fleet, forwarders := startCrashSite(t, 4)
	newLoad().run(t.Context(), forwarders, 2*time.Second)
	before, _ := fleet.countCrashes(crashLimit, 0)
	is.True(before >= crashLimit)
	for _, f := range forwarders {
		is.NoErr(f.Kill())
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	f, err := StartForwarder(s.forwarderProcess("127.0.1.9"), forwarder.NativeDialect{})
	is.NoErr(err)
	t.Cleanup(func() { _ = f.Kill() })
	s.waitFor("the forwarder is ready", f.Ready)
	s.waitFor("requests are served", func() bool {
		status, _ := sendBody(t.Context(), f, "first", "first after the restart")
		return status == http.StatusOK
	})
	newLoad().run(t.Context(), []*ForwarderProcess{f}, 2*time.Second)
	after, _ := fleet.countCrashes(crashLimit, 0)
	is.Equal(after, before)
}

// Guards against a part of prompts that crashes one server after the other: no two requests with it
// are alike, so that a fingerprint of the whole request never comes twice.
func TestPartThatCrashesServers(t *testing.T) {
	_, fleet, forwarders := startCrashSite(t, 4)
	checkCrashes(t, fleet, forwarders, newPartLoad())
}

// Guards against the same failure while no control VM runs.
func TestPartThatCrashesServersWithoutControl(t *testing.T) {
	s, fleet, forwarders := startCrashSite(t, 4)
	killControls(s, forwarders)
	checkCrashes(t, fleet, forwarders, newPartLoad())
}

// Guards against a part that operators can't let go once its servers are repaired.
func TestOperatorReleasesAPart(t *testing.T) {
	is := is.New(t)
	s, fleet, forwarders := startCrashSite(t, 4)
	load := newPartLoad()
	load.run(t.Context(), forwarders, 3*time.Second)
	before, _ := fleet.countCrashes(partCrashLimit, 0)
	is.True(before >= crashLimit)
	api := client.New(client.Config{
		Addresses: []string{fmt.Sprintf("http://%s:%d", seededControls[0], s.port)}, Token: operatorToken,
	})
	list, err := api.Quarantines(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Kind, "part")
	is.True(len(list[0].Servers) >= crashLimit)
	is.True(api.ReleaseQuarantine(t.Context(), "no fingerprint") != nil)
	is.True(api.ReleaseQuarantine(t.Context(), "0000000000000001") != nil)
	is.NoErr(api.ReleaseQuarantine(t.Context(), list[0].Fingerprint))
	for i, f := range forwarders {
		s.waitFor("the forwarder sends requests with the part", func() bool {
			id := fmt.Sprintf("released-%d-%d", i, time.Now().UnixNano())
			status, _ := sendBody(t.Context(), f, id, "body of "+id, sharedPart, crashingPart)
			return status != http.StatusServiceUnavailable
		})
	}
	after, _ := fleet.countCrashes(partCrashLimit, 0)
	is.True(after > before)
}

func checkCrashes(t *testing.T, fleet *crashingFleet, forwarders []*ForwarderProcess, load *crashingLoad) {
	t.Helper()
	is := is.New(t)
	load.run(t.Context(), forwarders, crashSettle+4*time.Second)
	all, later := fleet.countCrashes(load.limit, crashSettle)
	_, unknown := fleet.countCrashes(load.limit, crashKnownAfter)
	t.Logf("%d servers crashed, %d of them late; of other requests %d were answered, %d lost, %d refused for long; %d of the last %d answered",
		all, later, load.answered.Load(), load.lost.Load(), load.refusedLong.Load(), load.settledAnswered.Load(), load.settled.Load())
	is.True(all >= crashLimit)                                    // the request did crash servers
	is.True(later <= crashLimit)                                  // and was soon no longer sent
	is.Equal(unknown, 0)                                          // all forwarders know it well before that time
	is.Equal(load.refusedLong.Load(), int32(0))                   // other requests are not refused with it
	is.True(2*load.settledAnswered.Load() >= load.settled.Load()) // but served again
}
