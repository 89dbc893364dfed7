package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// simGate is one sidecar with its engine.
type simGate struct {
	fleet    *fleet
	server   oriolebend.Server
	state    *gate.State
	engine   *simEngine
	sessions map[gate.SessionID]*simSession
	// epoch increases with each crash; work in progress of an earlier epoch is void.
	epoch   int
	crashed bool
}

// simSession is one session between an entry and a gate.
type simSession struct {
	id     gate.SessionID
	key    entry.SessionKey
	entry  *simEntry
	gate   *simGate
	closed bool
}

// start starts a new incarnation of the sidecar and its engine.
func (g *simGate) start() {
	g.crashed = false
	g.state = gate.New(gate.Config{})
	g.engine = &simEngine{gate: g, exports: newExports()}
	g.engine.link = &simLink{engine: g.engine, updated: g.fleet.now}
	g.sessions = map[gate.SessionID]*simSession{}
	g.server.Incarnation++
	g.declare(oriolebend.ServerServing)
	g.reduce(gate.EngineKnown{At: g.fleet.now, Info: engine.Info{
		Role: g.server.Role, Models: g.server.Models, KVTokens: g.server.KVTokens,
		LinkBytes: linkRate, BlockTokens: blockTokens, Incarnation: g.server.Incarnation,
	}})
}

func (g *simGate) declare(state oriolebend.ServerState) {
	g.reduce(gate.Declared{At: g.fleet.now, State: state})
}

// announce reports the present state of the server to the entries.
func (g *simGate) announce() {
	f := g.fleet
	f.after(500*time.Millisecond, func() {
		for _, e := range f.entries {
			e.reduce(entry.ServersChanged{At: f.now, Servers: []oriolebend.Server{g.server}})
		}
	})
}

// crash ends the process of the sidecar and the work of its engine.
func (g *simGate) crash() {
	g.crashed = true
	g.epoch++
	for a := range g.engine.exports {
		g.engine.dropExport(a)
	}
	for _, p := range g.engine.queue {
		g.fleet.stats.wasted += float64(p.spec.promptTokens-p.cached) - p.left
	}
	for _, id := range slices.Sorted(maps.Keys(g.sessions)) {
		s := g.sessions[id]
		g.fleet.after(s.entry.delay(g), func() { s.lost(true) })
	}
}

func (g *simGate) reduce(e gate.Event) {
	if g.crashed {
		return
	}
	for _, effect := range gate.Reduce(g.state, e) {
		g.perform(effect)
	}
}

func (g *simGate) perform(effect gate.Effect) {
	f := g.fleet
	switch e := effect.(type) {
	case gate.Reply:
		if s := g.sessions[e.Session]; s != nil {
			f.after(s.entry.delay(g), func() { s.toEntry(e.Message) })
		}
	case gate.EndSession:
		if s := g.sessions[e.Session]; s != nil {
			delete(g.sessions, e.Session)
			f.after(s.entry.delay(g), func() { s.lost(true) })
		}
	case gate.RunPrefill:
		f.exported[e.Request.Attempt.RequestID] = e.Request.Attempt.Number
		g.engine.prefill(e.Request)
	case gate.RunDecode:
		g.engine.decode(e.Request)
	case gate.CancelWork:
		g.engine.cancel(e.Attempt)
		g.later(func() { g.reduce(gate.Cancelled{At: f.now, Attempt: e.Attempt}) })
	case gate.ListWork:
		work := g.engine.work()
		g.later(func() { g.reduce(gate.WorkListed{At: f.now, Work: work}) })
	case gate.ListCache:
		index := engine.CacheIndex{Sequence: g.engine.seq}
		for _, document := range g.engine.cache {
			index.Blocks = append(index.Blocks, f.blocks[document]...)
		}
		g.later(func() { g.reduce(gate.CacheListed{At: f.now, Index: index}) })
	}
}

// later runs a function after the time that the sidecar's engine takes to answer, unless the
// server has crashed since.
func (g *simGate) later(run func()) {
	epoch := g.epoch
	g.fleet.after(time.Millisecond, func() {
		if epoch == g.epoch {
			run()
		}
	})
}

func (g *simGate) renew() {
	for _, id := range slices.Sorted(maps.Keys(g.sessions)) {
		g.reduce(gate.Renewed{At: g.fleet.now, Session: id})
	}
}
