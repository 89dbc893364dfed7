package gate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// timing is when decode memory is reserved.
type timing string

const (
	atArrival      timing = "arrival"
	atPrefillStart timing = "prefillStart"
	atPredictedEnd timing = "predictedEnd"
	afterPrefill   timing = "afterPrefill"
)

// Sizes of the modelled site: prefill and decode are as large as each other,
// and decode memory holds about twenty requests.
const (
	modelPrefills   = 3
	modelRate       = 20_000 // tokens a second of one prefill server
	modelStep       = 25 * time.Millisecond
	modelLives      = 800 * time.Millisecond
	modelNetwork    = 1500 * time.Microsecond
	modelLasts      = 5 * time.Minute
	modelPings      = 2.0 // a second
	modelSeeds      = 3
	modelBriefSize  = 8000.0
	modelBriefTaken = 100.0
)

// happening is something of the model that comes at its time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

type calendar []happening

func (c calendar) Len() int { return len(c) }

func (c calendar) Less(i, j int) bool {
	if !c[i].at.Equal(c[j].at) {
		return c[i].at.Before(c[j].at)
	}
	return c[i].order < c[j].order
}

func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *calendar) Push(x any) { *c = append(*c, x.(happening)) }

func (c *calendar) Pop() any {
	last := len(*c) - 1
	h := (*c)[last]
	*c = (*c)[:last]
	return h
}

// modelRequest is one request of the model.
type modelRequest struct {
	attempt message.Attempt
	arrived time.Time
	urgency oriolebend.Urgency
	prompt  int
	output  int
	prefill *modelGate
	// ready is true once the prefill result exists, room once decode room is
	// granted, running once the decode was sent.
	ready, room, running, waitsToStart bool
}

// modelGate is a gate with its engine.
type modelGate struct {
	m     *model
	state *State
	// freeAt is when a prefill engine has computed what it has.
	freeAt time.Time
}

// model is a site with one decode server, whose entry reserves decode memory
// at one of the timings.
type model struct {
	way      timing
	now      time.Time
	calendar calendar
	orders   int
	// arrivals draws what comes, random how long it takes: so every timing has
	// the same arrivals.
	arrivals *rand.Rand
	random   *rand.Rand
	prefills []*modelGate
	decode   *modelGate
	requests map[string]*modelRequest
	tries    int

	computed, wasted float64
	idle, working    float64
	total            float64
	pings, briefs    []time.Duration
	done             int
}

func newModel(way timing, seed uint64) *model {
	m := &model{way: way, now: epoch, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), requests: map[string]*modelRequest{}}
	for range modelPrefills {
		m.prefills = append(m.prefills, m.newGate(oriolebend.Prefill))
	}
	m.decode = m.newGate(oriolebend.Decode)
	return m
}

func (m *model) newGate(role oriolebend.PoolRole) *modelGate {
	g := &modelGate{m: m, state: New(Config{Lease: time.Hour, StartWithin: time.Hour, QueueBound: 1 << 20})}
	g.feed(EngineKnown{At: m.now, Info: engine.Info{
		Role: role, KVTokens: benchTokens, BlockTokens: 16, Incarnation: 1,
		Models: []oriolebend.LoadedModel{{Model: "planner"}},
	}})
	g.feed(WorkListed{At: m.now})
	return g
}

func (m *model) after(d time.Duration, do func()) {
	m.orders++
	heap.Push(&m.calendar, happening{at: m.now.Add(d), order: m.orders, do: do})
}

// arriveAt has requests arrive at random, so many a second.
func (m *model) arriveAt(rate float64, arrive func()) {
	if rate == 0 {
		return
	}
	m.after(seconds(m.arrivals.ExpFloat64()/rate), func() {
		arrive()
		m.arriveAt(rate, arrive)
	})
}

// run has pings and briefs arrive for the model's time.
func (m *model) run(pings, briefs float64) {
	end := epoch.Add(modelLasts)
	m.arriveAt(pings, m.ping)
	m.arriveAt(briefs, m.brief)
	m.after(0, m.tick)
	for m.now.Before(end) {
		next := heap.Pop(&m.calendar).(happening)
		m.measure(next.at.Sub(m.now).Seconds())
		m.now = next.at
		next.do()
	}
}

// measure adds up decode memory that works, and that is held for work which
// has not come.
func (m *model) measure(elapsed float64) {
	for _, held := range m.decode.state.memory.holders {
		switch {
		case held.atServer():
			m.working += float64(held.tokens) * elapsed
		case !held.from.After(m.now):
			m.idle += float64(held.tokens) * elapsed
		}
	}
	m.total += benchTokens * elapsed
}

func (m *model) tick() {
	for _, g := range append(m.prefills, m.decode) {
		g.feed(Ticked{At: m.now})
	}
	m.after(100*time.Millisecond, m.tick)
}

