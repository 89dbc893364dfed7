package adversary_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/adversary"
	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/saturation"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var (
	searchFor  = flag.Duration("adversary.for", 0, "how long to search, in place of a number of conversations")
	searchSeed = flag.Uint64("adversary.seed", 1, "seed of the search")
	randomOnly = flag.Bool("adversary.random", false, "draw without search")
)

// smallLink is the capacity of the smallest links of VMs, 10 Mbit/s, in bytes per second.
const smallLink = 10e6 / 8

// conversations is the number of conversations that are played by default.
const conversations = 60

// soundTimeout is longer than a sound server takes on a busy machine.
const soundTimeout = 10 * time.Second

// uncounted discards the events of a forwarder.
type uncounted struct{}

func (uncounted) Count(string, oriolebend.Reason, string) {}

func (uncounted) Observe(string, oriolebend.Urgency, float64) {}

// site is what a search needs: a server that speaks badly and one that speaks well.
type site struct {
	t      *testing.T
	server *adversary.Server
	sound  string
}

func newSite(t *testing.T) *site {
	server, err := adversary.Listen()
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(adversary.RequestHeader, r.Header.Get(adversary.RequestHeader))
		_, _ = io.WriteString(w, "sound")
	}))
	t.Cleanup(sound.Close)
	return &site{t: t, server: server, sound: sound.Listener.Addr().String()}
}

// start starts a forwarder.
func (s *site) start() (adversary.Target, func()) {
	meter := saturation.New(saturation.Config{LinkBytes: smallLink})
	held := memorybudget.New(memorybudget.Config{})
	f := forwarder.New(forwarder.Config{
		Pool: backend.PoolConfig{Meter: meter}, Held: held,
		Dialect: forwarder.NativeDialect{}, Observer: uncounted{}, Dispatch: dispatch.Config{FailureDomain: "a", Seed: 1, RetrySlack: 1000},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(s.t).NoErr(err)
	callers := http1.Serve(listener, http1.Config{Handler: f.Serve, Limits: f.Limits, Meter: meter, Held: held})
	f.ChangeServers(registry.Changes{Servers: []message.BackendServer{
		{Instance: "i0", Service: "s", Address: s.server.Address(), FailureDomain: "a", Phase: message.PhaseReady},
		{Instance: "i1", Service: "sound", Address: s.sound, FailureDomain: "a", Phase: message.PhaseReady},
	}}, 1)
	f.SetRouting(oriolebend.Routing{
		Version: 1, Services: []oriolebend.RouteService{{Name: "s"}, {Name: "sound"}},
		Routes: []oriolebend.Route{
			route("once", "s", oriolebend.RepeatNever, false), route("safe", "s", oriolebend.RepeatIdempotent, false),
			route("cut", "s", oriolebend.RepeatNever, true), soundRoute(),
		},
	})
	left := func() string {
		bytes := int64(0)
		for _, kind := range memorybudget.Kinds() {
			bytes += held.Held(kind)
		}
		if bytes > 0 || callers.Active() > 0 {
			return fmt.Sprintf("%d bytes, %d requests", bytes, callers.Active())
		}
		return ""
	}
	return adversary.Target{Address: callers.Address(), Host: "h", Left: left}, callers.Close
}

// soundRoute is a route to the sound server.
func soundRoute() oriolebend.Route {
	r := route("sound", "sound", oriolebend.RepeatNever, false)
	r.Timeout = oriolebend.Duration(soundTimeout)
	return r
}

func route(name, service string, repeat oriolebend.RepeatRule, stream bool) oriolebend.Route {
	attempts := 1
	if repeat == oriolebend.RepeatIdempotent {
		attempts = 2
	}
	return oriolebend.Route{
		Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeat: repeat, Stream: stream, Attempts: attempts,
		Timeout: oriolebend.Duration(adversary.RouteTimeout), AnswerWithin: oriolebend.Duration(adversary.RouteTimeout),
		Targets: []oriolebend.RouteTarget{{Service: service, Weight: 1}},
	}
}

// Guards against promises that a forwarder breaks if a server or a caller speaks badly.
func TestSearchFindsNoViolation(t *testing.T) {
	s := newSite(t)
	config := adversary.SearchConfig{Server: s.server, Start: s.start, Seed: *searchSeed, For: *searchFor, RandomOnly: *randomOnly}
	if config.For == 0 {
		config.Tries = conversations
	}
	search := adversary.NewSearch(config)
	found := search.Run(t.Context())
	t.Logf("%d conversations", search.Tried)
	if found != nil {
		t.Fatalf("after %d conversations and %v: %s\n%s", found.Tries, found.Took, found.Finding, found.Conversation)
	}
}

// Guards against the return of each violation that a search has found.
func TestKnownConversations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	s := newSite(t)
	search := adversary.NewSearch(adversary.SearchConfig{Server: s.server, Start: s.start})
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			c, err := adversary.Parse(string(text))
			is.NoErr(err)
			for _, f := range search.Judge(context.WithoutCancel(t.Context()), c) {
				t.Error(f)
			}
		})
	}
}
