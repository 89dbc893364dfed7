package quotalease

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fleet simulates control VMs that count, and records every grant.
type fleet struct {
	*agreement
	counters map[string]*quota.State
	config   quota.Config
	quota    oriolebend.Quota
	granted  []grant
	// calm is the mean number of steps between two faults. While idle is set nothing is requested,
	// so that buckets fill.
	calm   int
	idle   bool
	leased int
}

type grant struct {
	at   time.Time
	cost float64
}

// newFleet draws a random fleet of the given number of control VMs. The parameters are those of a
// large site or more demanding: nearly no slack, or a burst of many seconds.
func newFleet(seed uint64, count int) *fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	f := &fleet{agreement: newAgreement(strings.Split("abcdef"[:count], ""), random), counters: map[string]*quota.State{}}
	f.quota = oriolebend.Quota{Unit: oriolebend.QuotaTokens, PerSecond: 20000 + 130000*random.Float64()}
	f.quota.Burst = f.quota.PerSecond * (0.2 + 4*random.Float64())
	f.config = quota.Config{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190000 * max(0, random.Float64()-0.5)}
	f.calm = 40 + random.IntN(400)
	for _, name := range f.names {
		f.restartCounter(name, f.randomUpTo(time.Second))
	}
	return f
}

func (f *fleet) restartCounter(name string, down time.Duration) {
	f.restartMember(name, down)
	f.counters[name] = quota.New(f.config)
}

// update reports the declared quota, the leadership and the leases to the counter of a control VM.
func (f *fleet) update(name string) {
	n, c, at := f.nodes[name], f.counters[name], f.clock(name)
	f.expire(name)
	jumped := n.jumped
	f.observe(name)
	leases := quota.Leases{Enabled: true, Share: n.state.Share(at), Lent: n.state.Holder(at) != ""}
	quota.Reduce(c, quota.LeadershipObserved{
		At: at, Lead: n.leader == name, Leader: n.leader, Members: len(f.names), Leases: leases,
	})
	if jumped {
		quota.Reduce(c, quota.ClockJumped{At: at})
	}
	quota.Reduce(c, quota.Declared{At: at, Organisations: []oriolebend.Organisation{{Name: "o", Quota: f.quota}}})
}

func (f *fleet) step() {
	f.advanceAgreement()
	f.advance()
	if f.random.IntN(f.calm) == 0 {
		f.disrupt()
	}
	if f.random.IntN(200) == 0 {
		f.idle = !f.idle
	}
	if f.idle {
		return
	}
	for range f.random.IntN(12) {
		f.request()
	}
}

func (f *fleet) disrupt() {
	name := f.names[f.random.IntN(len(f.names))]
	for _, other := range f.names {
		if f.voters[other].leads && f.random.IntN(3) == 0 {
			name = other // the leader fails more often than others
		}
	}
	down := f.randomUpTo(3 * time.Second)
	switch f.random.IntN(9) {
	case 0, 1, 2:
		sides := make([]string, 2+f.random.IntN(2))
		for _, n := range f.names {
			side := f.random.IntN(len(sides))
			sides[side] += n
		}
		f.partition(sides)
	case 3:
		clear(f.cut)
	case 4:
		f.cut[name+" "+f.names[f.random.IntN(len(f.names))]] = true
	case 5:
		f.restartCounter(name, down)
	case 6: // frozen
		f.nodes[name].up = f.now.Add(down)
	case 7: // suspended
		f.nodes[name].up, f.nodes[name].jumped = f.now.Add(down), true
		f.nodes[name].behind += down
	case 8:
		if f.random.IntN(4) == 0 {
			f.loseEverything()
		}
	}
}

func (f *fleet) loseEverything() {
	for _, name := range f.names {
		f.restartCounter(name, f.randomUpTo(time.Second))
	}
}

// request requests units as a forwarder that reaches some control VMs on all sides, and tries
// further ones after a refusal.
func (f *fleet) request() {
	cost := 200.0
	if f.random.IntN(2) == 0 {
		cost = 2000 + 7000*f.random.Float64()
	}
	for _, i := range f.random.Perm(len(f.names)) {
		name := f.names[i]
		if !f.isUp(name) || f.random.IntN(4) == 0 {
			continue
		}
		f.update(name)
		c := f.counters[name]
		a := quota.Reduce(c, quota.Requested{At: f.clock(name), Organisation: "o", Cost: cost, Call: f.random.Uint64N(50)})[0]
		if a.Granted {
			f.granted = append(f.granted, grant{f.now, cost})
			if n := f.nodes[name]; n.leader == "" && n.state.Share(f.clock(name)) > 0 {
				f.leased++
			}
			return
		}
	}
}

// worst returns the largest amount that was granted within a window.
func (f *fleet) worst(window time.Duration) float64 {
	worst, sum, from := 0.0, 0.0, 0
	for _, g := range f.granted {
		sum += g.cost
		for g.at.Sub(f.granted[from].at) > window {
			sum -= f.granted[from].cost
			from++
		}
		worst = max(worst, sum)
	}
	return worst
}

// TestLeasesKeepTheBound guards against an organisation that is served beyond its quota by several
// control VMs that grant under leases or as leaders. It requests several times its quota from
// control VMs on all sides, while these are partitioned, restarted, frozen and suspended.
func TestLeasesKeepTheBound(t *testing.T) {
	leased := 0
	for seed := range uint64(90) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(seed, 1+int(seed%6))
			for end := f.now.Add(30 * time.Second); f.now.Before(end); {
				f.step()
			}
			q, w := f.quota, f.config.Window
			bound := (q.PerSecond*w.Seconds()+q.Burst)*(1+f.config.Overshoot) + f.config.Slack
			if worst := f.worst(w); worst > bound {
				t.Errorf("%.0f units were granted within %s, the bound is %.0f", worst, w, bound)
			}
			leased += f.leased
		})
	}
	is.New(t).True(leased > 10000) // the leases were in use
}
