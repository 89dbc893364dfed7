package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// sizedRequest is one request of a shortage, which may be repeated once.
type sizedRequest struct {
	need   dispatch.Need
	served bool
}

// sizedSite is a site whose engines have too little memory for its load.
type sizedSite struct {
	name string
	// engines is the number of engines, memory the memory of each in tokens.
	engines, memory int
	// output is the mean output. If spread is set, outputs vary by half of the mean; otherwise
	// all are equal.
	output int
	spread bool
	// A generation holds its memory for base, and perToken for each token of its output.
	base, perToken time.Duration
}

var sizedSites = []sizedSite{
	{name: "short outputs", engines: 8, memory: 60_000, output: 900, base: 2500 * time.Millisecond, perToken: time.Millisecond},
	{name: "long outputs", engines: 5, memory: 78_000, output: 5400, spread: true, base: time.Second, perToken: 1300 * time.Microsecond},
}

// shortage simulates a site whose callers send a multiple of the load that its engines can handle.
type shortage struct {
	site     sizedSite
	random   *rand.Rand
	state    *State
	now      time.Time
	requests []*sizedRequest
	byKey    map[Key]*sizedRequest
	returns  []placementEnd
	ends     []placementEnd
}

func newShortage(site sizedSite, seed uint64) *shortage {
	s := &shortage{site: site, random: rand.New(rand.NewPCG(seed, 0)), state: New(seed), now: scriptStart, byKey: map[Key]*sizedRequest{}}
	var engines []message.BackendServer
	for i := range site.engines {
		engines = append(engines, message.BackendServer{Instance: fmt.Sprint("d", i), Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode})
	}
	engines = append(engines, message.BackendServer{Instance: "p", Service: "s", Phase: message.PhaseReady, Role: oriolebend.Prefill})
	Reduce(s.state, Fleet{
		Services: dispatch.Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: site.memory}}}},
		Servers:  dispatch.Fleet{Servers: engines, Forwarders: 1},
	})
	return s
}

// draw draws a random request. Prompts, and outputs if they vary, are at most twice their mean.
func (s *shortage) draw() *sizedRequest {
	size := func(mean float64) int {
		return int(min(2*mean, mean*math.Exp(0.5*s.random.NormFloat64()-0.125)))
	}
	output := s.site.output
	if s.site.spread {
		output = size(float64(output))
	}
	r := &sizedRequest{need: dispatch.Need{Service: "s", Prompt: size(5000), Output: output}}
	s.requests = append(s.requests, r)
	return r
}

func (s *shortage) request(r *sizedRequest) {
	key := Key{Session: 1, ID: uint64(len(s.byKey) + 1)}
	s.byKey[key] = r
	call := uint64(slices.Index(s.requests, r) + 1)
	s.apply(Reduce(s.state, Requested{
		At: s.now, Key: key, Need: r.need, Call: call,
		InTime: s.now.Add(600 * time.Millisecond), Until: s.now.Add(2700 * time.Millisecond),
	}))
}

func (s *shortage) apply(list []Answer) {
	for _, a := range list {
		r := s.byKey[a.Key]
		if a.Grant == nil {
			s.returns = append(s.returns, placementEnd{a.Key, s.now.Add(a.Refused.RetryAfter)})
			continue
		}
		r.served = true
		held := s.site.base + time.Duration(r.need.Output)*s.site.perToken
		s.ends = append(s.ends, placementEnd{a.Key, s.now.Add(held)})
	}
}

// due removes the entries whose time has come from a list and returns them.
func (s *shortage) due(list *[]placementEnd) []placementEnd {
	var due []placementEnd
	*list = slices.DeleteFunc(*list, func(e placementEnd) bool {
		if e.at.After(s.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	return due
}

// pass advances the time by a step; load is the offered load relative to the capacity of the engines.
func (s *shortage) pass(step time.Duration, load float64, returned map[*sizedRequest]bool) {
	s.now = s.now.Add(step)
	for _, e := range s.due(&s.ends) {
		Reduce(s.state, PrefillEnded{At: s.now, Key: e.key, Took: 100 * time.Millisecond})
		s.apply(Reduce(s.state, Ended{At: s.now, Key: e.key, Outcome: dispatch.OutcomeAnswered}))
	}
	for _, e := range s.due(&s.returns) {
		if r := s.byKey[e.key]; !returned[r] {
			returned[r] = true
			s.request(r)
		}
	}
	held := s.site.base + time.Duration(s.site.output)*s.site.perToken
	capacity := float64(s.site.engines*s.site.memory) / float64(5000+s.site.output) / held.Seconds() // requests a second
	if s.random.Float64() < load*capacity*step.Seconds() {
		s.request(s.draw())
	}
	s.apply(Reduce(s.state, Ticked{At: s.now}))
}

// shares returns the served share of each tenth of the requests sorted by size, the smallest
// first, and of all requests.
func (s *shortage) shares(from int) (tenths [10]float64, all float64) {
	list := slices.SortedFunc(slices.Values(s.requests[from:]), func(a, b *sizedRequest) int { return a.need.Memory() - b.need.Memory() })
	for tenth := range tenths {
		part := list[tenth*len(list)/10 : (tenth+1)*len(list)/10]
		for _, r := range part {
			if r.served {
				tenths[tenth] += 1 / float64(len(part))
				all += 1 / float64(len(list))
			}
		}
	}
	return tenths, all
}

// TestLargeRequestsInAShortage guards against the largest prompts being hardly served for as long
// as memory is short. Callers send twice the capacity of the engines. When some memory becomes
// free, the large request that has waited longest does not fit, and a smaller one behind it takes
// the memory; the large one is also refused at a shorter queue. The largest tenth must be served at
// least half as often as all requests, and so must the fifth below it.
func TestLargeRequestsInAShortage(t *testing.T) {
	for _, site := range sizedSites {
		for _, length := range []time.Duration{2 * time.Second, 10 * time.Second, 60 * time.Second} {
			t.Run(site.name+" "+length.String(), func(t *testing.T) { checkSizes(t, site, length) })
		}
	}
}

// checkSizes simulates peaks of twice the capacity of the engines, and compares the served share of
// the largest requests with that of all requests, over all peaks together.
func checkSizes(t *testing.T, site sizedSite, length time.Duration) {
	is := is.New(t)
	const (
		step  = 10 * time.Millisecond
		usual = 0.7 // of the capacity of the engines
	)
	var tenths [10]float64
	all, runs := 0.0, min(12, int(4*time.Minute/length))
	for seed := range uint64(runs) {
		s := newShortage(site, seed)
		returned := map[*sizedRequest]bool{}
		play := func(length time.Duration, load float64) {
			for range int(length / step) {
				s.pass(step, load, returned)
			}
		}
		play(20*time.Second, usual)
		before := len(s.requests)
		play(length, 2)
		peak := len(s.requests)
		play(8*time.Second, usual)
		s.requests = s.requests[:peak]
		served, ofAll := s.shares(before)
		for tenth := range tenths {
			tenths[tenth] += served[tenth] / float64(runs)
		}
		all += ofAll / float64(runs)
	}
	t.Logf("served share by tenths of sizes %.2f, of all %.3f", tenths, all)
	is.True(tenths[9] >= 0.5*all)
	is.True((tenths[7]+tenths[8])/2 >= 0.5*all)
}
