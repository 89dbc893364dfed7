package experiment

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	gateTick   = 50 * time.Millisecond
	renewEvery = 500 * time.Millisecond
	// announceDelay is the time until an announcement of a sidecar reaches the
	// entries through the control VMs.
	announceDelay = 50 * time.Millisecond
	// maxDrainTime bounds how long a run continues after Scenario.Duration, so
	// that requests in progress can end.
	maxDrainTime = 60 * time.Second
)

// world is the state of one simulation run: one variant under one load.
type world struct {
	clock    clock
	links    links
	scenario *Scenario
	rng      *rand.Rand
	start    time.Time
	entries  []*entryNode
	nodes    []*node
	byName   map[string]*node
	arrivals map[string]*arrival
	outcomes map[string]*outcome
	prefills []*prefillWork
	sessions int
	counts   map[string]int
	// controlBytes is the encoded size of the messages between entries and gates
	// that reserve and release capacity.
	controlBytes int
	// reserved is the decode memory that was granted and waited for the start of
	// its decode, integrated over time, in token seconds.
	reserved float64
	// idle and held are the unused and the reserved share of the decode memory,
	// averaged over the counted time.
	idle, held float64
}

// entryNode is one simulated entry: its reducer state and its open sessions.
type entryNode struct {
	name     string
	domain   string
	state    *entry.State
	sessions map[entry.SessionKey]*session
}

// session is a connection between an entry and a gate.
type session struct {
	id    gate.SessionID
	key   entry.SessionKey
	entry *entryNode
	node  *node
	// tokens is the decode memory that the session reserves; grantedAt is when it
	// was granted, zero before.
	tokens    int
	grantedAt time.Time
}

// outcome is the answer that the caller of one request received.
type outcome struct {
	tokens      int
	first, last time.Time
	done        bool
	problem     *oriolebend.Problem
}

func newWorld(s *Scenario, v Variant, seed uint64, arrivals []arrival) *world {
	w := &world{
		scenario: s,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		start:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byName:   map[string]*node{},
		arrivals: map[string]*arrival{},
		outcomes: map[string]*outcome{},
		counts:   map[string]int{},
	}
	w.clock.now = w.start
	w.links = links{clock: &w.clock, rate: s.Engine.LinkBytes, updated: w.start}
	w.addServers()
	w.addEntries(v, seed)
	for i := range arrivals {
		a := &arrivals[i]
		w.arrivals[a.id] = a
		w.outcomes[a.id] = &outcome{}
		e := w.entries[a.entry]
		w.clock.after(a.at, func() { w.reduceEntry(e, entry.Arrived{At: w.clock.now, Request: a.request()}) })
	}
	if every := time.Duration(s.Crashes.Every); every > 0 {
		w.clock.after(every, func() { w.crashNext(0) })
	}
	return w
}

func (w *world) addServers() {
	for _, p := range w.scenario.Pools {
		for i := range p.Count {
			n := &node{
				Server: oriolebend.Server{
					Name:          fmt.Sprintf("%s%d", p.NamePrefix, i+1),
					FailureDomain: p.FailureDomains[i%len(p.FailureDomains)],
					Role:          p.Role,
					State:         oriolebend.ServerServing,
					Models:        []oriolebend.LoadedModel{{Model: modelName, Version: "1"}},
					KVTokens:      p.KVTokens,
					LinkBytes:     w.scenario.Engine.LinkBytes,
					Incarnation:   1,
				},
				world: w, kv: p.KVTokens, sessions: map[gate.SessionID]*session{}, usedSince: w.start,
				gate: gate.New(gate.Config{}),
			}
			w.nodes = append(w.nodes, n)
			w.byName[n.Name] = n
			n.boot()
			w.every(gateTick, func() { n.reduce(gate.Ticked{At: w.clock.now}) })
			w.every(renewEvery, n.renew)
			w.clock.after(0, n.reportLoad)
		}
	}
}

