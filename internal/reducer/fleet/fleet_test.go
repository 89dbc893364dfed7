package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// spec is one request of the load and its outcome.
type spec struct {
	id           string
	kind         string
	document     string
	urgency      oriolebend.Urgency
	promptTokens int
	sharedTokens int
	outputTokens int
	firstWithin  time.Duration

	arrived   time.Time
	first     time.Time
	last      time.Time
	delivered int
	ended     bool
	problem   oriolebend.Reason
}

const betweenWithin = 41 * time.Millisecond

// good reports whether the request met both latency targets.
func (s *spec) good() bool {
	if !s.ended || s.first.Sub(s.arrived) > s.firstWithin {
		return false
	}
	between := s.last.Sub(s.first) / time.Duration(max(1, s.outputTokens-1))
	return between <= betweenWithin
}

// mix is the servers and the peak load of one site.
type mix struct {
	domains         []string
	prefill, decode int
	entries         int
	kvTokens        int
	kinds           []kind
}

// kind is one kind of request at its peak rate.
type kind struct {
	name         string
	urgency      oriolebend.Urgency
	rate         float64 // requests a second
	promptTokens int
	sharedTokens int
	documents    int
	outputTokens int
	firstWithin  time.Duration
}

// fleet is one run.
type fleet struct {
	clock
	mix        mix
	rng        *rand.Rand
	gates      map[string]*simGate
	order      []*simGate
	entries    []*simEntry
	specs      []*spec
	byID       map[string]*spec
	blocks     map[string][]uint64
	exported   map[string]uint32
	stats      stats
	stallShare float64
	sessions   int
	counts     map[string]int
}

// stats are counts of prompt tokens.
type stats struct{ computed, wasted float64 }

// simEntry is one entry with its sessions.
type simEntry struct {
	fleet    *fleet
	name     string
	domain   string
	state    *entry.State
	sessions map[entry.SessionKey]*simSession
}

func newFleet(m mix, c entry.Config, seed uint64) *fleet {
	f := &fleet{
		mix: m, rng: rand.New(rand.NewPCG(seed, 3)), gates: map[string]*simGate{}, byID: map[string]*spec{},
		blocks: map[string][]uint64{}, exported: map[string]uint32{}, counts: map[string]int{},
	}
	f.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range m.prefill + m.decode {
		f.addGate(i)
	}
	for i := range m.entries {
		c.Name = fmt.Sprintf("entry-%d", i)
		c.FailureDomain = m.domains[i%len(m.domains)]
		c.Seed = seed + uint64(i)
		e := &simEntry{fleet: f, name: c.Name, domain: c.FailureDomain, state: entry.New(c), sessions: map[entry.SessionKey]*simSession{}}
		f.entries = append(f.entries, e)
		e.reduce(entry.ServersChanged{At: f.now, Complete: true, Servers: f.servers()})
		f.every(entry.TickEvery, func() { e.reduce(entry.Ticked{At: f.now}) })
	}
	return f
}

func (f *fleet) addGate(i int) {
	role := oriolebend.Prefill
	if i >= f.mix.prefill {
		role = oriolebend.Decode
	}
	g := &simGate{fleet: f, server: oriolebend.Server{
		Name: fmt.Sprintf("server-%d", i), FailureDomain: f.mix.domains[i%len(f.mix.domains)],
		Role: role, State: oriolebend.ServerServing, KVTokens: f.mix.kvTokens, LinkBytes: linkRate,
		Models: []oriolebend.LoadedModel{{Model: "m", Version: "1"}},
	}}
	f.gates[g.server.Name] = g
	f.order = append(f.order, g)
	g.start()
	f.every(100*time.Millisecond, func() { g.reduce(gate.Ticked{At: f.now}) })
	f.every(time.Second, g.renew)
}

func (f *fleet) servers() []oriolebend.Server {
	var servers []oriolebend.Server
	for _, g := range f.order {
		servers = append(servers, g.server)
	}
	return servers
}

func (f *fleet) specOf(a message.Attempt) *spec { return f.byID[a.RequestID] }

func newExports() map[message.Attempt]*simExport { return map[message.Attempt]*simExport{} }

// load draws the arrivals during a time, a Poisson process for each kind.
func (f *fleet) load(scale float64, lasts time.Duration) {
	for _, k := range f.mix.kinds {
		f.arrivals(k, k.rate*scale, lasts)
	}
}

func (f *fleet) arrivals(k kind, rate float64, lasts time.Duration) {
	at := time.Duration(0)
	for {
		at += seconds(f.rng.ExpFloat64() / rate)
		if at > lasts {
			return
		}
		s := f.newSpec(k)
		e := f.entries[f.rng.IntN(len(f.entries))]
		f.after(at, func() { e.arrive(s) })
	}
}

