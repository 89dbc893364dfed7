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

// Sizes of the modelled site: the prefill and decode pools have equal capacity,
// and decode memory holds about twenty requests.
const (
	modelPrefills    = 3
	modelRate        = 20_000 // tokens a second of one prefill server
	modelStep        = 25 * time.Millisecond
	modelResultLife  = 800 * time.Millisecond
	modelNetwork     = 1500 * time.Microsecond
	modelDuration    = 5 * time.Minute
	modelPings       = 2.0 // a second
	modelSeeds       = 3
	modelBriefPrompt = 8000.0
	modelBriefOutput = 100.0
)

// scheduledEvent is an action of the model at a given time.
type scheduledEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// modelRequest is one request of the model.
type modelRequest struct {
	attempt message.Attempt
	arrived time.Time
	urgency oriolebend.Urgency
	prompt  int
	output  int
	prefill *modelGate
	// prefilled is true once the prefill result exists, decodeGranted once
	// decode memory is granted, decodeSent once the decode was sent. mayPrefill
	// is true from the prefill's grant until the prefill is sent.
	prefilled, decodeGranted, decodeSent, mayPrefill bool
}

// modelGate is a gate with its engine.
type modelGate struct {
	m     *model
	state *State
	// freeAt is when a prefill engine completes the work that it has.
	freeAt time.Time
}

// model is a site with one decode server, whose entry reserves decode memory at
// one of the timings.
type model struct {
	timing    timing
	now       time.Time
	events    eventHeap
	lastOrder int
	// arrivals draws the requests, random their durations, so that every timing
	// has the same arrivals.
	arrivals *rand.Rand
	random   *rand.Rand
	prefills []*modelGate
	decode   *modelGate
	requests map[string]*modelRequest
	starts   int

	computed, wasted float64
	idle, working    float64
	total            float64
	pings, briefs    []time.Duration
	completed        int
}

func newModel(when timing, seed uint64) *model {
	m := &model{timing: when, now: epoch, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), requests: map[string]*modelRequest{}}
	for range modelPrefills {
		m.prefills = append(m.prefills, m.newGate(oriolebend.Prefill))
	}
	m.decode = m.newGate(oriolebend.Decode)
	return m
}

func (m *model) newGate(role oriolebend.PoolRole) *modelGate {
	g := &modelGate{m: m, state: New(Config{Lease: time.Hour, StartWithin: time.Hour, QueueBound: 1 << 20})}
	g.apply(EngineKnown{At: m.now, Info: engine.Info{
		Role: role, KVTokens: benchTokens, BlockTokens: 16, Incarnation: 1,
		Models: []oriolebend.LoadedModel{{Model: "planner"}},
	}})
	g.apply(WorkListed{At: m.now})
	return g
}

func (m *model) after(d time.Duration, do func()) {
	m.lastOrder++
	heap.Push(&m.events, scheduledEvent{at: m.now.Add(d), order: m.lastOrder, do: do})
}

// arriveAt schedules random arrivals at the given rate a second.
func (m *model) arriveAt(rate float64, arrive func()) {
	if rate == 0 {
		return
	}
	m.after(seconds(m.arrivals.ExpFloat64()/rate), func() {
		arrive()
		m.arriveAt(rate, arrive)
	})
}

// run runs the model for modelDuration with the given rates of pings and
// briefs.
func (m *model) run(pings, briefs float64) {
	end := epoch.Add(modelDuration)
	m.arriveAt(pings, m.ping)
	m.arriveAt(briefs, m.brief)
	m.after(0, m.tick)
	for m.now.Before(end) {
		next := heap.Pop(&m.events).(scheduledEvent)
		m.measure(next.at.Sub(m.now).Seconds())
		m.now = next.at
		next.do()
	}
}

// measure sums the decode memory that is used by work, and the memory that is
// held for work that has not arrived.
func (m *model) measure(elapsed float64) {
	for _, held := range m.decode.state.memory.holders {
		switch {
		case held.atServer():
			m.working += float64(held.tokens) * elapsed
		case !held.heldFrom.After(m.now):
			m.idle += float64(held.tokens) * elapsed
		}
	}
	m.total += benchTokens * elapsed
}

func (m *model) tick() {
	for _, g := range append(m.prefills, m.decode) {
		g.apply(Ticked{At: m.now})
	}
	m.after(100*time.Millisecond, m.tick)
}

