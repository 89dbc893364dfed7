package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/order"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// sidecar is a server with its order reducer and a model of its engine and gate.
type sidecar struct {
	fleet    *fleet
	name     string
	orders   *order.State
	info     engine.Info
	state    oriolebend.ServerState
	inFlight []engine.Order
	// permits are requests to the leader that are in flight.
	permits []message.Permit
	busy    bool
}

// fleet connects sidecars to the leader over links that lose and delay messages.
type fleet struct {
	*leader
	t        *rapid.T
	sidecars map[string]*sidecar
	order    []string
	lossy    bool
	failing  bool // engines fail to load weights
}

const rolloutTick = 500 * time.Millisecond

func newFleet(t *rapid.T, servers int) *fleet {
	f := &fleet{leader: newLeader(), t: t, sidecars: map[string]*sidecar{}}
	f.reduce(LeadershipGained{At: f.now, View: f.log.View().Copy()})
	for i := range servers {
		s := &sidecar{fleet: f, name: fmt.Sprintf("s%d", i)}
		s.orders = order.New(order.Config{Server: s.name, Incarnation: 1, QuietFor: 5 * time.Second})
		s.info = engine.Info{
			Role: oriolebend.Decode, Incarnation: 1,
			Models: []oriolebend.LoadedModel{{Model: "m", Version: "v1"}},
		}
		f.sidecars[s.name] = s
		f.order = append(f.order, s.name)
		s.reduce(order.Started{At: f.now})
	}
	return f
}

func (f *fleet) declare(version string, minimum, maxOut int) {
	f.apply(oriolebend.KindModel, "m", &oriolebend.Model{Versions: []string{"v1", "v2", "v3"}})
	for _, v := range []string{"v1", "v2", "v3"} {
		spec := &oriolebend.Version{Model: "m", Version: v, WeightURL: "w://" + v, WeightBytes: 1}
		f.apply(oriolebend.KindVersion, oriolebend.VersionName("m", v), spec)
	}
	f.apply(oriolebend.KindPool, "p", &oriolebend.Pool{
		Role: oriolebend.Decode, Model: "m", Version: version, MinServers: minimum, MaxOut: maxOut,
		Selector: &oriolebend.Selector{NamePrefix: "s"},
	})
}

func (f *fleet) apply(kind oriolebend.ResourceKind, name string, spec oriolebend.Spec) {
	r := &oriolebend.Resource{Kind: kind, Name: name, Spec: spec}
	o := &declared.Order{Action: oriolebend.ActionApply, Kind: kind, Name: name, Resource: r}
	if result := f.log.Apply(0, declared.Command{Order: o}); !result.Done() {
		f.t.Fatalf("%+v", result)
	}
	f.reduce(Committed{At: f.now, View: f.log.View().Copy()})
}

// serving counts the servers that actually do the work of the pool.
func (f *fleet) serving() int {
	count := 0
	for _, s := range f.sidecars {
		if s.state == oriolebend.ServerServing && len(s.info.Models) > 0 {
			count++
		}
	}
	return count
}

func (f *fleet) lost() bool {
	return f.lossy && rapid.IntRange(0, 3).Draw(f.t, "lost") == 0
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(rolloutTick)
		f.reduce(Ticked{At: f.now})
		for _, name := range f.order {
			f.sidecars[name].tick()
		}
	}
}

func (s *sidecar) server() oriolebend.Server {
	return oriolebend.Server{
		Name: s.name, Incarnation: 1, Role: s.info.Role, State: s.state, Models: append([]oriolebend.LoadedModel{}, s.info.Models...),
	}
}

func (s *sidecar) tick() {
	f := s.fleet
	if !f.lost() {
		f.reduce(Announced{At: f.now, Announce: message.Announce{Server: s.server()}})
	}
	if !f.lost() { // the update of the declared state
		view := f.log.View()
		event := order.Declared{At: f.now, Revision: view.Revision, Target: view.TargetOf(s.server())}
		if self, member := view.Servers[s.name]; member {
			event.Self = &self
		}
		s.reduce(event)
	}
	s.deliverPermits()
	s.deliverOrders()
	if s.state != oriolebend.ServerServing && !s.busy {
		s.reduce(order.WorkEnded{At: f.now})
	}
	s.reduce(order.Ticked{At: f.now})
}

