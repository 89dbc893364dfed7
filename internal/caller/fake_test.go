package caller

import (
	"context"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeRouter answers every request with the same chunks. If hold is set, it then
// waits until the request's context ends and closes cancelled.
type fakeRouter struct {
	mu        sync.Mutex
	chunks    []Chunk
	hold      bool
	notReady  bool
	record    message.ClaimAnswer
	requests  []entry.Request
	cancelled chan struct{}
}

func (f *fakeRouter) Submit(ctx context.Context, r entry.Request) <-chan Chunk {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	return f.play(ctx)
}

func (f *fakeRouter) Attach(ctx context.Context, _, _ string) <-chan Chunk {
	return f.play(ctx)
}

func (f *fakeRouter) play(ctx context.Context) <-chan Chunk {
	out := make(chan Chunk)
	go func() {
		defer close(out)
		for _, chunk := range f.chunks {
			select {
			case out <- chunk:
			case <-ctx.Done():
				return
			}
		}
		if f.hold {
			<-ctx.Done()
			close(f.cancelled)
		}
	}()
	return out
}

func (f *fakeRouter) Models() []oriolebend.LoadedModel {
	return []oriolebend.LoadedModel{{Model: "planner-lm", Version: "v3", Adapters: []string{"bridges"}}}
}

func (f *fakeRouter) Record(_ context.Context, organisation, _ string) (message.ClaimAnswer, error) {
	if organisation != "lintang" {
		return message.ClaimAnswer{}, nil
	}
	return f.record, nil
}

func (f *fakeRouter) Ready() bool { return !f.notReady }

func (f *fakeRouter) Settled() bool { return !f.notReady }

// submitted returns the requests that were submitted so far.
func (f *fakeRouter) submitted() []entry.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// endingRouter closes ended when the context of a request ends.
type endingRouter struct {
	*fakeRouter
	ended chan struct{}
}

func (e endingRouter) Submit(ctx context.Context, r entry.Request) <-chan Chunk {
	context.AfterFunc(ctx, func() { close(e.ended) })
	return e.fakeRouter.Submit(ctx, r)
}

// testConfig returns a configuration with three organisations, of which camp is
// limited to one operation and one urgency, and a service with a repeatable query.
func testConfig(router Router) Config {
	return Config{
		Router: router,
		Caller: settings.Caller{MaxBodyBytes: 4096, MaxPromptTokens: 500, MaxOutputTokens: 100},
		Organisations: []settings.Organisation{
			{Name: "lintang", Tokens: []string{"lintang-token"}},
			{Name: "careless", Tokens: []string{""}},
			{
				Name: "camp", Tokens: []string{"camp-token"},
				Operations: []string{"completion"}, Urgencies: []oriolebend.Urgency{oriolebend.Patient},
			},
		},
		Operations: []settings.Operation{{Name: "ping", Urgency: oriolebend.Urgent}},
		Services: []settings.ServiceRoute{{Name: "dispatch-api", Calls: []settings.CallRoute{
			{Method: "GET", Path: "/arrivals", Repeatable: true, StatusPath: "/status/{identity}"},
		}}},
	}
}