func (w *world) addEntries(v Variant, seed uint64) {
	var servers []oriolebend.Server
	var domains []string
	for _, n := range w.nodes {
		servers = append(servers, n.Server)
	}
	for _, p := range w.scenario.Pools {
		domains = append(domains, p.FailureDomains...)
	}
	for i := range w.scenario.Entries {
		e := &entryNode{
			name:     fmt.Sprintf("entry-%d", i+1),
			domain:   domains[i%len(domains)],
			sessions: map[entry.SessionKey]*session{},
		}
		e.state = entry.New(entry.Config{
			Name: e.name, FailureDomain: e.domain, Seed: seed + uint64(i), Route: v.Route,
			Probes: v.Probes, DecodeProbes: v.DecodeProbes, ProbeInParallel: v.ProbeInParallel, AdmitAll: v.AdmitAll,
		})
		w.entries = append(w.entries, e)
		w.reduceEntry(e, entry.ServersChanged{At: w.clock.now, Servers: servers, Complete: true})
		w.every(entry.TickEvery, func() { w.reduceEntry(e, entry.Ticked{At: w.clock.now}) })
	}
}

func (w *world) every(period time.Duration, run func()) {
	w.clock.after(period, func() {
		run()
		w.every(period, run)
	})
}

// run simulates the time during which requests arrive, and then the time until all
// requests have ended or maxDrainTime has passed.
func (w *world) run() {
	warm := w.start.Add(time.Duration(w.scenario.WarmUp))
	end := w.start.Add(time.Duration(w.scenario.Duration))
	w.clock.runUntil(warm)
	used := w.usedTokenSeconds()
	w.reserved = 0
	w.clock.runUntil(end)
	w.measureMemory(w.usedTokenSeconds()-used, end.Sub(warm))
	for limit := end.Add(maxDrainTime); w.clock.now.Before(limit) && w.openRequests() > 0; {
		w.clock.runUntil(w.clock.now.Add(time.Second))
	}
}

// usedTokenSeconds returns the decode memory in use since the start of the run, summed
// over the decode nodes, in token seconds.
func (w *world) usedTokenSeconds() float64 {
	sum := 0.0
	for _, n := range w.nodes {
		n.changeUsed(0)
		if n.Role == oriolebend.Decode {
			sum += n.usedTotal
		}
	}
	return sum
}

// measureMemory computes the idle and held shares of the decode memory for the
// counted time.
func (w *world) measureMemory(used float64, passed time.Duration) {
	total := 0.0
	for _, n := range w.nodes {
		if n.Role == oriolebend.Decode {
			total += float64(n.kv) * passed.Seconds()
		}
	}
	w.idle = 1 - used/total
	w.held = w.reserved / total
}

// openRequests returns the number of requests that have neither a complete answer nor a
// problem.
func (w *world) openRequests() int {
	open := 0
	for _, o := range w.outcomes {
		if !o.done && o.problem == nil {
			open++
		}
	}
	return open
}

// crashNext crashes the decode engine whose turn it is, and schedules its restart and
// the crash of the next decode engine.
func (w *world) crashNext(turn int) {
	var decodes []*node
	for _, n := range w.nodes {
		if n.Role == oriolebend.Decode {
			decodes = append(decodes, n)
		}
	}
	n := decodes[turn%len(decodes)]
	if n.alive {
		n.crash()
		w.clock.after(time.Duration(w.scenario.Crashes.RestartDelay), n.boot)
	}
	w.clock.after(time.Duration(w.scenario.Crashes.Every), func() { w.crashNext(turn + 1) })
}

func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return time.Duration(w.scenario.NearDelay)
	}
	return time.Duration(w.scenario.LinkDelay)
}

// reduceEntry applies an event to the state of an entry and performs the effects.
func (w *world) reduceEntry(e *entryNode, event entry.Event) {
	for _, effect := range entry.Reduce(e.state, event) {
		w.performEntry(e, effect)
	}
}

func (w *world) performEntry(e *entryNode, effect entry.Effect) {
	switch f := effect.(type) {
	case entry.SendClaim:
		w.clock.after(time.Duration(w.scenario.RecordDelay), func() {
			answer := message.ClaimAnswer{Outcome: message.ClaimOwned, RequestID: f.Claim.RequestID, Attempt: 1}
			w.reduceEntry(e, entry.Claimed{At: w.clock.now, RequestID: f.Claim.RequestID, Answer: answer})
		})
	case entry.SendSettle:
		w.clock.after(time.Duration(w.scenario.RecordDelay), func() {
			w.reduceEntry(e, entry.Settled{
				At: w.clock.now, RequestID: f.Settle.RequestID, Attempt: f.Settle.Attempt, State: f.Settle.State, Accepted: true,
			})
		})
	case entry.OpenSession:
		w.openSession(e, f)
	case entry.Send:
		w.send(e.sessions[f.Session], f.Message)
	case entry.CloseSession:
		w.closeSession(e, f.Session)
	case entry.Count:
		w.counts[f.Name+" "+string(f.Reason)]++
	default:
		w.performAnswer(effect)
	}
}