func (f *fleet) newSpec(k kind) *spec {
	vary := func(n int) int { return max(1, int(float64(n)*(0.5+f.rng.Float64()))) }
	s := &spec{
		id: fmt.Sprintf("r%d", len(f.specs)), kind: k.name, urgency: k.urgency, firstWithin: k.firstWithin,
		promptTokens: vary(k.promptTokens), outputTokens: vary(k.outputTokens),
		document: fmt.Sprintf("%s-%d", k.name, f.rng.IntN(max(1, k.documents))),
	}
	s.sharedTokens = min(k.sharedTokens, s.promptTokens-1)
	if f.blocks[s.document] == nil {
		for i := 0; prefix.Tokens(blockTokens, i) <= k.sharedTokens; i++ {
			f.blocks[s.document] = append(f.blocks[s.document], f.rng.Uint64())
		}
	}
	f.specs = append(f.specs, s)
	f.byID[s.id] = s
	return s
}

func (e *simEntry) arrive(s *spec) {
	s.arrived = e.fleet.now
	e.reduce(entry.Arrived{At: e.fleet.now, Request: entry.Request{
		ID: s.id, Scope: message.Scope{Organisation: "org", Operation: s.kind, Key: s.id}, Generated: true,
		Urgency: s.urgency, Model: "m", PromptTokens: s.promptTokens, Prefix: e.fleet.blocks[s.document],
		MaxTokens: s.outputTokens + 32, FirstWithin: s.firstWithin, BetweenWithin: betweenWithin,
	}})
}

// delay returns the latency of one message to or from a gate.
func (e *simEntry) delay(g *simGate) time.Duration {
	if e.domain == g.server.FailureDomain {
		return 300 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

func (e *simEntry) reduce(event entry.Event) {
	for _, effect := range entry.Reduce(e.state, event) {
		e.perform(effect)
	}
}

// recordDelay is the duration of a claim or a settlement.
const recordDelay = 5 * time.Millisecond

func (e *simEntry) perform(effect entry.Effect) {
	f := e.fleet
	switch x := effect.(type) {
	case entry.SendClaim:
		f.after(recordDelay, func() {
			e.reduce(entry.Claimed{At: f.now, RequestID: x.Claim.RequestID, Answer: message.ClaimAnswer{
				Outcome: message.ClaimOwned, RequestID: x.Claim.RequestID, Attempt: 1,
			}})
		})
	case entry.SendSettle:
		f.after(recordDelay, func() {
			e.reduce(entry.Settled{
				At: f.now, RequestID: x.Settle.RequestID, Attempt: x.Settle.Attempt,
				State: x.Settle.State, Accepted: true,
			})
		})
	case entry.OpenSession:
		e.open(x)
	case entry.Send:
		if s := e.sessions[x.Session]; s != nil {
			f.after(e.delay(s.gate), func() { s.toGate(x.Message) })
		}
	case entry.CloseSession:
		e.close(x.Session)
	case entry.Count:
		f.counts[x.Name+" "+string(x.Reason)]++
	default:
		e.answer(effect)
	}
}

func (e *simEntry) answer(effect entry.Effect) {
	f := e.fleet
	switch x := effect.(type) {
	case entry.AnswerPart:
		s := f.byID[x.RequestID]
		if s.first.IsZero() {
			s.first = f.now
		}
		s.last = f.now
		s.delivered += x.Tokens
	case entry.AnswerEnd:
		f.byID[x.RequestID].ended = true
	case entry.AnswerProblem:
		f.byID[x.RequestID].problem = x.Problem.Reason
	}
}

func (e *simEntry) open(x entry.OpenSession) {
	f := e.fleet
	f.sessions++
	g := f.gates[x.Session.Server]
	s := &simSession{id: gate.SessionID(fmt.Sprint(f.sessions)), key: x.Session, entry: e, gate: g}
	e.sessions[x.Session] = s
	f.after(e.delay(g), func() {
		if g.crashed {
			f.after(e.delay(g), func() { s.lost(false) })
			return
		}
		if !s.closed {
			g.sessions[s.id] = s
			g.reduce(gate.Received{At: f.now, Session: s.id, Message: x.Reserve})
		}
	})
}

func (e *simEntry) close(key entry.SessionKey) {
	s := e.sessions[key]
	if s == nil {
		return
	}
	delete(e.sessions, key)
	s.closed = true
	e.fleet.after(e.delay(s.gate), func() {
		if s.gate.sessions[s.id] == s {
			delete(s.gate.sessions, s.id)
			s.gate.reduce(gate.Closed{At: e.fleet.now, Session: s.id})
		}
	})
}

func (s *simSession) toGate(m message.Message) {
	if s.gate.sessions[s.id] == s {
		s.gate.reduce(gate.Received{At: s.entry.fleet.now, Session: s.id, Message: m})
	}
}

func (s *simSession) toEntry(m message.Message) {
	if !s.closed {
		s.entry.reduce(entry.Received{At: s.entry.fleet.now, Session: s.key, Message: m})
	}
}

func (s *simSession) lost(opened bool) {
	if !s.closed {
		s.entry.reduce(entry.SessionLost{At: s.entry.fleet.now, Session: s.key, Opened: opened})
	}
}

// routes are the policies that are compared.
var routes = []policy.Name{policy.Reserve, policy.Random, policy.RoundRobin, policy.LeastLoad, policy.Affinity}