func (m *model) ping() {
	m.start(&modelRequest{arrived: m.now, urgency: oriolebend.Urgent, prompt: 200, output: 10 + m.arrivals.IntN(20)})
}

func (m *model) brief() {
	m.start(&modelRequest{
		arrived: m.now,
		urgency: oriolebend.Patient,
		prompt:  min(int(modelBriefPrompt*math.Exp(0.5*m.arrivals.NormFloat64())), 60_000),
		output:  1 + min(int(modelBriefOutput*math.Exp(0.5*m.arrivals.NormFloat64())), 399),
	})
}

// start starts a request, or restarts it after its prefill was wasted.
func (m *model) start(r *modelRequest) {
	m.starts++
	r.attempt = message.Attempt{RequestID: fmt.Sprint("r", m.starts), Number: 1}
	r.prefilled, r.decodeGranted, r.decodeSent, r.mayPrefill = false, false, false, false
	m.requests[r.attempt.RequestID] = r
	if m.timing == atArrival {
		m.reserveDecode(r, 0)
		return
	}
	m.reservePrefill(r)
}

// reservePrefill chooses the prefill server with the shortest predicted wait.
func (m *model) reservePrefill(r *modelRequest) {
	r.prefill = slices.MinFunc(m.prefills, func(a, b *modelGate) int {
		return int(a.state.predictedWait(a.probe(r)) - b.state.predictedWait(b.probe(r)))
	})
	m.reserve(r.prefill, r, message.PhasePrefill, 0)
}

// probe returns a reservation that represents the request's prefill in
// predictions.
func (g *modelGate) probe(r *modelRequest) *reservation {
	probe := &reservation{uncachedTokens: r.prompt, reserve: message.Reserve{Phase: message.PhasePrefill, Urgency: r.urgency}}
	probe.workTime = g.state.predict.workTime(probe)
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

// receive delivers a message to the gate after the network's delay.
func (g *modelGate) receive(r *modelRequest, msg message.Message) {
	id := SessionID(r.attempt.RequestID)
	g.m.after(modelNetwork, func() { g.apply(Received{At: g.m.now, Session: id, Message: msg}) })
}

func (g *modelGate) apply(e Event) {
	for _, effect := range Reduce(g.state, e) {
		g.perform(effect)
	}
}

func (g *modelGate) perform(e Effect) {
	m := g.m
	switch e := e.(type) {
	case Reply:
		r := m.requests[string(e.Session)]
		if r == nil {
			return
		}
		m.after(modelNetwork, func() { m.handleReply(g, r, e.Message) })
	case RunPrefill:
		r := m.requests[e.Request.Attempt.RequestID]
		g.runPrefill(r)
	case RunDecode:
		r := m.requests[e.Request.Attempt.RequestID]
		g.runDecode(r)
	case CancelWork:
		m.after(time.Millisecond, func() { g.apply(Cancelled{At: m.now, Attempt: e.Attempt}) })
	}
}

// runPrefill computes one prefill after the other. Urgent ones don't wait.
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
		g.apply(EnginePrefilled{At: m.now, Attempt: r.attempt, Result: engine.PrefillResult{
			Tokens: r.prompt, LivesFor: modelResultLife, Took: took,
		}})
	})
}

// runDecode transfers the result and generates the output.
func (g *modelGate) runDecode(r *modelRequest) {
	m := g.m
	transfer := seconds(float64(r.prompt) * 10e-6 * (0.8 + 0.4*m.random.Float64()))
	var step func(sent int)
	step = func(sent int) {
		part := message.Part{Attempt: r.attempt, Offset: sent, Tokens: 1}
		if sent == 0 {
			m.recordFirstToken(r)
		}
		if sent+1 == r.output {
			part.Finish = message.FinishStop
			m.completed++
		}
		g.apply(EnginePart{At: m.now, Part: part})
		if part.Finish == "" {
			m.after(modelStep, func() { step(sent + 1) })
		}
	}
	m.after(transfer+modelStep, func() { step(0) })
}

func (m *model) recordFirstToken(r *modelRequest) {
	r.prefill.receive(r, message.Release{Attempt: r.attempt})
	if r.urgency == oriolebend.Urgent {
		m.pings = append(m.pings, m.now.Sub(r.arrived))
		return
	}
	m.briefs = append(m.briefs, m.now.Sub(r.arrived))
}

