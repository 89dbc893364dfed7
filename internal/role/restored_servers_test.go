package role

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/serverlist"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// Guards against requests that are refused for seconds after a loss of everything, because servers are
// known again only once they have announced themselves. One control VM has lost its disk. Of the servers,
// one still runs, one has withdrawn, and one drains. No server announces itself after the restart.
func TestServersAreRestored(t *testing.T) {
	s, f := restartEverything(t)
	is := is.New(t)
	status, body := sendRequest(t, f)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "served as running")
	for range 10 {
		status, body = sendRequest(t, f)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "served as running")
	}
	s.waitFor("the server is dropped", func() bool {
		status, _ := sendRequest(t, f)
		return status == http.StatusServiceUnavailable
	})
	s.waitFor("every control VM has dropped it", func() bool {
		for _, c := range s.controls() {
			if len(c.Backends()) > 0 || c.routes.RestoredCounts().Dropped != c.routes.RestoredCounts().Restored {
				return false
			}
		}
		return true
	})
}

// With restoredServers disabled, servers are known only once they have announced themselves.
func TestRestoredServersDisabled(t *testing.T) {
	_, f := restartEverything(t, settings.FeatureRestoredServers)
	is := is.New(t)
	status, _ := sendRequest(t, f)
	is.Equal(status, http.StatusServiceUnavailable)
}

// restartAttempts is how often everything is restarted at most. On a busy machine the election may take
// longer than restored servers are kept.
const restartAttempts = 5

// restartEverything starts a site, has servers announce themselves, kills all processes and starts them
// again. It returns once the forwarder is ready.
func restartEverything(t *testing.T, disable ...settings.Feature) (*routeSite, *ForwarderProcess) {
	is := is.New(t)
	s := newRouteSite(t)
	s.disable = disable
	f := s.startAll()
	s.declare(1, "s")
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "served as "+r.Header.Get("Oriolebend-Instance"))
	}))
	t.Cleanup(backend.Close)
	for range restartAttempts {
		s.announceServers(f, backend.Listener.Addr().String())
		if len(disable) == 0 {
			s.waitFor("every control VM lists the server", func() bool { return s.listed("running") })
		}
		for _, ip := range seededControls {
			s.kill(ip)
		}
		is.NoErr(f.Kill())
		is.NoErr(os.RemoveAll(filepath.Join(s.folder, seededControls[0])))
		began := time.Now()
		f = s.startAll()
		s.waitFor("the forwarder is ready again", f.Ready)
		t.Logf("ready after %v", time.Since(began))
		if time.Since(began) < registry.DefaultConfirmWithin-time.Second {
			return s, f
		}
	}
	t.Fatal("the machine is too slow for this test")
	return nil, nil
}

// startAll starts the control VMs and a forwarder.
func (s *routeSite) startAll() *ForwarderProcess {
	s.t.Helper()
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = f.Kill() })
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	return f
}

// announceServers has three servers announce themselves, each to another control VM: one that runs, one
// that withdraws and one that drains. It returns once the first one serves requests.
func (s *routeSite) announceServers(f *ForwarderProcess, address string) {
	s.t.Helper()
	s.waitFor("the forwarder is ready", f.Ready)
	for i, name := range []string{"running", "withdrawn", "drains"} {
		c := s.running[seededControls[i]]
		server := message.BackendServer{Instance: name, Service: "s", Address: address, Phase: message.PhaseReady, Sequence: 1}
		if name != "running" {
			server.Address = "127.0.1.7:1"
		}
		announce := func() bool { return c.Announce(s.t.Context(), server) == nil }
		s.waitFor("the announcement is accepted", announce)
		switch name {
		case "withdrawn":
			s.waitFor("the withdrawal is accepted", func() bool { return c.Withdraw(s.t.Context(), name, 0) == nil })
		case "drains":
			server.Phase = message.PhaseDraining
			s.waitFor("the drain is accepted", func() bool { server.Sequence++; return announce() })
		}
	}
	s.waitFor("the request is served", func() bool { status, _ := sendRequest(s.t, f); return status == http.StatusOK })
}

// listed reports whether the list of each control VM holds just one server.
func (s *routeSite) listed(instance string) bool {
	for _, ip := range seededControls {
		list := serverlist.Store{Folder: filepath.Join(s.folder, ip), Node: ip, Logger: slog.New(slog.DiscardHandler)}
		servers := list.Load().Servers
		if len(servers) != 1 || servers[0].Instance != instance {
			return false
		}
	}
	return true
}
