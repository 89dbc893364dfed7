package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fleet holds the backend servers and records the requests that they ran.
type fleet struct {
	t       *testing.T
	system  *system
	servers []*server
	crashes *crashes
	// partCrashes records the crashes under a part of prompts.
	partCrashes *crashes
	callers     identities

	mutex  sync.Mutex
	random *rand.Rand
	ran    map[string]int
}

// server is a backend server behind a proxy that injects faults into its connections.
type server struct {
	fleet    *fleet
	name     string
	service  string
	proxy    *proxy
	notices  notices
	sequence atomic.Uint64
	instance atomic.Pointer[string]
	starts   atomic.Int32
	// engine is set for a model engine.
	engine *engine
	// down is set from a crash to the restart.
	down atomic.Bool
}

func startFleet(t *testing.T, s *system, random *rand.Rand) *fleet {
	t.Helper()
	f := &fleet{
		t: t, system: s, random: random, ran: map[string]int{}, crashes: newRequestCrashes(), partCrashes: newPartCrashes(),
	}
	for i := range servers {
		f.start(&server{name: fmt.Sprintf("server-%d", i), service: "s"})
	}
	for i, speed := range engineSpeeds {
		f.start(&server{name: fmt.Sprintf("engine-%d", i), service: generating, engine: &engine{speed: speed, room: engineRoom}})
	}
	return f
}

func (f *fleet) start(v *server) {
	v.fleet = f
	v.restart()
	backend := httptest.NewServer(v)
	f.t.Cleanup(backend.Close)
	v.proxy = startProxy(f.t, backend.Listener.Addr().String())
	f.servers = append(f.servers, v)
	go v.announce(f.t.Context())
}

func (f *fleet) clearFaults() {
	for _, v := range f.servers {
		v.proxy.clearFaults()
	}
}

// restart gives the server a new instance name. It refuses requests that expect the old
// instance.
func (v *server) restart() {
	name := fmt.Sprintf("%s.%d", v.name, v.starts.Add(1))
	v.instance.Store(&name)
	v.notices.end()
}

// ServeHTTP runs a request or simulates a faulty server.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Oriolebend-Request")
	w.Header().Set("Oriolebend-Request", id)
	if expected := r.Header.Get("Oriolebend-Instance"); expected != *v.instance.Load() {
		w.Header().Set("Oriolebend-Instance", *v.instance.Load())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.fleet.callers.note(r)
	if v.engine != nil {
		v.generate(w, r, id)
		return
	}
	if v.notices.apply(w, r, *v.instance.Load()) {
		return
	}
	if c := v.fleet.crashesOf(r); c != nil {
		v.crash(c, id)
		panic(http.ErrAbortHandler)
	}
	v.fleet.mutex.Lock()
	luck := v.fleet.random.IntN(100)
	refuse := luck < 5
	if !refuse {
		v.fleet.ran[id]++
	}
	v.fleet.mutex.Unlock()
	switch {
	case refuse:
		w.Header().Set("Oriolebend-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	case luck < 8:
		panic(http.ErrAbortHandler) // the request ran, and its response is lost
	case luck < 11:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "half an answer")
	case luck < 14:
		time.Sleep(300 * time.Millisecond)
		fallthrough
	default:
		_, _ = io.WriteString(w, "ran "+id+" on "+strings.Split(r.URL.Path, "/")[1])
	}
}

const (
	// announceEvery is the interval at which engines announce themselves. It is long enough for
	// control VMs that have lost everything to serve before they know the engines from
	// announcements.
	announceEvery = 1200 * time.Millisecond
	// announceRetry is the interval of other servers, and the pause after a failed announcement.
	announceRetry = 200 * time.Millisecond
)

func (v *server) announcement(instance string) oriolebend.Backend {
	b := oriolebend.Backend{
		Service: v.service, Address: v.proxy.address(), Sequence: v.sequence.Add(1), SoftwareVersion: softwareOf(instance),
	}
	if v.engine != nil {
		b.Role = oriolebend.Decode
	}
	return b
}

// announce announces the server to the control VMs in turn.
func (v *server) announce(ctx context.Context) {
	controls := append([]string{"127.0.2.9"}, v.fleet.system.controls...)
	for n := 0; ctx.Err() == nil; n++ {
		instance := *v.instance.Load()
		body, err := json.Marshal(v.announcement(instance))
		if err != nil {
			v.fleet.t.Error(err)
			return
		}
		url := fmt.Sprintf("http://%s:%d/v1/backends/%s", controls[n%len(controls)], v.fleet.system.port, instance)
		pause := announceRetry
		calling, cancel := context.WithTimeout(ctx, time.Second)
		request, err := http.NewRequestWithContext(calling, http.MethodPut, url, bytes.NewReader(body))
		if err == nil {
			request.Header.Set("Authorization", "Bearer "+token)
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
				if v.engine != nil && response.StatusCode < http.StatusMultipleChoices {
					pause = announceEvery
				}
			}
		}
		cancel()
		time.Sleep(pause)
	}
}

// proxy forwards connections to a server and injects faults into them.
type proxy struct {
	to string
	at string

	mutex        sync.Mutex
	listener     net.Listener
	connections  map[net.Conn]struct{}
	stalledUntil time.Time
	delayUntil   time.Time
	strays       strayAnswers
}

func startProxy(t *testing.T, to string) *proxy {
	t.Helper()
	// No outgoing connection uses this address, so that none takes the port while the
	// server is down.
	listener, err := net.Listen("tcp", "127.0.2.100:0")
	is.New(t).NoErr(err)
	p := &proxy{listener: listener, at: listener.Addr().String(), to: to, connections: map[net.Conn]struct{}{}}
	t.Cleanup(p.stop)
	go p.accept(listener)
	return p
}

// accept forwards connections until the listener is closed.
func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

func (p *proxy) address() string { return p.at }

func (p *proxy) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	p.keep(near)
	defer p.forget(near)
	go func() {
		p.copy(p.strays.ahead(far, near), near)
		_ = far.Close()
		_ = near.Close()
	}()
	p.copy(near, far)
}

func (p *proxy) copy(to io.Writer, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits until the end of a stall, and adds a short delay while the proxy is slow.
func (p *proxy) hold() {
	p.mutex.Lock()
	stalled, slow := time.Until(p.stalledUntil), time.Now().Before(p.delayUntil)
	p.mutex.Unlock()
	if stalled > 0 {
		time.Sleep(stalled)
	}
	if slow {
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[c] = struct{}{}
}

func (p *proxy) forget(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) stall(length time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stalledUntil = time.Now().Add(length)
}

func (p *proxy) delay(length time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delayUntil = time.Now().Add(length)
}

func (p *proxy) clearFaults() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stalledUntil, p.delayUntil = time.Time{}, time.Time{}
	p.strays.end()
}