// handleReply handles a gate's message to the model's entry.
func (m *model) handleReply(g *modelGate, r *modelRequest, msg message.Message) {
	switch msg := msg.(type) {
	case message.Offer:
		if msg.Granted {
			m.handleGrant(g, r, msg.Took)
		}
	case message.Grant:
		m.handleGrant(g, r, g.state.sharedPrefillTime(g.probe(r)))
	case message.Prefilled:
		r.prefilled = true
		if m.timing == afterPrefill {
			m.reserveDecode(r, 0)
		}
		m.startDecode(r)
	case message.Refusal:
		m.handleRefusal(g, r)
	}
}

func (m *model) handleGrant(g *modelGate, r *modelRequest, took time.Duration) {
	if g == m.decode {
		r.decodeGranted = true
		if m.timing == atArrival {
			m.reservePrefill(r)
			return
		}
		m.startPrefill(r)
		m.startDecode(r)
		return
	}
	r.mayPrefill = true
	switch m.timing {
	case atPrefillStart:
		m.reserveDecode(r, 0)
	case atPredictedEnd:
		m.reserveDecode(r, took)
	default:
		m.startPrefill(r)
	}
}

func (m *model) startPrefill(r *modelRequest) {
	if r.mayPrefill {
		r.mayPrefill = false
		r.prefill.receive(r, message.Prefill{Attempt: r.attempt})
	}
}

func (m *model) startDecode(r *modelRequest) {
	if r.prefilled && r.decodeGranted && !r.decodeSent {
		r.decodeSent = true
		m.decode.receive(r, message.Decode{Attempt: r.attempt, TransferWithin: 500 * time.Millisecond})
	}
}

// handleRefusal counts a prefill as wasted, because its result expired or no
// memory became free in time, and restarts the request.
func (m *model) handleRefusal(g *modelGate, r *modelRequest) {
	if m.requests[r.attempt.RequestID] != r {
		return
	}
	if g != m.decode && r.decodeSent {
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
	m.start(&again)
}

// runSeeds runs the model with each seed and returns the sums.
func runSeeds(when timing, pings, briefs float64) *model {
	sums := &model{}
	for seed := range uint64(modelSeeds) {
		m := newModel(when, seed)
		m.run(pings, briefs)
		sums.idle += m.idle
		sums.working += m.working
		sums.total += m.total
		sums.wasted += m.wasted
		sums.computed += m.computed
		sums.completed += m.completed
		sums.pings = append(sums.pings, m.pings...)
		sums.briefs = append(sums.briefs, m.briefs...)
	}
	return sums
}

// BenchmarkReserveTiming compares the timings of the decode reservation at the
// same arrivals: idle decode memory, wasted prefills, and the waits of pings
// and briefs.
func BenchmarkReserveTiming(b *testing.B) {
	for _, briefs := range []float64{4, 5, 6} {
		for _, when := range []timing{atArrival, atPrefillStart, atPredictedEnd, afterPrefill} {
			b.Run(fmt.Sprintf("briefs=%g/%s", briefs, when), func(b *testing.B) {
				var m *model
				for b.Loop() {
					m = runSeeds(when, modelPings, briefs)
				}
				b.ReportMetric(100*m.idle/m.total, "idle%")
				b.ReportMetric(100*m.working/m.total, "working%")
				b.ReportMetric(100*m.wasted/m.computed, "wasted%")
				b.ReportMetric(float64(m.completed)/modelSeeds/modelDuration.Seconds(), "done/s")
				b.ReportMetric(float64(percentile(m.pings, 0.99).Milliseconds()), "ping99ms")
				b.ReportMetric(float64(percentile(m.briefs, 0.5).Milliseconds()), "brief50ms")
			})
		}
	}
}

// BenchmarkPingsBesideBriefs reports the time to first token of pings while the
// rate of briefs goes from zero to twice the site's capacity.
func BenchmarkPingsBesideBriefs(b *testing.B) {
	for _, briefs := range []float64{0, 3, 5, 10} {
		b.Run(fmt.Sprintf("briefs=%g", briefs), func(b *testing.B) {
			var m *model
			for b.Loop() {
				m = runSeeds(atPredictedEnd, 20, briefs)
			}
			b.ReportMetric(float64(percentile(m.pings, 0.5).Microseconds())/1000, "ping50ms")
			b.ReportMetric(float64(percentile(m.pings, 0.99).Microseconds())/1000, "ping99ms")
			b.ReportMetric(float64(len(m.briefs))/modelSeeds/modelDuration.Seconds(), "briefs/s")
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