func (m *model) ping() {
	m.try(&modelRequest{arrived: m.now, urgency: oriolebend.Urgent, prompt: 200, output: 10 + m.arrivals.IntN(20)})
}

func (m *model) brief() {
	m.try(&modelRequest{
		arrived: m.now,
		urgency: oriolebend.Patient,
		prompt:  min(int(modelBriefSize*math.Exp(0.5*m.arrivals.NormFloat64())), 60_000),
		output:  1 + min(int(modelBriefTaken*math.Exp(0.5*m.arrivals.NormFloat64())), 399),
	})
}

// try starts a request, or starts it anew after its prefill was wasted.
func (m *model) try(r *modelRequest) {
	m.tries++
	r.attempt = message.Attempt{RequestID: fmt.Sprint("r", m.tries), Number: 1}
	r.ready, r.room, r.running, r.waitsToStart = false, false, false, false
	m.requests[r.attempt.RequestID] = r
	if m.way == atArrival {
		m.reserveDecode(r, 0)
		return
	}
	m.reservePrefill(r)
}

// reservePrefill takes the prefill server with the shortest predicted wait.
func (m *model) reservePrefill(r *modelRequest) {
	r.prefill = slices.MinFunc(m.prefills, func(a, b *modelGate) int {
		return int(a.state.predictedWait(a.probe(r)) - b.state.predictedWait(b.probe(r)))
	})
	m.reserve(r.prefill, r, message.PhasePrefill, 0)
}

// probe stands for the request's prefill in predictions.
func (g *modelGate) probe(r *modelRequest) *reservation {
	probe := &reservation{compute: r.prompt, reserve: message.Reserve{Phase: message.PhasePrefill, Urgency: r.urgency}}
	probe.took = g.state.predict.took(probe)
	return probe
}

func (m *model) reserveDecode(r *modelRequest, in time.Duration) {
	m.reserve(m.decode, r, message.PhaseDecode, in)
}

func (m *model) reserve(g *modelGate, r *modelRequest, phase message.Phase, in time.Duration) {
	g.receive(r, message.Reserve{
		Attempt: r.attempt, Phase: phase, Organisation: "lintang", Urgency: r.urgency, Model: "planner",
		PromptTokens: r.prompt, MaxTokens: 400, StartIn: in, Hold: true, Waited: m.now.Sub(r.arrived),
	})
}

// receive brings a message to the gate after the network's time.
func (g *modelGate) receive(r *modelRequest, msg message.Message) {
	id := SessionID(r.attempt.RequestID)
	g.m.after(modelNetwork, func() { g.feed(Received{At: g.m.now, Session: id, Message: msg}) })
}

func (g *modelGate) feed(e Event) {
	for _, effect := range Reduce(g.state, e) {
		g.carryOut(effect)
	}
}

func (g *modelGate) carryOut(e Effect) {
	m := g.m
	switch e := e.(type) {
	case Reply:
		r := m.requests[string(e.Session)]
		if r == nil {
			return
		}
		m.after(modelNetwork, func() { m.told(g, r, e.Message) })
	case RunPrefill:
		r := m.requests[e.Request.Attempt.RequestID]
		g.runPrefill(r)
	case RunDecode:
		r := m.requests[e.Request.Attempt.RequestID]
		g.runDecode(r)
	case CancelWork:
		m.after(time.Millisecond, func() { g.feed(Cancelled{At: m.now, Attempt: e.Attempt}) })
	}
}

// runPrefill computes one prefill after the other; urgent ones don't wait.
func (g *modelGate) runPrefill(r *modelRequest) {
	m := g.m
	took := seconds(float64(r.prompt) / modelRate * (0.85 + 0.3*m.random.Float64()))
	start := m.now
	if r.urgency == oriolebend.Patient {
		start = later(m.now, g.freeAt)
	}
	g.freeAt = later(m.now, g.freeAt).Add(took)
	m.computed += float64(r.prompt)
	m.after(start.Add(took).Sub(m.now), func() {
		g.feed(EnginePrefilled{At: m.now, Attempt: r.attempt, Result: engine.PrefillResult{
			Tokens: r.prompt, LivesFor: modelLives, Took: took,
		}})
	})
}

// runDecode transfers and generates.
func (g *modelGate) runDecode(r *modelRequest) {
	m := g.m
	transfer := seconds(float64(r.prompt) * 10e-6 * (0.8 + 0.4*m.random.Float64()))
	var step func(sent int)
	step = func(sent int) {
		part := message.Part{Attempt: r.attempt, Offset: sent, Tokens: 1}
		if sent == 0 {
			m.first(r)
		}
		if sent+1 == r.output {
			part.Finish = message.FinishStop
			m.done++
		}
		g.feed(EnginePart{At: m.now, Part: part})
		if part.Finish == "" {
			m.after(modelStep, func() { step(sent + 1) })
		}
	}
	m.after(transfer+modelStep, func() { step(0) })
}

