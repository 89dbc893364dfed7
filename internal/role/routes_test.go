package role

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// routeSite is a set of control VMs, a relay and a forwarder that find each other
// through seeds, each on a loopback address of its own.
type routeSite struct {
	t      *testing.T
	folder string
	port   int
	seeds  []string

	mutex   sync.Mutex
	control map[string]*ControlProcess
}

const operatorToken = "operator-token-of-tests"

// seededControls are the control VMs that every process is told of.
var seededControls = []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}

func newRouteSite(t *testing.T) *routeSite {
	t.Helper()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	socket, err := net.ListenPacket("udp", seededControls[0]+":0")
	is.New(t).NoErr(err)
	defer socket.Close()
	return &routeSite{
		t: t, folder: t.TempDir(), port: socket.LocalAddr().(*net.UDPAddr).Port,
		seeds: seededControls, control: map[string]*ControlProcess{},
	}
}

func (s *routeSite) process(role, ip string, found bool) Process {
	s.t.Helper()
	var p Process
	p.Settings.Node = settings.Node{Name: role + "-" + ip, Region: "r", FailureDomain: "fd-" + ip}
	p.Settings.Peer = settings.Peer{Listen: fmt.Sprintf("%s:%d", ip, s.port), Trust: settings.TrustNetwork}
	p.Settings.Control.Found = found
	p.Settings.Control.MinFreeBytes = 1
	for _, seed := range s.seeds {
		p.Settings.Control.Seeds = append(p.Settings.Control.Seeds, fmt.Sprintf("%s:%d", seed, s.port))
	}
	name := p.Settings.Node.Name
	if role == peer.RoleControl {
		name = ip
		p.Settings.Operator = settings.Operator{Listen: fmt.Sprintf("%s:%d", ip, s.port), Tokens: []string{"test=" + operatorToken}}
	}
	credentials, err := peer.NetworkCredentials(peer.Identity{Role: role, Name: name})
	is.New(s.t).NoErr(err)
	p.Credentials = credentials
	p.Logger = slog.New(slog.NewTextHandler(testLog{s.t}, nil))
	return p
}

func (s *routeSite) startControl(ip string, found bool) *ControlProcess {
	s.t.Helper()
	p := s.process(peer.RoleControl, ip, found)
	p.Settings.Control.DataFolder = filepath.Join(s.folder, ip)
	c, err := StartControl(p)
	is.New(s.t).NoErr(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.control[ip] = c
	s.t.Cleanup(func() { _ = c.Kill() })
	return c
}

// controls lists the control VMs that run.
func (s *routeSite) controls() []*ControlProcess {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.control))
}

func (s *routeSite) kill(ip string) {
	s.t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.control[ip].Kill() // what a process that dies leaves behind is no matter here
	delete(s.control, ip)
}

// declare has a routing of one service accepted by whoever leads.
func (s *routeSite) declare(version uint64, service string) {
	s.t.Helper()
	s.declareRouting(routingTo(version, service), fmt.Appendf(nil, `{"version":%d,"service":%q}`, version, service))
}

// routingTo sends all requests of the host "h" to one service.
func routingTo(version uint64, service string) oriolebend.Routing {
	return oriolebend.Routing{
		Version: version, Services: []oriolebend.RouteService{{Name: service}},
		Routes: []oriolebend.Route{{
			Name: "all", Host: "h", PathPrefix: "/", Repeat: oriolebend.RepeatNever, Attempts: 1,
			Timeout: oriolebend.Duration(time.Second), Targets: []oriolebend.RouteTarget{{Service: service, Weight: 1}},
		}},
	}
}

// declareRouting has a routing accepted by whoever leads.
func (s *routeSite) declareRouting(r oriolebend.Routing, document []byte) {
	s.t.Helper()
	s.eventually("routing accepted", func() bool {
		for _, c := range s.controls() {
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			_, err := c.Declare(ctx, r, document)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

func (s *routeSite) eventually(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(eventually); time.Now().Before(deadline); time.Sleep(lookEvery) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("never: %s", what)
}

// leader is the IP of the control VM that leads, or of any if none does.
func (s *routeSite) leader() string {
	last := ""
	for ip, c := range s.control {
		if c.Leads() {
			return ip
		}
		last = ip
	}
	return last
}

// voters counts the members that vote as the leader sees them.
func (s *routeSite) voters() int {
	for _, c := range s.control {
		if !c.Leads() {
			continue
		}
		count := 0
		for _, m := range c.replica.Status().Members {
			if m.Voter {
				count++
			}
		}
		return count
	}
	return 0
}

// answerOf asks the forwarder and returns status and body.
func answerOf(t *testing.T, f *ForwarderProcess) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.Address()+"/x", nil)
	is.NoErr(err)
	request.Host = "h"
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(body)
}

// The whole path: control VMs found each other through seeds, one joined later,
// a backend server announced itself to a relay, and a request reaches it. A
// forwarder that knows no routing is not ready.
func TestRoutesWholePath(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer f.Kill()
	is.True(!f.Ready())
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	s.startControl("127.0.1.4", true) // no seed: it joins
	relay, err := StartRelay(s.process(peer.RoleControl, "127.0.1.5", true))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	is.True(!f.Ready())
	s.declare(3, "s")
	s.eventually("the forwarder is ready", f.Ready)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "served as "+r.Header.Get("Oriolebend-Instance"))
	}))
	defer backend.Close()
	server := message.BackendServer{
		Instance: "i-1", Service: "s", Address: backend.Listener.Addr().String(), Phase: message.PhaseReady, Sequence: 1,
	}
	s.eventually("the relay takes announcements", func() bool { return relay.Announce(t.Context(), server) == nil })
	s.eventually("the request is served", func() bool {
		status, body := answerOf(t, f)
		return status == http.StatusOK && body == "served as i-1"
	})
	s.eventually("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
	s.eventually("four vote", func() bool { return s.voters() == 4 })
	server.Phase, server.Sequence = message.PhaseDraining, 2
	is.NoErr(relay.Announce(t.Context(), server)) // acknowledged once the forwarder knows
	status, _ := answerOf(t, f)
	is.Equal(status, http.StatusServiceUnavailable)
	is.NoErr(f.Stop(t.Context()))
}

