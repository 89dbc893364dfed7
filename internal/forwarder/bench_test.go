package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Sizes of the benchmarks: those of a site with a few dozen organisations and servers.
const (
	benchOrganisations = 40
	benchServers       = 60
	benchBody          = 3000
)

// benchWork returns a request that is being forwarded by a forwarder that knows organisations and
// servers.
func benchWork(b *testing.B) (*work, *routing.Table) {
	b.Helper()
	logger, err := logging.New(settings.Log{Format: "json"}, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	f := New(Config{Dialect: NativeDialect{}, Observer: &counts{seen: map[string]int{}}, Logger: logger, Dispatch: dispatch.Config{Seed: 1}})
	r := oriolebend.Routing{Version: 1, Services: []oriolebend.RouteService{{Name: "s"}}}
	r.Routes = []oriolebend.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Attempts: 1, Timeout: oriolebend.Duration(time.Second),
		Targets: []oriolebend.RouteTarget{{Service: "s", Weight: 1}},
	}}
	for i := range benchOrganisations {
		r.Organisations = append(r.Organisations, oriolebend.Organisation{
			Name: fmt.Sprint("o", i), Keys: []oriolebend.KeyDigest{oriolebend.DigestKey(fmt.Sprint("key-", i))},
		})
	}
	f.SetRouting(r)
	var servers []message.BackendServer
	for i := range benchServers {
		servers = append(servers, message.BackendServer{Instance: fmt.Sprint("i", i), Service: "s", Phase: message.PhaseReady})
	}
	f.ChangeServers(registry.Changes{Servers: servers}, 1)
	header := http.Header{
		headerRequest: {"r1"}, headerDeadline: {"14000"}, headerCredential: {"Bearer key-7"}, headerPrompt: {"3200"}, headerOutput: {"2210"},
		"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}, "User-Agent": {"bench"},
	}
	request := &http1.Request{
		Method: "POST", Host: "h", Target: "/p/x", Header: header, Body: bytes.Repeat([]byte("x"), benchBody), Received: time.Now(),
	}
	w := &work{f: f, request: request, deadline: time.Now().Add(time.Hour)}
	info, err := NativeDialect{}.ParseRequest(header)
	if err != nil {
		b.Fatal(err)
	}
	w.info = info
	return w, f.table.Load()
}

// BenchmarkSteps measures the cost of one request in a forwarder, step by step and without its
// sockets: parsing its headers, finding its route and its organisation, its fingerprint, choosing a
// server, the outgoing header, and its log line.
func BenchmarkSteps(b *testing.B) {
	w, table := benchWork(b)
	w.route = table.Match("h", "/p/x")
	w.service = table.Service("s")
	steps := []struct {
		name string
		run  func()
	}{
		{"ask", func() { _, _ = NativeDialect{}.ParseRequest(w.request.Header) }},
		{"route", func() { table.Match("h", "/p/x") }},
		{"identity", func() { w.identify(table) }},
		{"fingerprint", func() { fingerprintOf(w.request, "o7") }},
		{"server", func() {
			if grant, refused := w.f.choose(w.need()); refused == nil {
				w.reportEnded(grant, dispatch.OutcomeCancelled, 0)
			}
		}},
		{"outgoing", func() { w.outgoing(message.BackendServer{Instance: "i1"}, SendOptions{}) }},
		{"log", func() { w.log(http.StatusOK, "", oriolebend.RanYes) }},
	}
	for _, step := range steps {
		b.Run(step.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step.run()
			}
		})
	}
}
