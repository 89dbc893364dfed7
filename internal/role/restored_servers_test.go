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

// restartEverything starts a site, has servers announce themselves, kills all processes and starts them
// again. It returns once the forwarder is ready.
func restartEverything(t *testing.T, disable ...settings.Feature) (*routeSite, *ForwarderProcess) {
	is := is.New(t)
	s := newRouteSite(t)
	s.disable = disable
	for _, ip := range seededControls {
		s.startControl(ip, true)
	}
	f, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	s.declare(1, "s")
	s.waitFor("the forwarder is ready", f.Ready)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "served as "+r.Header.Get("Oriolebend-Instance"))
	}))
	t.Cleanup(backend.Close)
	for i, name := range []string{"running", "withdrawn", "drains"} {
		c := s.running[seededControls[i]]
		server := message.BackendServer{Instance: name, Service: "s", Address: backend.Listener.Addr().String(), Phase: message.PhaseReady, Sequence: 1}
		if name != "running" {
			server.Address = "127.0.1.7:1"
		}
		s.waitFor("the announcement is accepted", func() bool { return c.Announce(t.Context(), server) == nil })
		switch name {
		case "withdrawn":
			is.NoErr(c.Withdraw(t.Context(), name, 0))
		case "drains":
			server.Phase, server.Sequence = message.PhaseDraining, 2
			is.NoErr(c.Announce(t.Context(), server))
		}
	}
	s.waitFor("the request is served", func() bool { status, _ := sendRequest(t, f); return status == http.StatusOK })
	if len(disable) == 0 {
		s.waitFor("every control VM lists the server", func() bool { return s.listed("running") })
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
	is.NoErr(f.Kill())
	is.NoErr(os.RemoveAll(filepath.Join(s.folder, seededControls[0])))
	began := time.Now()
	f, err = StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	t.Cleanup(func() { _ = f.Kill() })
	for _, ip := range seededControls {
		s.startControl(ip, false)
	}
	s.waitFor("the forwarder is ready again", f.Ready)
	t.Logf("ready after %v", time.Since(began))
	is.True(time.Since(began) < registry.DefaultConfirmWithin)
	return s, f
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