// deliverPermits delivers the permit requests to the leader; a request or its answer may be lost.
func (s *sidecar) deliverPermits() {
	permits := s.permits
	s.permits = nil
	for _, p := range permits {
		if s.fleet.lost() {
			s.reduce(order.PermitLost{At: s.fleet.now})
			continue
		}
		answer := s.fleet.members.answerPermit(s.fleet.now, p)
		if s.fleet.lost() {
			s.reduce(order.PermitLost{At: s.fleet.now})
			continue
		}
		s.reduce(order.PermitAnswered{At: s.fleet.now, Answer: answer})
	}
}

func (s *sidecar) deliverOrders() {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, o := range inFlight {
		if s.fleet.failing && o.Action == engine.OrderLoad {
			s.reduce(order.Finished{At: s.fleet.now, Reason: oriolebend.ReasonEngineFailed})
			continue
		}
		switch o.Action {
		case engine.OrderLoad:
			s.info.Models = []oriolebend.LoadedModel{{Model: o.Model, Version: o.Version}}
		case engine.OrderUnload:
			s.info.Models = nil
		}
		s.reduce(order.Finished{At: s.fleet.now})
	}
}

func (s *sidecar) reduce(e order.Event) {
	for _, effect := range order.Reduce(s.orders, e) {
		switch e := effect.(type) {
		case order.SetState:
			s.state = e.State
		case order.QueryEngine:
			info := s.info
			s.reduce(order.EngineKnown{At: s.fleet.now, Number: e.Number, Info: info})
		case order.RequestPermit:
			s.permits = append(s.permits, e.Permit)
		case order.Issue:
			s.inFlight = append(s.inFlight, e.Order)
		}
	}
}

// TestRolloutsKeepTheMinimum guards against requests that are refused during a rollout because
// two servers are out of work where the pool tolerates one: both have a permit from different
// leaders, or a server that already has a permit is counted as serving. It rolls out versions
// while messages are lost, the leader changes, running work ends late and loads fail.
func TestRolloutsKeepTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 5).Draw(t, "servers")
		minimum := rapid.IntRange(1, servers-1).Draw(t, "minimum")
		maxOut := rapid.IntRange(0, 3).Draw(t, "maxOut")
		f := newFleet(t, servers)
		f.declare("v1", minimum, maxOut)
		f.advance(20 * time.Second)
		if f.serving() != servers {
			t.Fatalf("%d of %d servers are serving", f.serving(), servers)
		}
		f.lossy = true
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			f.randomStep(minimum, maxOut)
		}
		f.lossy, f.failing = false, false
		for _, s := range f.sidecars {
			s.busy = false
		}
		f.checkMinimum(minimum, 5*time.Minute)
		for _, s := range f.sidecars {
			if !s.orders.Settled() {
				t.Fatalf("%s is not settled: %+v", s.name, s.info)
			}
		}
	})
}

// checkMinimum advances the clock and checks the minimum of serving servers at each tick.
func (f *fleet) checkMinimum(minimum int, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(rolloutTick)
		if n := f.serving(); n < minimum {
			f.t.Fatalf("%d servers are serving, minimum %d", n, minimum)
		}
	}
}

func (f *fleet) randomStep(minimum, maxOut int) {
	switch rapid.IntRange(0, 5).Draw(f.t, "step") {
	case 0:
		f.declare(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(f.t, "version"), minimum, maxOut)
	case 1: // a new leader, which knows only the log
		f.members = New(Config{})
		f.reduce(LeadershipGained{At: f.now, View: f.log.View().Copy()})
	case 2:
		f.failing = !f.failing
	case 3:
		s := f.sidecars[rapid.SampledFrom(f.order).Draw(f.t, "server")]
		s.busy = !s.busy
	}
	f.checkMinimum(minimum, time.Duration(rapid.IntRange(1, 40).Draw(f.t, "seconds"))*time.Second)
}