func (m *model) first(r *modelRequest) {
	r.prefill.receive(r, message.Release{Attempt: r.attempt})
	if r.urgency == oriolebend.Urgent {
		m.pings = append(m.pings, m.now.Sub(r.arrived))
		return
	}
	m.briefs = append(m.briefs, m.now.Sub(r.arrived))
}

// told takes what a gate said to the model's entry.
func (m *model) told(g *modelGate, r *modelRequest, msg message.Message) {
	switch msg := msg.(type) {
	case message.Offer:
		if msg.Granted {
			m.granted(g, r, msg.Took)
		}
	case message.Grant:
		m.granted(g, r, g.state.sharedTook(g.probe(r)))
	case message.Prefilled:
		r.ready = true
		if m.way == afterPrefill {
			m.reserveDecode(r, 0)
		}
		m.startDecode(r)
	case message.Refusal:
		m.refused(g, r)
	}
}

func (m *model) granted(g *modelGate, r *modelRequest, took time.Duration) {
	if g == m.decode {
		r.room = true
		if m.way == atArrival {
			m.reservePrefill(r)
			return
		}
		m.startPrefill(r)
		m.startDecode(r)
		return
	}
	r.waitsToStart = true
	switch m.way {
	case atPrefillStart:
		m.reserveDecode(r, 0)
	case atPredictedEnd:
		m.reserveDecode(r, took)
	default:
		m.startPrefill(r)
	}
}

func (m *model) startPrefill(r *modelRequest) {
	if r.waitsToStart {
		r.waitsToStart = false
		r.prefill.receive(r, message.Prefill{Attempt: r.attempt})
	}
}

func (m *model) startDecode(r *modelRequest) {
	if r.ready && r.room && !r.running {
		r.running = true
		m.decode.receive(r, message.Decode{Attempt: r.attempt, TransferWithin: 500 * time.Millisecond})
	}
}

// refused wastes a prefill: the result expired, or no room came for it in time.
func (m *model) refused(g *modelGate, r *modelRequest) {
	if m.requests[r.attempt.RequestID] != r {
		return
	}
	if g != m.decode && r.running {
		return
	}
	delete(m.requests, r.attempt.RequestID)
	m.wasted += float64(r.prompt)
	other := m.decode
	if g == m.decode {
		other = r.prefill
	}
	other.receive(r, message.Release{Attempt: r.attempt})
	again := *r
	m.try(&again)
}

// runSeeds runs the model with each seed and returns the sums.
func runSeeds(way timing, pings, briefs float64) *model {
	sums := &model{}
	for seed := range uint64(modelSeeds) {
		m := newModel(way, seed)
		m.run(pings, briefs)
		sums.idle += m.idle
		sums.working += m.working
		sums.total += m.total
		sums.wasted += m.wasted
		sums.computed += m.computed
		sums.done += m.done
		sums.pings = append(sums.pings, m.pings...)
		sums.briefs = append(sums.briefs, m.briefs...)
	}
	return sums
}

// BenchmarkReserveTiming compares when decode memory is reserved, at the same
// arrivals: what is idle of decode memory, what is wasted of prefill, what
// pings and briefs wait.
func BenchmarkReserveTiming(b *testing.B) {
	for _, briefs := range []float64{4, 5, 6} {
		for _, way := range []timing{atArrival, atPrefillStart, atPredictedEnd, afterPrefill} {
			b.Run(fmt.Sprintf("briefs=%g/%s", briefs, way), func(b *testing.B) {
				var m *model
				for b.Loop() {
					m = runSeeds(way, modelPings, briefs)
				}
				b.ReportMetric(100*m.idle/m.total, "idle%")
				b.ReportMetric(100*m.working/m.total, "working%")
				b.ReportMetric(100*m.wasted/m.computed, "wasted%")
				b.ReportMetric(float64(m.done)/modelSeeds/modelLasts.Seconds(), "done/s")
				b.ReportMetric(float64(percentile(m.pings, 0.99).Milliseconds()), "ping99ms")
				b.ReportMetric(float64(percentile(m.briefs, 0.5).Milliseconds()), "brief50ms")
			})
		}
	}
}

// BenchmarkPingsBesideBriefs reports the time to first token of pings while
// briefs go from none to twice of what the site can do.
func BenchmarkPingsBesideBriefs(b *testing.B) {
	for _, briefs := range []float64{0, 3, 5, 10} {
		b.Run(fmt.Sprintf("briefs=%g", briefs), func(b *testing.B) {
			var m *model
			for b.Loop() {
				m = runSeeds(atPredictedEnd, 20, briefs)
			}
			b.ReportMetric(float64(percentile(m.pings, 0.5).Microseconds())/1000, "ping50ms")
			b.ReportMetric(float64(percentile(m.pings, 0.99).Microseconds())/1000, "ping99ms")
			b.ReportMetric(float64(len(m.briefs))/modelSeeds/modelLasts.Seconds(), "briefs/s")
		})
	}
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(p*float64(len(all)-1))]
}
