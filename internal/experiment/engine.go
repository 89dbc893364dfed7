package experiment

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// prefillChunk is how many tokens are computed between two choices of the
	// most urgent prompt, perSequenceShare the part of a decode step that each
	// further request adds, as in the stand-in engines.
	prefillChunk     = 512
	perSequenceShare = 100
	// besideDelay is the time between a sidecar and its engine.
	besideDelay = 200 * time.Microsecond
)

// sequence is the work of one attempt in one phase.
type sequence struct {
	attempt  message.Attempt
	arrival  *arrival
	urgent   bool
	order    int
	tokens   int
	prefill  *prefillWork
	produced int
	transfer *transfer
	source   *export
	// over is true once its memory is free.
	over bool
}

// prefillWork is what one prefill computed and whether that was of use.
type prefillWork struct {
	arrival *arrival
	// remaining is -1 until the prefill starts.
	remaining int
	computed  int
	used      bool
	// again is true if output was delivered before: the work repeats what a
	// dead decode engine lost.
	again bool
}

// export is a prefill result that can be fetched.
type export struct {
	sequence *sequence
	reading  int
	expired  bool
}

// node is one backend server: its gate, and its engine as service times.
type node struct {
	oriolebend.Server
	world    *world
	gate     *gate.State
	sessions map[gate.SessionID]*session
	kv       int
	alive    bool
	// generation tells events of this run of the engine from earlier ones.
	generation uint64
	work       map[message.Attempt]*sequence
	inOrder    []*sequence
	queue      []*sequence
	running    []*sequence
	exports    map[string]*export
	used       int
	orders     int
	stepping   bool
	cache      *cache
	// usedSince and usedSum integrate the memory in use, in token seconds.
	usedSince time.Time
	usedSum   float64
}

func (n *node) info() engine.Info {
	return engine.Info{
		Role: n.Role, Models: n.Models, KVTokens: n.kv, LinkBytes: n.LinkBytes,
		BlockTokens: 64, Incarnation: n.generation,
	}
}

// boot starts the engine with empty memory.
func (n *node) boot() {
	n.generation++
	n.alive = true
	n.work = map[message.Attempt]*sequence{}
	n.exports = map[string]*export{}
	n.inOrder, n.queue, n.running = nil, nil, nil
	n.take(-n.used)
	n.stepping = false
	n.cache = newCache(n.kv, n.generation)
	n.tell(gate.EngineKnown{Info: n.info()})
}

// die drops all that the engine holds; the sidecar notices at once.
func (n *node) die() {
	for _, s := range n.inOrder {
		n.breakTransfer(s)
		s.over = true
	}
	n.alive = false
	n.take(-n.used)
	n.tell(gate.EngineLost{})
}

// take changes the memory in use.
func (n *node) take(tokens int) {
	now := n.world.clock.now
	n.usedSum += float64(n.used) * now.Sub(n.usedSince).Seconds()
	n.usedSince = now
	n.used += tokens
}

// add gives new work its memory; false means that there is none.
func (n *node) add(s *sequence) bool {
	if n.used+s.tokens > n.kv || n.work[s.attempt] != nil {
		return false
	}
	n.orders++
	s.order = n.orders
	n.work[s.attempt] = s
	n.inOrder = append(n.inOrder, s)
	n.take(s.tokens)
	return true
}

// free ends a sequence; it may be called again.
func (n *node) free(s *sequence) {
	if s.over {
		return
	}
	s.over = true
	n.breakTransfer(s)
	n.take(-s.tokens)
	delete(n.work, s.attempt)
	delete(n.exports, s.attempt.RequestID+sourceName(s.attempt))
	n.inOrder = without(n.inOrder, s)
	n.queue = without(n.queue, s)
	n.running = without(n.running, s)
}

func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (n *node) breakTransfer(s *sequence) {
	if s.transfer != nil {
		n.world.links.stop(s.transfer)
		s.transfer = nil
		n.world.endRead(s.source)
	}
}

// later runs a step of this run of the engine.
func (n *node) later(wait time.Duration, run func()) {
	generation := n.generation
	n.world.clock.after(wait, func() {
		if n.alive && n.generation == generation {
			run()
		}
	})
}

func (n *node) fail(a message.Attempt, p message.Phase, r oriolebend.Reason, ran oriolebend.Ran) {
	n.tell(gate.WorkFailed{Attempt: a, Phase: p, Reason: r, Ran: ran})
}

func (n *node) startPrefill(r engine.PrefillRequest) {
	a := n.world.arrivals[r.Attempt.RequestID]
	delivered := n.world.outcomes[a.id].tokens
	s := &sequence{
		attempt: r.Attempt, arrival: a, urgent: r.Priority == oriolebend.Urgent,
		tokens:  a.prompt + delivered,
		prefill: &prefillWork{arrival: a, remaining: -1, again: delivered > 0},
	}
	if !n.add(s) {
		n.fail(r.Attempt, message.PhasePrefill, oriolebend.ReasonNoMemory, oriolebend.RanNo)
		return
	}
	n.world.prefills = append(n.world.prefills, s.prefill)
	n.queue = append(n.queue, s)
	n.wake()
}

// wake starts the loop of steps unless it runs.
func (n *node) wake() {
	if n.stepping {
		return
	}
	n.stepping = true
	n.step()
}

func (n *node) step() {
	switch {
	case len(n.queue) > 0:
		n.stepPrefill()
	case len(n.running) > 0:
		n.stepDecode()
	default:
		n.stepping = false
	}
}