func (w *world) performAnswer(effect entry.Effect) {
	switch f := effect.(type) {
	case entry.AnswerPart:
		o := w.outcomes[f.RequestID]
		if o.tokens == 0 {
			o.first = w.clock.now
		}
		o.tokens += f.Tokens
		o.last = w.clock.now
	case entry.AnswerEnd:
		w.outcomes[f.RequestID].done = true
	case entry.AnswerProblem:
		w.outcomes[f.RequestID].problem = f.Problem
	}
}

func (w *world) openSession(e *entryNode, f entry.OpenSession) {
	w.sessions++
	n := w.byName[f.Session.Server]
	s := &session{id: gate.SessionID(fmt.Sprint(w.sessions)), key: f.Session, entry: e, node: n}
	if f.Reserve.Phase == message.PhaseDecode {
		s.tokens = f.Reserve.PromptTokens + f.Reserve.MaxTokens
	}
	e.sessions[f.Session] = s
	w.clock.after(w.delay(e.domain, n.FailureDomain), func() { n.sessions[s.id] = s })
	w.send(s, f.Reserve)
}

func (w *world) send(s *session, m message.Message) {
	if s == nil {
		return
	}
	w.countControlBytes(m)
	w.clock.after(w.delay(s.entry.domain, s.node.FailureDomain), func() {
		s.node.reduce(gate.Received{At: w.clock.now, Session: s.id, Message: m})
	})
}

func (w *world) closeSession(e *entryNode, key entry.SessionKey) {
	s := e.sessions[key]
	if s == nil {
		return
	}
	delete(e.sessions, key)
	w.clock.after(w.delay(e.domain, s.node.FailureDomain), func() {
		if s.node.sessions[s.id] != nil {
			delete(s.node.sessions, s.id)
			s.node.reduce(gate.Closed{At: w.clock.now, Session: s.id})
		}
	})
}

// countControlBytes adds the encoded size of a message that reserves or releases
// capacity to controlBytes; other messages don't count.
func (w *world) countControlBytes(m message.Message) {
	switch m.(type) {
	case message.Reserve, message.Offer, message.Grant, message.Refusal, message.Release:
		encoded, err := cbor.Marshal(m)
		if err == nil {
			w.controlBytes += len(encoded)
		}
	}
}

// deliverEvent delivers an event of the engine to the gate after sidecarDelay.
func (n *node) deliverEvent(e gate.Event) {
	n.world.clock.after(sidecarDelay, func() { n.reduce(withTime(e, n.world.clock.now)) })
}

// withTime returns an event of the engine with its time set to at.
func withTime(e gate.Event, at time.Time) gate.Event {
	switch e := e.(type) {
	case gate.EnginePart:
		e.At = at
		return e
	case gate.EnginePrefilled:
		e.At = at
		return e
	case gate.WorkFailed:
		e.At = at
		return e
	case gate.Cancelled:
		e.At = at
		return e
	case gate.WorkListed:
		e.At = at
		return e
	default:
		return serverEventWithTime(e, at)
	}
}

// serverEventWithTime returns an event that belongs to no attempt with its time set to
// at.
func serverEventWithTime(e gate.Event, at time.Time) gate.Event {
	switch e := e.(type) {
	case gate.LoadReported:
		e.At = at
		return e
	case gate.CacheChanged:
		e.At = at
		return e
	case gate.CacheListed:
		e.At = at
		return e
	case gate.EngineKnown:
		e.At = at
		return e
	case gate.EngineLost:
		e.At = at
		return e
	}
	return e
}

// renew renews the sessions of the node, in order of their ids so that runs repeat.
func (n *node) renew() {
	ids := slices.Sorted(maps.Keys(n.sessions))
	for _, id := range ids {
		n.reduce(gate.Renewed{At: n.world.clock.now, Session: id})
	}
}

// reduce applies an event to the state of the gate and performs the effects.
func (n *node) reduce(e gate.Event) {
	for _, effect := range gate.Reduce(n.gate, e) {
		n.perform(effect)
	}
}

