package role

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// organisationSite is a site of three control VMs, two forwarders and one backend server,
// which counts the requests that it runs.
type organisationSite struct {
	*routeSite
	forwarders []*ForwarderProcess
	server     message.BackendServer
	ran        atomic.Int64
	sequence   atomic.Uint64
}

// newOrganisationSite starts a site. more are control VMs besides the usual three.
func newOrganisationSite(t *testing.T, more ...string) *organisationSite {
	s := &organisationSite{routeSite: newRouteSite(t)}
	s.seeds = append(slices.Clone(seededControls), more...)
	for _, ip := range s.seeds {
		s.startControl(ip)
	}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran.Add(1)
		_, _ = io.WriteString(w, r.Header.Get("Oriolebend-Organisation")+r.Header.Get("Authorization"))
	}))
	t.Cleanup(backend.Close)
	s.server = message.BackendServer{Instance: "i-1", Service: "s", Address: backend.Listener.Addr().String(), Phase: message.PhaseReady}
	for _, ip := range []string{"127.0.1.6", "127.0.1.7"} {
		f, err := StartForwarder(s.forwarderProcess(ip), forwarder.NativeDialect{})
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = f.Kill() })
		s.forwarders = append(s.forwarders, f)
	}
	return s
}

// declareOrganisations declares a routing with organisations and waits until it is in force.
func (s *organisationSite) declareOrganisations(version uint64, organisations ...oriolebend.Organisation) {
	s.t.Helper()
	r := routingTo(version, "s")
	r.Organisations = organisations
	s.declareRouting(r, fmt.Appendf(nil, `{"version":%d}`, version))
	for _, f := range s.forwarders {
		s.waitFor("routing in force", func() bool { return f.forwarder.Version() == version && f.Ready() })
	}
	s.announce()
}

// announce announces the server to all control VMs.
func (s *organisationSite) announce() {
	s.server.Sequence = s.sequence.Add(1)
	for _, c := range s.controls() {
		s.waitFor("the server is announced", func() bool { return c.Announce(s.t.Context(), s.server) == nil })
	}
}

// sendWithKey sends a request with a key to a forwarder and returns the status and body.
func (s *organisationSite) sendWithKey(f *ForwarderProcess, key string) (int, string) {
	s.t.Helper()
	is := is.New(s.t)
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+f.Address()+"/x", nil)
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(body)
}

func organisation(name string, quota oriolebend.Quota, keys ...string) oriolebend.Organisation {
	o := oriolebend.Organisation{Name: name, Quota: quota}
	for _, key := range keys {
		o.Keys = append(o.Keys, oriolebend.DigestKey(key))
	}
	return o
}

// Keys are accepted and revoked on every forwarder, also on open connections, and stay
// revoked after a restart of all control VMs and a forwarder.
func TestKeysOnAllForwarders(t *testing.T) {
	is := is.New(t)
	s := newOrganisationSite(t)
	s.declareOrganisations(1, organisation("a", oriolebend.Quota{}, "key-a", "key-old"))
	for _, f := range s.forwarders {
		s.waitFor("served", func() bool { status, _ := s.sendWithKey(f, "key-old"); return status == http.StatusOK })
		status, body := s.sendWithKey(f, "key-a")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "a")
	}
	s.declareOrganisations(2, organisation("a", oriolebend.Quota{}, "key-a"), organisation("b", oriolebend.Quota{}, "key-b"))
	for _, f := range s.forwarders {
		status, _ := s.sendWithKey(f, "key-old")
		is.Equal(status, http.StatusUnauthorized)
		s.waitFor("the new key is served", func() bool { status, body := s.sendWithKey(f, "key-b"); return status == http.StatusOK && body == "b" })
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
	is.NoErr(s.forwarders[0].Kill())
	restarted, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer restarted.Kill()
	status, _ := s.sendWithKey(restarted, "key-old")
	is.Equal(status, http.StatusServiceUnavailable) // it has no routing, and must not report a key as wrong
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	s.waitFor("ready again", restarted.Ready)
	status, _ = s.sendWithKey(restarted, "key-old")
	is.Equal(status, http.StatusUnauthorized)
}

// Guards against an organisation that is served far beyond its quota. Its callers send several
// times the quota to two forwarders at the same time; then all control VMs are killed and
// restarted. Forwarders must not count on their own, and a new count must not begin with the
// full burst.
func TestQuotaOnAllForwarders(t *testing.T) {
	is := is.New(t)
	s := newOrganisationSite(t)
	quota := oriolebend.Quota{PerSecond: 20, Burst: 20}
	s.declareOrganisations(1, organisation("a", quota, "key-a"), organisation("free", oriolebend.Quota{}, "key-free"))
	for _, f := range s.forwarders {
		s.waitFor("served", func() bool { status, _ := s.sendWithKey(f, "key-free"); return status == http.StatusOK })
	}
	s.ran.Store(0)
	began := time.Now()
	seen := map[int]int{}
	overload := func(until time.Duration) {
		for time.Since(began) < until {
			for _, f := range s.forwarders {
				status, _ := s.sendWithKey(f, "key-a")
				seen[status]++
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	overload(time.Second)
	for _, ip := range seededControls {
		s.kill(ip)
	}
	for _, ip := range seededControls {
		s.startControl(ip)
	}
	overload(4 * time.Second)
	bound := (quota.PerSecond*time.Since(began).Seconds() + quota.Burst) * 1.1
	is.True(float64(s.ran.Load()) <= bound)
	is.True(seen[http.StatusTooManyRequests] > 0)
	is.True(seen[http.StatusOK] >= 20) // the quota is available
}
