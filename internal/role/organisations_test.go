package role

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// organisationSite is a site of three control VMs, two forwarders and one backend server,
// which counts what it runs for each organisation.
type organisationSite struct {
	*routeSite
	forwarders []*ForwarderProcess
	server     message.BackendServer
	ran        atomic.Int64
	sequence   atomic.Uint64
}

func newOrganisationSite(t *testing.T) *organisationSite {
	s := &organisationSite{routeSite: newRouteSite(t)}
	for _, ip := range seededControls {
		s.startControl(ip, true)
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

// declareFor has a routing with organisations accepted, and waits until it is in force.
func (s *organisationSite) declareFor(version uint64, organisations ...oriolebend.Organisation) {
	s.t.Helper()
	r := routingTo(version, "s")
	r.Organisations = organisations
	s.declareRouting(r, fmt.Appendf(nil, `{"version":%d}`, version))
	for _, f := range s.forwarders {
		s.eventually("routing in force", func() bool { return f.forwarder.Version() == version && f.Ready() })
	}
	s.announce()
}

// announce has the server known to the forwarders.
func (s *organisationSite) announce() {
	s.server.Sequence = s.sequence.Add(1)
	for _, c := range s.controls() {
		s.eventually("the server is announced", func() bool { return c.Announce(s.t.Context(), s.server) == nil })
	}
}

// askWith asks a forwarder with a key and returns status and body.
func (s *organisationSite) askWith(f *ForwarderProcess, key string) (int, string) {
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

// Keys are known and taken away on every forwarder, on kept connections too, and stay taken
// away over a restart of all that count and forward.
func TestKeysOverTheFleet(t *testing.T) {
	is := is.New(t)
	s := newOrganisationSite(t)
	s.declareFor(1, organisation("a", oriolebend.Quota{}, "key-a", "key-old"))
	for _, f := range s.forwarders {
		s.eventually("served", func() bool { status, _ := s.askWith(f, "key-old"); return status == http.StatusOK })
		status, body := s.askWith(f, "key-a")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "a")
	}
	s.declareFor(2, organisation("a", oriolebend.Quota{}, "key-a"), organisation("b", oriolebend.Quota{}, "key-b"))
	for _, f := range s.forwarders {
		status, _ := s.askWith(f, "key-old")
		is.Equal(status, http.StatusUnauthorized)
		s.eventually("the new key is served", func() bool { status, body := s.askWith(f, "key-b"); return status == http.StatusOK && body == "b" })
	}
	for _, ip := range seededControls {
		s.kill(ip)
	}
	is.NoErr(s.forwarders[0].Kill())
	restarted, err := StartForwarder(s.forwarderProcess("127.0.1.6"), forwarder.NativeDialect{})
	is.NoErr(err)
	defer restarted.Kill()
	status, _ := s.askWith(restarted, "key-old")
	is.Equal(status, http.StatusServiceUnavailable) // it knows no routing, and must not say that a key is wrong
	for _, ip := range seededControls {
		s.startControl(ip, false)
	}
	s.eventually("ready again", restarted.Ready)
	status, _ = s.askWith(restarted, "key-old")
	is.Equal(status, http.StatusUnauthorized)
}

// Symptom: an organisation is served far beyond its quota. Sequence: its callers send to two
// forwarders at once, several times as much as it may; then all control VMs are killed and
// come back. Cause: forwarders that count for themselves, and a count that begins anew with
// all that may be saved up.
func TestQuotaOverTheFleet(t *testing.T) {
	is := is.New(t)
	s := newOrganisationSite(t)
	quota := oriolebend.Quota{PerSecond: 20, Burst: 20}
	s.declareFor(1, organisation("a", quota, "key-a"), organisation("free", oriolebend.Quota{}, "key-free"))
	for _, f := range s.forwarders {
		s.eventually("served", func() bool { status, _ := s.askWith(f, "key-free"); return status == http.StatusOK })
	}
	s.ran.Store(0)
	began := time.Now()
	seen := map[int]int{}
	storm := func(until time.Duration) {
		for time.Since(began) < until {
			for _, f := range s.forwarders {
				status, _ := s.askWith(f, "key-a")
				seen[status]++
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	storm(time.Second)
	for _, ip := range seededControls {
		s.kill(ip)
	}
	for _, ip := range seededControls {
		s.startControl(ip, false)
	}
	storm(4 * time.Second)
	bound := (quota.PerSecond*time.Since(began).Seconds() + quota.Burst) * 1.1
	is.True(float64(s.ran.Load()) <= bound)
	is.True(seen[http.StatusTooManyRequests] > 0)
	is.True(seen[http.StatusOK] >= 20) // the quota is there to be used
}