func (n *node) perform(effect gate.Effect) {
	w := n.world
	switch f := effect.(type) {
	case gate.Reply:
		n.reply(f)
	case gate.EndSession:
		n.endSession(f.Session)
	case gate.RunPrefill:
		w.clock.after(sidecarDelay, func() { n.ifAlive(f.Request.Attempt, message.PhasePrefill, func() { n.startPrefill(f.Request) }) })
	case gate.RunDecode:
		n.recordReserved(f.Request.Attempt)
		w.clock.after(sidecarDelay, func() { n.ifAlive(f.Request.Attempt, message.PhaseDecode, func() { n.startDecode(f.Request) }) })
	case gate.CancelWork:
		w.clock.after(sidecarDelay, func() { n.cancel(f.Attempt) })
	case gate.ListWork:
		w.clock.after(sidecarDelay, n.listWork)
	case gate.ListCache:
		w.clock.after(sidecarDelay, func() { n.deliverEvent(gate.CacheListed{Index: n.cache.index()}) })
	case gate.Announce:
		n.announce(f.State)
	case gate.Count:
		w.counts["gate "+f.What+" "+string(f.Reason)]++
	}
}

// ifAlive runs a function if the engine is alive; otherwise the work fails as
// serverLost.
func (n *node) ifAlive(a message.Attempt, p message.Phase, run func()) {
	if !n.alive {
		n.fail(a, p, oriolebend.ReasonServerLost, oriolebend.RanUnknown)
		return
	}
	run()
}

func (n *node) announce(state oriolebend.ServerState) {
	server := n.Server
	server.State = state
	n.world.clock.after(announceDelay, func() {
		for _, e := range n.world.entries {
			n.world.reduceEntry(e, entry.ServersChanged{At: n.world.clock.now, Servers: []oriolebend.Server{server}})
		}
	})
}

func (n *node) reply(f gate.Reply) {
	s := n.sessions[f.Session]
	if s == nil {
		return
	}
	w := n.world
	w.countControlBytes(f.Message)
	n.recordGrant(s, f.Message)
	w.clock.after(w.delay(s.entry.domain, n.FailureDomain), func() {
		if s.entry.sessions[s.key] == s {
			w.reduceEntry(s.entry, entry.Received{At: w.clock.now, Session: s.key, Message: f.Message})
		}
	})
}

func (n *node) endSession(id gate.SessionID) {
	s := n.sessions[id]
	if s == nil {
		return
	}
	delete(n.sessions, id)
	w := n.world
	w.clock.after(w.delay(s.entry.domain, n.FailureDomain), func() {
		if s.entry.sessions[s.key] == s {
			delete(s.entry.sessions, s.key)
			w.reduceEntry(s.entry, entry.SessionLost{At: w.clock.now, Session: s.key, Opened: true})
		}
	})
}

// recordGrant records from when on a session holds decode memory.
func (n *node) recordGrant(s *session, m message.Message) {
	switch m := m.(type) {
	case message.Offer:
		if m.Granted {
			s.grantedAt = n.world.clock.now.Add(m.StartIn)
		}
	case message.Grant:
		s.grantedAt = n.world.clock.now
	}
}

// recordReserved adds to world.reserved the memory of an attempt, multiplied by the
// time from its grant to the start of its decode.
func (n *node) recordReserved(a message.Attempt) {
	for _, s := range n.sessions {
		if s.key.Attempt == a && s.key.Phase == message.PhaseDecode && !s.grantedAt.IsZero() {
			held := n.world.clock.now.Sub(s.grantedAt)
			n.world.reserved += max(held.Seconds(), 0) * float64(s.tokens)
			return
		}
	}
}

// attemptSuffix returns the part of a handle that distinguishes the prefill results
// of one request's attempts.
func attemptSuffix(a message.Attempt) string { return fmt.Sprintf("#%d", a.Number) }

// findExport returns the node and the prefill result that a source URL names. The
// result is nil if it does not exist or has expired.
func (w *world) findExport(url string) (*node, *export) {
	server, handle, _ := strings.Cut(url, "/")
	n := w.byName[server]
	if n == nil {
		return nil, nil
	}
	x := n.exports[handle]
	if x == nil || x.expired {
		return n, nil
	}
	return n, x
}

// endRead counts one transfer of a prefill result as ended.
func (w *world) endRead(x *export) {
	x.readers--
}
