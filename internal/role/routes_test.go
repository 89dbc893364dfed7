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

// routeSite is a site of control VMs, relays and forwarders that find each other through
// seeds, each on a loopback address of its own.
type routeSite struct {
	t      *testing.T
	folder string
	port   int
	seeds  []string
	// disable lists the features that control VMs do not use.
	disable []settings.Feature
	// restarted is set once the whole system has started for the first time.
	restarted bool

	mutex   sync.Mutex
	running map[string]*ControlProcess
}

const operatorToken = "operator-token-of-tests"

// seededControls are the control VMs that every process has as seeds.
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
		seeds: seededControls, running: map[string]*ControlProcess{},
	}
}

func (s *routeSite) process(role, ip string) Process {
	s.t.Helper()
	var p Process
	p.Settings.Node = settings.Node{Name: role + "-" + ip, Region: "r", FailureDomain: "fd-" + ip}
	p.Settings.Peer = settings.Peer{Listen: fmt.Sprintf("%s:%d", ip, s.port), Trust: settings.TrustNetwork}
	p.Settings.Control.MinFreeBytes = 1
	p.Settings.Control.Disable = s.disable
	found := !s.restarted
	p.Settings.Control.Found = &found
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

func (s *routeSite) startControl(ip string) *ControlProcess {
	s.t.Helper()
	p := s.process(peer.RoleControl, ip)
	p.Settings.Control.DataFolder = filepath.Join(s.folder, ip)
	c, err := StartControl(p)
	is.New(s.t).NoErr(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running[ip] = c
	s.t.Cleanup(func() { _ = c.Kill() })
	return c
}

// controls lists the processes of the running control VMs.
func (s *routeSite) controls() []*ControlProcess {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.running))
}

func (s *routeSite) kill(ips ...string) {
	s.t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var kills sync.WaitGroup
	for _, ip := range ips {
		kills.Go(func() { _ = s.running[ip].Kill() }) // errors of a killed process don't matter here
	}
	kills.Wait()
	for _, ip := range ips {
		delete(s.running, ip)
	}
}

// declare declares a routing of one service at the leader.
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

// declareRouting declares a routing at the leader.
func (s *routeSite) declareRouting(r oriolebend.Routing, document []byte) {
	s.t.Helper()
	s.waitFor("routing accepted", func() bool {
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

func (s *routeSite) waitFor(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("condition not met: %s", what)
}

// leader returns the IP of the control VM that leads, or of any if none leads.
func (s *routeSite) leader() string {
	last := ""
	for ip, c := range s.running {
		if c.Leads() {
			return ip
		}
		last = ip
	}
	return last
}

// voters returns the number of voting members in the leader's state.
func (s *routeSite) voters() int {
	for _, c := range s.running {
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

// sendRequest sends a request to the forwarder and returns the status and body.
func sendRequest(t *testing.T, f *ForwarderProcess) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.Address()+"/x", nil)
	is.NoErr(err)
	request.Host = "h"
	return readAll(t, request)
}

// readAll sends a request and returns the status and the whole body of the response.
func readAll(t *testing.T, request *http.Request) (int, string) {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(body)
}

// Tests the complete path of a request: control VMs find each other through seeds, one
// joins later, a backend server announces itself to a relay, and a request reaches it. A
// forwarder without a routing must not be ready.
func TestRoutesWholePath(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer f.Kill()
	is.True(!f.Ready())
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.startControl("127.0.1.4") // not a seed, so it joins
	relay, err := StartRelay(s.process(peer.RoleControl, "127.0.1.5"))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	is.True(!f.Ready())
	s.declare(3, "s")
	s.waitFor("the forwarder is ready", f.Ready)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "served as "+r.Header.Get("Oriolebend-Instance"))
	}))
	defer backend.Close()
	server := message.BackendServer{
		Instance: "i-1", Service: "s", Address: backend.Listener.Addr().String(), Phase: message.PhaseReady, Sequence: 1,
	}
	s.waitFor("the relay accepts announcements", func() bool { return relay.Announce(t.Context(), server) == nil })
	s.waitFor("the request is served", func() bool {
		status, body := sendRequest(t, f)
		return status == http.StatusOK && body == "served as i-1"
	})
	s.waitFor("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
	s.waitFor("four vote", func() bool { return s.voters() == 4 })
	server.Phase, server.Sequence = message.PhaseDraining, 2
	is.NoErr(relay.Announce(t.Context(), server)) // acknowledged once the forwarder has received it
	status, _ := sendRequest(t, f)
	is.Equal(status, http.StatusServiceUnavailable)
	is.NoErr(f.Stop(t.Context()))
}

