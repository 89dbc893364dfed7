package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fleet simulates control VMs that count for forwarders, and records every grant.
type fleet struct {
	random   *rand.Rand
	config   Config
	quota    oriolebend.Quota
	now      time.Time
	controls []*control
	// leader is the index of the control VM that the agreement has elected; every control VM
	// that is up knows it.
	leader  int
	granted []grant
}

// grant is one grant and its time.
type grant struct {
	at   time.Time
	cost float64
}

// control is one control VM.
type control struct {
	state *State
	// up is when it begins to answer, lease until when it believes that it leads; behind is
	// for how long it was suspended without having noticed.
	up, lease time.Time
	behind    time.Duration
}

// Timing of the agreement between control VMs: a leader's lease expires before the others
// elect another leader.
const (
	lease    = 450 * time.Millisecond
	election = 600 * time.Millisecond
)

// newFleet draws a random fleet. The parameters are those of a large site or more demanding:
// nearly no slack, or a burst of many seconds.
func newFleet(seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	f := &fleet{random: random, now: scriptStart}
	f.quota = oriolebend.Quota{Unit: oriolebend.QuotaTokens, PerSecond: 20000 + 130000*random.Float64()}
	f.quota.Burst = f.quota.PerSecond * (0.2 + 4*random.Float64())
	f.config = Config{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190000 * random.Float64()}
	for range 3 + random.IntN(4) {
		c := &control{}
		f.controls = append(f.controls, c)
		f.restart(c)
	}
	return f
}

// restart restarts a control VM with an empty state.
func (f *fleet) restart(c *control) {
	*c = control{state: New(f.config), up: f.now.Add(time.Duration(f.random.Int64N(int64(time.Second))))}
	f.update(c)
}

// update reports the declared quota and the leadership to a control VM.
func (f *fleet) update(c *control) {
	at := f.clock(c)
	lead, leader := at.Before(c.lease), fmt.Sprint(f.leader)
	if lead {
		leader = "self"
	}
	Reduce(c.state, LeadershipObserved{At: at, Lead: lead, Leader: leader, Members: len(f.controls)})
	Reduce(c.state, Declared{At: at, Organisations: []oriolebend.Organisation{{Name: "a", Quota: f.quota}}})
}

// clock returns the steady clock of a control VM, which stops while the VM is suspended.
func (f *fleet) clock(c *control) time.Time { return f.now.Add(-c.behind) }

// step advances the time. A control VM may be killed or suspended, or the leader may change,
// and forwarders request units.
func (f *fleet) step() {
	f.now = f.now.Add(time.Duration(1+f.random.IntN(40)) * time.Millisecond)
	if c := f.controls[f.leader]; !f.now.Before(c.up) && f.random.IntN(200) > 0 {
		c.lease = f.clock(c).Add(lease) // a quorum has answered
	} else {
		f.elect()
	}
	if f.random.IntN(200) == 0 {
		f.disrupt(f.controls[f.random.IntN(len(f.controls))])
	}
	for range f.random.IntN(12) {
		f.request()
	}
}

// elect makes another control VM the leader after the previous leader's lease has expired.
func (f *fleet) elect() {
	f.now = f.now.Add(election)
	f.leader = f.random.IntN(len(f.controls))
	c := f.controls[f.leader]
	if !f.now.Before(c.up) {
		c.lease = f.clock(c).Add(lease)
	}
}

// disrupt kills or suspends a control VM.
func (f *fleet) disrupt(c *control) {
	if f.random.IntN(2) == 0 {
		f.restart(c)
		return
	}
	suspended := time.Duration(1+f.random.IntN(5)) * time.Second
	c.behind += suspended
	c.up = f.now.Add(suspended)
	if c == f.controls[f.leader] {
		f.elect()
	}
	f.now = c.up
	Reduce(c.state, ClockJumped{At: f.clock(c)}) // a control VM compares its clocks before it answers
}

// request requests units as a forwarder that reaches some control VMs, with or without the
// leader. Callers request several times the quota.
func (f *fleet) request() {
	cost := 200.0
	if f.random.IntN(2) == 0 {
		cost = 2000 + 7000*f.random.Float64()
	}
	queried := []int{f.leader, f.random.IntN(len(f.controls)), f.random.IntN(len(f.controls))}
	for _, at := range queried[f.random.IntN(2):] {
		c := f.controls[at]
		if f.now.Before(c.up) {
			continue
		}
		f.update(c)
		a := Reduce(c.state, Requested{At: f.clock(c), Organisation: "a", Cost: cost, Call: f.random.Uint64N(50), Rank: f.random.IntN(4)})[0]
		if a.Granted {
			f.granted = append(f.granted, grant{f.now, cost})
		}
		if a.Granted || a.Exhausted {
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

// TestQuotaHoldsOverTheFleet guards against an organisation that is served beyond its quota. It
// requests several times its quota at several ranks while control VMs are killed and suspended and the leader
// changes; forwarders query the leader, or another control VM that they believe to lead. One
// control VM does not know what another one has granted.
func TestQuotaHoldsOverTheFleet(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(seed)
			for end := f.now.Add(40 * time.Second); f.now.Before(end); {
				f.step()
			}
			q, w := f.quota, f.config.Window
			bound := (q.PerSecond*w.Seconds()+q.Burst)*(1+f.config.Overshoot) + f.config.Slack
			worst := f.worst(w)
			if worst > bound {
				t.Fatalf("%.0f units were granted within %s, the bound is %.0f", worst, w, bound)
			}
			is.New(t).True(len(f.granted) > 100)
		})
	}
}

// TestCallersBelowTheirQuotaAreServed guards against refusals of callers below their quota after a
// restart. All control VMs are killed and are up again within a second, while callers request half
// of the quota. Buckets begin empty, and the reserves must last until the leader's buckets have
// filled.
func TestCallersBelowTheirQuotaAreServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.quota = oriolebend.Quota{PerSecond: 47000, Burst: 47000}
	f.config.Slack = 190000
	for _, c := range f.controls {
		f.restart(c)
	}
	f.now = f.now.Add(time.Second)
	requested, refused := 0, 0
	for i := range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		c := f.controls[0]
		if i == 50 {
			f.restart(c)
			c.up = f.now
		}
		c.lease = f.clock(c).Add(lease)
		f.update(c)
		a := Reduce(c.state, Requested{At: f.now, Organisation: "a", Cost: 2350, Call: uint64(i)})[0]
		requested++
		if !a.Granted {
			refused++
		}
	}
	is.Equal(requested, 100)
	is.Equal(refused, 0)
}
