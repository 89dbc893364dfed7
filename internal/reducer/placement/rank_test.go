package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// rankedSite is a site whose callers send generations of three ranks.
type rankedSite struct {
	name string
	// prefill and decode are the numbers of engines, capacity the generations a second that
	// they can serve.
	prefill, decode int
	capacity        float64
	// mix is the share of the generations at each rank.
	mix [3]float64
}

// The engines have room for seven generations of the usual size, which write for three seconds,
// and prefill 50 tokens a millisecond.
const (
	rankedMemory  = 46_927
	rankedPrompt  = 5200
	rankedOutput  = 900
	rankedWriting = 3 * time.Second
	rankedPrefill = 50.0
	rankedStep    = 5 * time.Millisecond
)

var (
	rankTargets = [3]time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second}
	rankMix     = [3]float64{0.29, 0.40, 0.31}
	memoryShort = rankedSite{name: "memory", prefill: 12, decode: 20, capacity: 42, mix: rankMix}
	promptShort = rankedSite{name: "prefill", prefill: 3, decode: 20, capacity: 28, mix: rankMix}
)

// rankedCall is one call, which is repeated once if it is refused.
type rankedCall struct {
	key                                    Key
	rank                                   int
	need                                   dispatch.Need
	at, granted, prefilled, ended, repeats time.Time
	refused, repeated                      bool
}

func (c *rankedCall) served() bool { return !c.granted.IsZero() }

func (c *rankedCall) late() bool { return c.prefilled.Sub(c.at) > rankTargets[c.rank] }

// rankedRun simulates a site.
type rankedRun struct {
	site     rankedSite
	random   *rand.Rand
	state    *State
	now      time.Time
	calls    []*rankedCall
	byKey    map[Key]*rankedCall
	queues   map[string]time.Time // until when each engine prefills
	running  []*rankedCall
	refused  []*rankedCall
	decision []string
}

func newRankedRun(site rankedSite, seed uint64, disable bool) *rankedRun {
	r := &rankedRun{
		site: site, random: rand.New(rand.NewPCG(seed, 0)), state: New(seed), now: scriptStart,
		byKey: map[Key]*rankedCall{}, queues: map[string]time.Time{},
	}
	var engines []message.BackendServer
	for i := range site.prefill + site.decode {
		role := oriolebend.Decode
		if i < site.prefill {
			role = oriolebend.Prefill
		}
		engines = append(engines, message.BackendServer{Instance: fmt.Sprint("e", i), Service: "s", Phase: message.PhaseReady, Role: role})
	}
	Reduce(r.state, Configured{DisableRanks: disable})
	Reduce(r.state, Fleet{
		Services: dispatch.Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: rankedMemory}}}},
		Servers:  dispatch.Fleet{Servers: engines, Forwarders: 1},
	})
	return r
}

// play sends a multiple of the site's capacity, and returns the calls.
func (r *rankedRun) play(length time.Duration, load float64) []*rankedCall {
	first := len(r.calls)
	for range int(length / rankedStep) {
		r.pass()
		for rank, share := range r.site.mix {
			if r.random.Float64() < load*r.site.capacity*share*rankedStep.Seconds() {
				r.request(r.draw(rank))
			}
		}
	}
	return r.calls[first:]
}

func (r *rankedRun) draw(rank int) *rankedCall {
	size := rankedPrompt * math.Exp(0.5*r.random.NormFloat64()-0.125)
	c := &rankedCall{rank: rank, at: r.now, key: Key{Session: 1, ID: uint64(len(r.calls) + 1)}, need: dispatch.Need{
		Service: "s", Prompt: int(min(size, 3*rankedPrompt)), Output: rankedOutput, FirstWithin: rankTargets[rank], PauseWithin: 100 * time.Millisecond,
	}}
	r.calls = append(r.calls, c)
	return c
}

func (r *rankedRun) request(c *rankedCall) {
	r.byKey[c.key] = c
	slack := time.Duration(0.9*float64(rankTargets[c.rank])) - time.Duration(1.3*float64(promptTime(c)))
	r.apply(Reduce(r.state, Requested{
		At: r.now, Key: c.key, Need: c.need, Rank: c.rank, Call: c.key.ID,
		InTime: r.now.Add(slack), Until: r.now.Add(3 * rankTargets[c.rank]),
	}))
}

func promptTime(c *rankedCall) time.Duration {
	return time.Duration(float64(c.need.Prompt) / rankedPrefill * float64(time.Millisecond))
}