func (s *routeSite) forwarderProcess(ip string) Process {
	p := s.process(peer.RoleForwarder, ip, true)
	p.Settings.Forward = settings.Forward{
		Listen: ip + ":0", StopDelay: oriolebend.Duration(time.Millisecond), StopWithin: oriolebend.Duration(3 * time.Second),
	}
	return p
}

// Symptom: after a restart no forwarder finds a control VM with a log any more.
// Sequence: the settings are changed to name relays as seeds; everything restarts.
// Cause: relays and forwarders that know each other only, while the members, which
// know themselves from their log, tell nobody.
func TestSeedsThatAreRelays(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	s.declare(3, "s")
	for _, ip := range seededControls {
		s.kill(ip)
	}
	s.seeds = []string{"127.0.1.5"}
	relay, err := StartRelay(s.process(peer.RoleControl, "127.0.1.5", false))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer f.Kill()
	for _, ip := range seededControls {
		s.startControl(ip, false)
	}
	s.eventually("the forwarder is ready", f.Ready)
	s.eventually("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
}

// Symptom: the group has no quorum after a second loss, right after a replacement
// has caught up. Sequence: a control VM is gone for good, another one joins at a new
// address and votes; the one that is gone still counts. Cause: a member that is
// removed only after the time that a partition may last.
func TestReplacedMemberIsRemovedSoon(t *testing.T) {
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	s.declare(1, "s")
	lost := seededControls[0]
	if s.leader() == lost {
		lost = seededControls[1]
	}
	s.kill(lost)
	s.startControl("127.0.1.4", false)
	s.eventually("four vote", func() bool { return s.voters() == 4 })
	voted := time.Now()
	s.eventually("three vote", func() bool { return s.voters() == 3 })
	is.New(t).True(time.Since(voted) < removeAfter/2)
}

// Symptom: an accepted routing is gone. Sequence: the control VM that acknowledged
// it loses its disk at once, and comes back empty; then another one is lost.
// Cause: an empty member that votes before it holds what it had accepted.
func TestRoutingSurvivesALostDisk(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	for round := range uint64(3) {
		s.declare(round+1, "s")
		lost := s.leader()
		s.kill(lost)
		is.NoErr(os.RemoveAll(filepath.Join(s.folder, lost)))
		s.startControl(lost, false)
		s.eventually("the newest routing is read", func() bool {
			for _, c := range s.control {
				current, err := c.Routing(t.Context())
				if err == nil {
					return current.Version == round+1
				}
			}
			return false
		})
		s.eventually("the empty one has caught up", func() bool {
			current, _ := s.control[lost].routing.Current()
			return current.Version == round+1 && !s.control[lost].replica.Status().Recovering
		})
	}
}

// Operators see and change the same through the product's own interface.
func TestOperatorRouting(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer f.Kill()
	call := func(method, path, body string) (int, string) {
		request, err := http.NewRequestWithContext(t.Context(), method, fmt.Sprintf("http://%s:%d%s", s.leader(), s.port, path), strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err.Error()
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(text)
	}
	declared, err := os.ReadFile("../../examples/routing.json")
	is.NoErr(err)
	s.eventually("the routing is accepted", func() bool {
		status, _ := call(http.MethodPut, "/v1/routing", string(declared))
		return status == http.StatusOK
	})
	status, text := call(http.MethodGet, "/v1/routing", "")
	is.Equal(status, http.StatusOK)
	var want, got oriolebend.Routing
	is.NoErr(json.Unmarshal(declared, &want))
	is.NoErr(json.Unmarshal([]byte(text), &got))
	is.Equal(got, want)
	declared, err = os.ReadFile("../../examples/organisations.json")
	is.NoErr(err)
	status, _ = call(http.MethodPut, "/v1/routing", string(declared))
	is.Equal(status, http.StatusOK)
	want, got = oriolebend.Routing{}, oriolebend.Routing{}
	status, text = call(http.MethodGet, "/v1/routing", "")
	is.Equal(status, http.StatusOK)
	is.NoErr(json.Unmarshal(declared, &want))
	is.NoErr(json.Unmarshal([]byte(text), &got))
	is.Equal(got, want)
	is.True(!strings.Contains(text, "replace-by-a-long-random-key")) // keys are shown as digests
	status, text = call(http.MethodPut, "/v1/routing", `{"version": 9, "colour": "red"}`)
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(text, "colour"))
	status, _ = call(http.MethodPut, "/v1/routing", `{"version": 9, "routes": [{"name": "r"}]}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	s.eventually("the server is announced", func() bool {
		status, _ := call(http.MethodPut, "/v1/backends/i-1", `{"service": "planner", "address": "127.0.0.1:1", "role": "decode", "sequence": 1}`)
		return status == http.StatusOK
	})
	status, text = call(http.MethodGet, "/v1/backends", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, `"instance":"i-1"`))
	status, _ = call(http.MethodDelete, "/v1/backends/i-1", "")
	is.Equal(status, http.StatusOK)
	status, _ = call(http.MethodPut, "/v1/backends/i-2", `{"service": "planner", "address": "127.0.0.1:1", "phase": "tired"}`)
	is.Equal(status, http.StatusUnprocessableEntity)
}