func (s *routeSite) forwarderProcess(ip string) Process {
	p := s.process(peer.RoleForwarder, ip)
	p.Settings.Forward = settings.Forward{
		Listen: ip + ":0", StopDelay: oriolebend.Duration(time.Millisecond), StopWithin: oriolebend.Duration(3 * time.Second),
	}
	return p
}

// Guards against forwarders that find no control VM with a log after a restart, because
// the settings were changed to relays as seeds. Relays and forwarders then know only each
// other. The members, which know one another from their log, must contact the relays.
func TestSeedsThatAreRelays(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(3, "s")
	for _, ip := range seededControls {
		s.kill(ip)
	}
	s.seeds = []string{"127.0.1.5"}
	relay, err := StartRelay(s.process(peer.RoleControl, "127.0.1.5"))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer f.Kill()
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.waitFor("the forwarder is ready", f.Ready)
	s.waitFor("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
}

// catchUpTime is how long after the start of its successor a VM that was replaced still counts as lost.
const catchUpTime = 4 * time.Second

// Guards against a group without a quorum after a second loss, right after a replacement
// has caught up. A control VM is lost for good, and another one joins at a new address and
// votes. The lost VM counts as a member until it is removed, so it must be removed earlier
// than a member that a partition may have isolated.
func TestReplacedMemberIsRemovedSoon(t *testing.T) {
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(1, "s")
	lost := seededControls[0]
	if s.leader() == lost {
		lost = seededControls[1]
	}
	s.kill(lost)
	s.startControl("127.0.1.4")
	s.waitFor("four vote", func() bool { return s.voters() == 4 })
	voted := time.Now()
	s.waitFor("three vote", func() bool { return s.voters() == 3 })
	is.New(t).True(time.Since(voted) < catchUpTime)
}

// stop ends a control VM as SIGTERM does.
func (s *routeSite) stop(ip string) {
	s.t.Helper()
	s.mutex.Lock()
	c := s.running[ip]
	delete(s.running, ip)
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	is.New(s.t).NoErr(c.Stop(ctx))
}

// loseDisk kills a control VM, which starts again with an empty data folder.
func (s *routeSite) loseDisk(ip string) {
	s.t.Helper()
	s.kill(ip)
	is.New(s.t).NoErr(os.RemoveAll(filepath.Join(s.folder, ip)))
	s.startControl(ip)
}

// Guards against a group without a quorum for good: the leader is replaced as planned work, and a
// disk is lost right after it has stopped.
func TestDiskLostAfterAReplacedLeader(t *testing.T) {
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(1, "s")
	s.startControl("127.0.1.4")
	s.waitFor("four vote", func() bool { return s.voters() == 4 })
	replaced := s.leader()
	s.stop(replaced)
	for _, ip := range seededControls {
		if ip != replaced && ip != s.leader() {
			s.loseDisk(ip)
			break
		}
	}
	s.declare(2, "s")
}

// Guards against a replaced control VM that remains a voter for good: its successor knows only relays.
func TestSuccessorThatKnowsOnlyRelaysJoins(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.declare(1, "s")
	s.seeds = append(s.seeds, "127.0.1.5")
	relay, err := StartRelay(s.process(peer.RoleControl, "127.0.1.5"))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	s.waitFor("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
	s.kill(s.leader())
	s.seeds = []string{"127.0.1.5"}
	s.startControl("127.0.1.4")
	s.waitFor("the successor votes in place of the lost VM", func() bool {
		return s.voters() == 3 && s.running["127.0.1.4"].replica.Status().Leader != ""
	})
}

// Guards against the loss of an accepted routing. The control VM that acknowledged it loses
// its disk immediately and restarts empty; then another one is lost. An empty member must
// not vote before it has received again the entries that it had accepted.
func TestRoutingSurvivesALostDisk(t *testing.T) {
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	for round := range uint64(3) {
		s.declare(round+1, "s")
		lost := s.leader()
		s.loseDisk(lost)
		s.waitFor("the newest routing is read", func() bool {
			for _, c := range s.running {
				current, err := c.Routing(t.Context())
				if err == nil {
					return current.Version == round+1
				}
			}
			return false
		})
		s.waitFor("the empty control VM has caught up", func() bool {
			current, _ := s.running[lost].routing.Current()
			return current.Version == round+1 && !s.running[lost].replica.Status().Recovering
		})
	}
}

// Operators read and change the routing through the HTTP API.
func TestOperatorRouting(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	for _, ip := range seededControls {
		s.startControl(ip)
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
	s.waitFor("the routing is accepted", func() bool {
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
	s.waitFor("the server is announced", func() bool {
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
