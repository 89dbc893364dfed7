package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// callerSite is a site whose servers record the organisation of each request that they run.
type callerSite struct {
	*site
	mutex  sync.Mutex
	seen   []string
	quotas *fixedQuotas
	behind bool
}

// fixedQuotas grants each organisation an amount once, and records what is returned.
type fixedQuotas struct {
	mutex       sync.Mutex
	left        map[string]float64
	returned    float64
	unavailable bool
}

// Take implements Quotas.
func (q *fixedQuotas) Take(_ context.Context, c Charge) (Charge, QuotaState, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.unavailable {
		return Charge{}, QuotaState{}, &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, RetryAfter: time.Second}
	}
	if q.left[c.Organisation] < c.Cost {
		state := QuotaState{CountedBy: "c1", Left: q.left[c.Organisation], Since: time.Minute}
		return Charge{}, state, &oriolebend.Problem{Reason: oriolebend.ReasonQuota, RetryAfter: 1500 * time.Millisecond}
	}
	q.left[c.Organisation] -= c.Cost
	return c, QuotaState{CountedBy: "c1"}, nil
}

// Return implements Quotas.
func (q *fixedQuotas) Return(c Charge) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.returned += c.Cost
}

// TestIdentity runs the files of testdata/identity. Their commands:
//
//	declare     applies organisations in JSON; public=ROUTE makes a route public
//	quotas      one line "ORGANISATION LEFT" for each organisation; with "unavailable" no control VM counts
//	behind      the forwarder does not know whether its routing is the newest
//	servers     ok or refuse: how servers answer
//	send PATH   sends the headers of the input, and prints the answer, what the server received
//	            and what was returned to the quota
func TestIdentity(t *testing.T) {
	datadriven.Walk(t, "testdata/identity", func(t *testing.T, path string) {
		s := newCallerSite(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "declare":
				s.declare(t, d)
			case "quotas":
				s.setQuotas(t, d)
			case "behind":
				s.behind = true
			case "servers":
				s.server("a", "", s.record(d.HasArg("refuse")))
			case "send":
				return s.sendAs(d)
			}
			return ""
		})
	})
}

func newCallerSite(t *testing.T) *callerSite {
	s := &callerSite{site: newSite(t, 0), quotas: &fixedQuotas{left: map[string]float64{}}}
	s.forwarder.config.Quotas = s.quotas
	s.forwarder.config.Current = func() bool { return !s.behind }
	return s
}

func (s *callerSite) declare(t *testing.T, d *datadriven.TestData) {
	is := is.New(t)
	r := s.forwarder.table.Load().Routing
	r.Version++
	r.Organisations = nil
	is.NoErr(json.Unmarshal([]byte(d.Input), &r.Organisations))
	r.Keyed = true
	for i := range r.Routes {
		r.Routes[i].Public = false
		for _, arg := range d.CmdArgs {
			r.Routes[i].Public = r.Routes[i].Public || arg.Key == "public" && arg.Vals[0] == r.Routes[i].Name
		}
	}
	is.NoErr(r.Check())
	s.forwarder.SetRouting(r)
}

func (s *callerSite) setQuotas(t *testing.T, d *datadriven.TestData) {
	s.quotas.unavailable = d.HasArg("unavailable")
	for line := range strings.Lines(d.Input) {
		var name string
		var left float64
		_, err := fmt.Sscan(line, &name, &left)
		is.New(t).NoErr(err)
		s.quotas.left[name] = left
	}
}

// record returns a server that records the organisation it receives, and any key that reaches it.
func (s *callerSite) record(refuse bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.seen = append(s.seen, fmt.Sprintf("for %q key %q", r.Header[headerOrganisation], r.Header[headerCredential]))
		s.mutex.Unlock()
		if refuse {
			w.Header().Set(headerRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "served")
	}
}

func (s *callerSite) sendAs(d *datadriven.TestData) string {
	header := map[string]string{}
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		header[name] = value
	}
	s.seen, s.quotas.returned = nil, 0
	status, answer, body := s.send(d.CmdArgs[0].Key, header)
	var out strings.Builder
	fmt.Fprintln(&out, status, answer.Get("Retry-After"), body)
	for _, line := range s.seen {
		fmt.Fprintln(&out, line)
	}
	if s.quotas.returned > 0 {
		fmt.Fprintln(&out, "refunded", s.quotas.returned)
	}
	return out.String()
}

// If a key is revoked while its request is forwarded, the request continues, also to a second
// server, for the organisation that held the key when the request arrived. The next request on the
// same connection is refused.
func TestKeyRevokedDuringARequest(t *testing.T) {
	is := is.New(t)
	s := newCallerSite(t)
	with := func(version uint64, keys ...string) oriolebend.Routing {
		r := s.forwarder.table.Load().Routing
		r.Version, r.Organisations = version, []oriolebend.Organisation{{Name: "o"}}
		for _, key := range keys {
			r.Organisations[0].Keys = append(r.Organisations[0].Keys, oriolebend.DigestKey(key))
		}
		return r
	}
	s.forwarder.SetRouting(with(2, "k"))
	s.server("a", "", func(w http.ResponseWriter, r *http.Request) {
		s.forwarder.SetRouting(with(3))
		abort(w, r)
	})
	s.server("b", "", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(headerOrganisation))
	})
	caller := &http.Client{}
	for _, want := range []struct {
		status int
		body   string
	}{{http.StatusOK, "o"}, {http.StatusUnauthorized, `{"reason":"revokedKey","ran":"no"}`}} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.callers.Address()+"/safe/", nil)
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set(headerCredential, credentialScheme+" k")
		response, err := caller.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want.status)
		is.Equal(string(body), want.body)
	}
}

// Guards against a caller's key in a log. Requests are refused for each possible reason and logged;
// the caller's credential must not be logged with the rest of its request.
func TestKeysAreNotLogged(t *testing.T) {
	is := is.New(t)
	s := newCallerSite(t)
	r := s.forwarder.table.Load().Routing
	r.Version++
	r.Organisations = []oriolebend.Organisation{{
		Name: "o", Keys: []oriolebend.KeyDigest{oriolebend.DigestKey("secret-held")}, Quota: oriolebend.Quota{PerSecond: 1},
	}}
	s.forwarder.SetRouting(r)
	s.server("a", "", answer("good"))
	for _, key := range []string{"secret-held", "secret-unknown"} {
		status, _, _ := s.send("/once/", map[string]string{headerCredential: credentialScheme + " " + key})
		is.True(status >= 400)
	}
	s.callers.Stop(t.Context()) // the lines are written a moment after the answers
	is.Equal(strings.Count(s.log.String(), `"msg":"request answered"`), 2)
	is.True(strings.Contains(s.log.String(), `"organisation":"o"`))
	is.True(!strings.Contains(s.log.String(), "secret"))
	is.Equal(Credential{Key: "secret"}.LogValue().String(), "[withheld]")
}