func (n *node) stepPrefill() {
	s := n.queue[0]
	for _, other := range n.queue {
		if other.urgent && !s.urgent {
			s = other
		}
	}
	if s.prefill.remaining < 0 {
		s.prefill.remaining = max(s.tokens-n.cache.cached(s.arrival), 1)
	}
	chunk := min(s.prefill.remaining, prefillChunk)
	s.prefill.computed += chunk
	took := float64(chunk) / n.world.scenario.Engine.PrefillTokens
	n.later(seconds(took), func() {
		s.prefill.remaining -= chunk
		if s.prefill.remaining <= 0 && !s.over {
			n.export(s)
		}
		n.step()
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// export makes a computed prefill ready to be fetched.
func (n *node) export(s *sequence) {
	n.queue = without(n.queue, s)
	x := &export{sequence: s}
	n.exports[s.attempt.RequestID+sourceName(s.attempt)] = x
	n.publish(n.cache.store(s.arrival))
	life := time.Duration(n.world.scenario.Engine.ExportLife)
	n.later(life, func() { n.expire(x, life) })
	n.tell(gate.EnginePrefilled{Attempt: s.attempt, Result: engine.PrefillResult{
		SourceURL:    n.Name + "/" + s.attempt.RequestID + sourceName(s.attempt),
		Tokens:       s.tokens,
		CachedTokens: s.tokens - s.prefill.computed,
		KVBytes:      int64(s.tokens) * n.world.scenario.Engine.KVTokenBytes,
		LivesFor:     life,
		Took:         seconds(float64(s.prefill.computed) / n.world.scenario.Engine.PrefillTokens),
	}})
}

// expire ends a result's life. A transfer that began in time may go on for as
// long again.
func (n *node) expire(x *export, again time.Duration) {
	switch {
	case x.sequence.over:
	case x.reading > 0 && !x.expired:
		x.expired = true
		n.later(again, func() { n.expire(x, again) })
	default:
		n.free(x.sequence)
	}
}

// publish sends cache events, late and with gaps.
func (n *node) publish(events []engine.CacheEvent) {
	kept := events[:0]
	for _, e := range events {
		if n.world.rng.Float64() >= n.world.scenario.Engine.EventLoss {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return
	}
	n.later(time.Duration(n.world.scenario.Engine.EventDelay), func() {
		n.tell(gate.CacheChanged{Events: kept})
	})
}

func (n *node) startDecode(r engine.DecodeRequest) {
	a := n.world.arrivals[r.Attempt.RequestID]
	s := &sequence{
		attempt: r.Attempt, arrival: a, urgent: r.Priority == oriolebend.Urgent,
		tokens: a.prompt + a.class.OutputTokens.Max, produced: r.Offset,
	}
	if !n.add(s) {
		n.fail(r.Attempt, message.PhaseDecode, oriolebend.ReasonNoMemory, oriolebend.RanNo)
		return
	}
	from, x := n.world.findExport(r.SourceURL)
	if x == nil {
		n.free(s)
		n.fail(r.Attempt, message.PhaseDecode, oriolebend.ReasonResultExpired, oriolebend.RanUnknown)
		return
	}
	n.fetch(s, from, x, r)
}

func (n *node) fetch(s *sequence, from *node, x *export, r engine.DecodeRequest) {
	x.reading++
	s.source = x
	s.transfer = &transfer{from: from, to: n, left: float64(x.sequence.tokens) * float64(n.world.scenario.Engine.KVTokenBytes)}
	moving := s.transfer
	moving.done = func() {
		s.transfer = nil
		n.world.endRead(x)
		x.sequence.prefill.used = true
		n.running = append(n.running, s)
		n.wake()
	}
	n.later(n.world.delay(from.FailureDomain, n.FailureDomain), func() {
		if s.transfer == moving {
			n.world.links.start(moving)
		}
	})
	n.later(r.TransferWithin, func() {
		if s.transfer == moving {
			n.free(s)
			n.fail(s.attempt, message.PhaseDecode, oriolebend.ReasonTransferStalled, oriolebend.RanUnknown)
		}
	})
}

// stepDecode gives every running request one token.
func (n *node) stepDecode() {
	batch := append([]*sequence(nil), n.running...)
	step := time.Duration(n.world.scenario.Engine.DecodeStep)
	step += time.Duration(len(batch)-1) * step / perSequenceShare
	n.later(step, func() {
		for _, s := range batch {
			if !s.over {
				n.advance(s)
			}
		}
		n.step()
	})
}

func (n *node) advance(s *sequence) {
	part := message.Part{Attempt: s.attempt, Offset: s.produced, Tokens: 1}
	s.produced++
	if s.produced >= s.arrival.output {
		part.Finish = message.FinishStop
		n.free(s)
	}
	n.tell(gate.EnginePart{Part: part})
}

// cancel ends the work of an attempt.
func (n *node) cancel(a message.Attempt) {
	if s := n.work[a]; s != nil && n.alive {
		n.free(s)
	}
	n.tell(gate.Cancelled{Attempt: a, Failed: !n.alive})
}

func (n *node) listWork() {
	if !n.alive {
		return
	}
	var work []engine.Work
	for _, s := range n.inOrder {
		phase := message.PhaseDecode
		if s.prefill != nil {
			phase = message.PhasePrefill
		}
		work = append(work, engine.Work{Attempt: s.attempt, Phase: phase, Tokens: s.tokens})
	}
	n.tell(gate.WorkListed{Work: work})
}

// reportLoad sends the load as it is now, late.
func (n *node) reportLoad() {
	report := engine.LoadReport{
		At: n.world.clock.now, Running: len(n.work) - len(n.queue), Queued: len(n.queue),
		FreeTokens: n.kv - n.used, TotalTokens: n.kv,
	}
	period := time.Duration(n.world.scenario.Engine.LoadPeriod)
	n.later(period, func() { n.tell(gate.LoadReported{Report: report}) })
	n.world.clock.after(period, n.reportLoad)
}
