package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// arrivals counts, by request, what reaches the servers of a site.
type arrivals struct {
	mutex sync.Mutex
	// sends are the sends to be answered, accepted and rejected the prompts that an engine prefilled
	// or refused to prefill.
	sends, accepted, rejected map[string]int
}

func newArrivals() *arrivals {
	return &arrivals{sends: map[string]int{}, accepted: map[string]int{}, rejected: map[string]int{}}
}

func (a *arrivals) add(kind map[string]int, r *http.Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	kind[r.Header.Get(headerRequest)]++
}

// repeats returns how many arrivals were beyond the first of their request. The first prompt that an
// engine accepts is not.
func (a *arrivals) repeats() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	total := 0
	for _, count := range a.sends {
		total += count - 1
	}
	for _, count := range a.accepted {
		total += count - 1
	}
	for _, count := range a.rejected {
		total += count
	}
	return total
}

// prefiller answers prompts; it rejects them if reject is set.
func (a *arrivals) prefiller(reject bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if reject {
			a.add(a.rejected, r)
			notRun(w)
			return
		}
		a.add(a.accepted, r)
		_, _ = io.WriteString(w, `{"result":"r","tokens":1000}`)
	}
}

// server answers requests by a handler.
func (a *arrivals) server(answer http.HandlerFunc) http.HandlerFunc {
	return generator(func(w http.ResponseWriter, r *http.Request) {
		a.add(a.sends, r)
		answer(w, r)
	})
}

// randomPlaces grants placements at random engines, like an allocator that does not know which of
// them reject requests. While it is away, it can't be asked.
type randomPlaces struct {
	outdatedPlaces
	prefillers []message.BackendServer
	away       bool
}

func (p *randomPlaces) Place(_ context.Context, r PlacementRequest) (dispatch.Effect, bool) {
	if p.away {
		return nil, false
	}
	grant := dispatch.Grant{Need: r.Need, Server: p.engines[rand.IntN(len(p.engines))], Remote: 1}
	if len(p.prefillers) > 0 {
		prefiller := p.prefillers[rand.IntN(len(p.prefillers))]
		grant.Prefill = &prefiller
	}
	return dispatch.Granted{Grant: grant}, true
}

// Guards against servers that get more repeats than the retry budget allows, because arrivals that
// no code calls a retry are not counted: prompts that prefill engines reject, and prompts of retries.
func TestEveryArrivalCountsAgainstTheRetryBudget(t *testing.T) {
	const requests, slack, servers = 300, 10, 6
	refuse := func(w http.ResponseWriter, _ *http.Request) { notRun(w) }
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	sound := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	for _, test := range []struct {
		name, path string
		// prefill engines are there if prefills is set; they reject all prompts if rejects is set.
		prefills, rejects bool
		answer            http.HandlerFunc
		away              bool
	}{
		{name: "prompts rejected", path: "/cut/", prefills: true, rejects: true, answer: sound},
		{name: "prompts and sends rejected", path: "/stream/", prefills: true, rejects: true, answer: refuse},
		{name: "sends rejected after prefills", path: "/stream/", prefills: true, answer: refuse},
		{name: "sends rejected", path: "/stream/", answer: refuse},
		{name: "sends rejected without an allocator", path: "/stream/", answer: refuse, away: true},
		{name: "streams fail", path: "/stream/", prefills: true, answer: fail},
		{name: "calls fail", path: "/safe/", answer: fail},
		{name: "calls cut off", path: "/safe/", answer: abort},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			seen, places := newArrivals(), &randomPlaces{away: test.away}
			s := newSite(t, 1<<20, func(c *Config) {
				c.Dispatch.RetrySlack = slack
				c.Dispatch.RetryWindow = time.Hour
				c.Places = places
			})
			for range servers {
				s.server("a", oriolebend.Decode, seen.server(test.answer))
			}
			places.engines = s.servers[:servers]
			if test.prefills {
				for range servers {
					s.server("a", oriolebend.Prefill, seen.prefiller(test.rejects))
				}
				places.prefillers = s.servers[servers:]
			}
			for i := range requests {
				s.send(test.path, map[string]string{headerRequest: fmt.Sprint(i), headerPrompt: "1000", headerOutput: "10"})
			}
			is.True(seen.repeats() <= dispatch.DefaultRetryShare*requests+slack)
			is.Equal(s.forwarder.RetryBudgets()[0].Requests, requests)
		})
	}
}