func (r *rankedRun) apply(list []Answer) {
	for _, a := range list {
		c := r.byKey[a.Key]
		if a.Grant == nil {
			r.decision = append(r.decision, fmt.Sprint(c.key, a.Refused))
			c.refused, c.repeats = true, r.now.Add(a.Refused.RetryAfter)
			r.refused = append(r.refused, c)
			continue
		}
		engine, took := a.Grant.Server.Instance, 2*promptTime(c) // without a prefill engine
		if a.Grant.Prefill != nil {
			engine, took = a.Grant.Prefill.Instance, promptTime(c)
		}
		r.decision = append(r.decision, fmt.Sprint(c.key, a.Grant.Server.Instance, engine))
		begin := r.now
		if queued := r.queues[engine]; queued.After(begin) {
			begin = queued
		}
		c.granted, c.prefilled = r.now, begin.Add(took)
		c.ended = c.prefilled.Add(time.Duration((0.7 + 0.6*r.random.Float64()) * float64(rankedWriting)))
		r.queues[engine] = c.prefilled
		r.running = append(r.running, c)
	}
}

// pass advances the time by a step.
func (r *rankedRun) pass() {
	before := r.now
	r.now = r.now.Add(rankedStep)
	running, refused := r.running, r.refused
	r.running, r.refused = nil, nil
	for _, c := range running {
		if c.prefilled.After(before) && !c.prefilled.After(r.now) {
			Reduce(r.state, PrefillEnded{At: r.now, Key: c.key, Took: c.prefilled.Sub(c.granted)})
		}
		if c.ended.After(r.now) {
			r.running = append(r.running, c)
			continue
		}
		r.apply(Reduce(r.state, Ended{At: r.now, Key: c.key, Outcome: dispatch.OutcomeAnswered}))
	}
	for _, c := range refused {
		switch {
		case c.repeats.After(r.now):
			r.refused = append(r.refused, c)
		case !c.repeated:
			c.repeated = true
			r.request(c)
		}
	}
	r.apply(Reduce(r.state, Ticked{At: r.now}))
}

// rankShares is how many calls of a rank were refused at first, served, and served late.
type rankShares struct{ calls, refused, served, late float64 }

func (s *rankShares) add(c *rankedCall) {
	count := func(to *float64, condition bool) {
		if condition {
			*to++
		}
	}
	count(&s.calls, true)
	count(&s.refused, c.refused)
	count(&s.served, c.served())
	count(&s.late, c.served() && c.late())
}

// shortageByRank plays peaks of a multiple of the site's capacity.
func shortageByRank(site rankedSite, load float64, disable bool) (byRank [3]rankShares, all rankShares) {
	for seed := range uint64(3) {
		r := newRankedRun(site, seed, disable)
		r.play(15*time.Second, 0.6)
		calls := r.play(10*time.Second, load)
		r.play(7*time.Second, 0.6)
		for _, c := range calls {
			byRank[c.rank].add(c)
			all.add(c)
		}
	}
	return byRank, all
}

// TestRanksInAShortage guards against urgent requests that are refused or late because less urgent
// ones hold the memory, or wait before them in the queues of prefill engines. Rank 0 must be
// refused at most half as often as rank 2 and not late more often, and rank 2 must be served at
// least 0.6 times as often as all calls.
func TestRanksInAShortage(t *testing.T) {
	for _, site := range []rankedSite{memoryShort, promptShort} {
		for _, load := range []float64{1.3, 2} {
			t.Run(fmt.Sprint(site.name, load), func(t *testing.T) {
				is := is.New(t)
				for _, disable := range []bool{true, false} {
					ranks, all := shortageByRank(site, load, disable)
					for rank, s := range ranks {
						t.Logf("disabled %v, rank %d: refused %.3f, served %.3f, late %.3f", disable, rank, s.refused/s.calls, s.served/s.calls, s.late/s.calls)
					}
					if disable {
						continue
					}
					is.True(ranks[0].refused/ranks[0].calls <= 0.5*ranks[2].refused/ranks[2].calls)
					is.True(ranks[0].late/ranks[0].calls <= ranks[2].late/ranks[2].calls)
					is.True(ranks[2].served/ranks[2].calls >= 0.6*all.served/all.calls)
				}
			})
		}
	}
}

// TestRanksChangeNothingElse guards against decisions that change where ranks make no difference:
// without a shortage, and with requests of one rank.
func TestRanksChangeNothingElse(t *testing.T) {
	one := promptShort
	one.mix = [3]float64{1, 0, 0}
	last := memoryShort
	last.mix = [3]float64{0, 0, 1}
	for _, peak := range []struct {
		site rankedSite
		load float64
	}{{memoryShort, 0.6}, {one, 2}, {last, 2}} {
		is := is.New(t)
		with, without := newRankedRun(peak.site, 1, false), newRankedRun(peak.site, 1, true)
		for _, r := range []*rankedRun{with, without} {
			r.play(10*time.Second, 0.6)
			r.play(10*time.Second, peak.load)
		}
		is.True(len(with.decision) > 300)
		is.Equal(with.decision, without.decision)
	}
}
