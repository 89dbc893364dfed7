package experiment

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// prefillChunk is the number of tokens that an engine computes before it
	// chooses the most urgent prompt again. Each further request of a batch makes
	// a decode step longer by the fraction 1/perSequenceShare. Both are the values
	// of the stand-in engines.
	prefillChunk     = 512
	perSequenceShare = 100
	// sidecarDelay is the time of a message between a sidecar and its engine.
	sidecarDelay = 200 * time.Microsecond
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
	// freed is true once its memory is freed.
	freed bool
}

// prefillWork counts the tokens that one prefill computed and records whether a
// decode used its result.
type prefillWork struct {
	arrival *arrival
	// remaining is -1 until the prefill starts.
	remaining int
	computed  int
	used      bool
	// repeated is true if output was delivered before this prefill, which then
	// repeats work that was lost in the crash of a decode engine.
	repeated bool
}

// export is a prefill result that can be fetched.
type export struct {
	sequence *sequence
	readers  int
	expired  bool
}

// node is one simulated backend server: its gate, and a model of its engine.
type node struct {
	oriolebend.Server
	world    *world
	gate     *gate.State
	sessions map[gate.SessionID]*session
	kv       int
	alive    bool
	// incarnation is the incarnation of the engine. Callbacks that were scheduled
	// in an earlier one are dropped.
	incarnation uint64
	work        map[message.Attempt]*sequence
	sequences   []*sequence
	queue       []*sequence
	running     []*sequence
	exports     map[string]*export
	used        int
	orders      int
	stepping    bool
	cache       *cache
	// usedTotal is the memory in use integrated up to usedSince, in token seconds.
	usedSince time.Time
	usedTotal float64
}

func (n *node) info() engine.Info {
	return engine.Info{
		Role: n.Role, Models: n.Models, KVTokens: n.kv, LinkBytes: n.LinkBytes,
		BlockTokens: 64, Incarnation: n.incarnation,
	}
}

// boot starts a new incarnation of the engine with empty memory.
func (n *node) boot() {
	n.incarnation++
	n.alive = true
	n.work = map[message.Attempt]*sequence{}
	n.exports = map[string]*export{}
	n.sequences, n.queue, n.running = nil, nil, nil
	n.changeUsed(-n.used)
	n.stepping = false
	n.cache = newCache(n.kv, n.incarnation)
	n.deliverEvent(gate.EngineKnown{Info: n.info()})
}

// crash crashes the engine: all its work and memory are lost. The sidecar detects it
// without a timeout.
func (n *node) crash() {
	for _, s := range n.sequences {
		n.abortTransfer(s)
		s.freed = true
	}
	n.alive = false
	n.changeUsed(-n.used)
	n.deliverEvent(gate.EngineLost{})
}

// changeUsed adds tokens, which may be negative, to the memory in use and updates its
// integral over time.
func (n *node) changeUsed(tokens int) {
	now := n.world.clock.now
	n.usedTotal += float64(n.used) * now.Sub(n.usedSince).Seconds()
	n.usedSince = now
	n.used += tokens
}

// allocate allocates the memory of new work. It returns false if too little memory is
// free or the attempt already has work here.
func (n *node) allocate(s *sequence) bool {
	if n.used+s.tokens > n.kv || n.work[s.attempt] != nil {
		return false
	}
	n.orders++
	s.order = n.orders
	n.work[s.attempt] = s
	n.sequences = append(n.sequences, s)
	n.changeUsed(s.tokens)
	return true
}

// release ends a sequence and frees its memory. It does nothing if the sequence has
// already ended.
func (n *node) release(s *sequence) {
	if s.freed {
		return
	}
	s.freed = true
	n.abortTransfer(s)
	n.changeUsed(-s.tokens)
	delete(n.work, s.attempt)
	delete(n.exports, s.attempt.RequestID+attemptSuffix(s.attempt))
	n.sequences = without(n.sequences, s)
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

// abortTransfer aborts the transfer of a sequence, if one is in progress.
func (n *node) abortTransfer(s *sequence) {
	if s.transfer != nil {
		n.world.links.stop(s.transfer)
		s.transfer = nil
		n.world.endRead(s.source)
	}
}

// afterIfAlive schedules a callback that runs only if the engine is then still alive in
// the same incarnation.
func (n *node) afterIfAlive(wait time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.clock.after(wait, func() {
		if n.alive && n.incarnation == incarnation {
			run()
		}
	})
}

func (n *node) fail(a message.Attempt, p message.Phase, r oriolebend.Reason, ran oriolebend.Ran) {
	n.deliverEvent(gate.WorkFailed{Attempt: a, Phase: p, Reason: r, Ran: ran})
}

func (n *node) startPrefill(r engine.PrefillRequest) {
	a := n.world.arrivals[r.Attempt.RequestID]
	delivered := n.world.outcomes[a.id].tokens
	s := &sequence{
		attempt: r.Attempt, arrival: a, urgent: r.Priority == oriolebend.Urgent,
		tokens:  a.promptTokens + delivered,
		prefill: &prefillWork{arrival: a, remaining: -1, repeated: delivered > 0},
	}
	if !n.allocate(s) {
		n.fail(r.Attempt, message.PhasePrefill, oriolebend.ReasonNoMemory, oriolebend.RanNo)
		return
	}
	n.world.prefills = append(n.world.prefills, s.prefill)
	n.queue = append(n.queue, s)
	n.startSteps()
}

// startSteps starts the loop of engine steps unless it is running.
func (n *node) startSteps() {
	if n.stepping {
		return
	}
	n.stepping = true
	n.step()
}

// step runs the next step; prefill goes before decode.
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

// stepPrefill computes the next chunk of the first urgent prompt of the queue, or
// of the first prompt if none is urgent.
func (n *node) stepPrefill() {
	s := n.queue[0]
	for _, other := range n.queue {
		if other.urgent && !s.urgent {
			s = other
		}
	}
	if s.prefill.remaining < 0 {
		s.prefill.remaining = max(s.tokens-n.cache.cachedTokens(s.arrival), 1)
	}
	chunk := min(s.prefill.remaining, prefillChunk)
	s.prefill.computed += chunk
	took := float64(chunk) / n.world.scenario.Engine.PrefillTokens
	n.afterIfAlive(seconds(took), func() {
		s.prefill.remaining -= chunk
		if s.prefill.remaining <= 0 && !s.freed {
			n.export(s)
		}
		n.step()
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// export publishes a computed prefill result, which can be fetched for ExportLife.
func (n *node) export(s *sequence) {
	n.queue = without(n.queue, s)
	x := &export{sequence: s}
	n.exports[s.attempt.RequestID+attemptSuffix(s.attempt)] = x
	n.publish(n.cache.store(s.arrival))
	life := time.Duration(n.world.scenario.Engine.ExportLife)
	n.afterIfAlive(life, func() { n.expire(x, life) })
	n.deliverEvent(gate.EnginePrefilled{Attempt: s.attempt, Result: engine.PrefillResult{
		SourceURL:    n.Name + "/" + s.attempt.RequestID + attemptSuffix(s.attempt),
		Tokens:       s.tokens,
		CachedTokens: s.tokens - s.prefill.computed,
		KVBytes:      int64(s.tokens) * n.world.scenario.Engine.KVTokenBytes,
		LivesFor:     life,
		Took:         seconds(float64(s.prefill.computed) / n.world.scenario.Engine.PrefillTokens),
	}})
}

// expire ends the life of a prefill result. A transfer that began before may
// continue for the same time again; after it, the result's memory is freed in any
// case.
func (n *node) expire(x *export, grace time.Duration) {
	switch {
	case x.sequence.freed:
	case x.readers > 0 && !x.expired:
		x.expired = true
		n.afterIfAlive(grace, func() { n.expire(x, grace) })
	default:
		n.release(x.sequence)
	}
}

// publish sends cache events to the gate after EventDelay and drops the share
// EventLoss of them.
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
	n.afterIfAlive(time.Duration(n.world.scenario.Engine.EventDelay), func() {
		n.deliverEvent(gate.CacheChanged{Events: kept})
	})
}

func (n *node) startDecode(r engine.DecodeRequest) {
	a := n.world.arrivals[r.Attempt.RequestID]
	s := &sequence{
		attempt: r.Attempt, arrival: a, urgent: r.Priority == oriolebend.Urgent,
		tokens: a.promptTokens + a.class.OutputTokens.Max, produced: r.Offset,
	}
	if !n.allocate(s) {
		n.fail(r.Attempt, message.PhaseDecode, oriolebend.ReasonNoMemory, oriolebend.RanNo)
		return
	}
	from, x := n.world.findExport(r.SourceURL)
	if x == nil {
		n.release(s)
		n.fail(r.Attempt, message.PhaseDecode, oriolebend.ReasonResultExpired, oriolebend.RanUnknown)
		return
	}
	n.fetch(s, from, x, r)
}

// fetch transfers a prefill result to a decode sequence and fails the attempt if
// the transfer takes longer than TransferWithin.
func (n *node) fetch(s *sequence, from *node, x *export, r engine.DecodeRequest) {
	x.readers++
	s.source = x
	s.transfer = &transfer{from: from, to: n, remaining: float64(x.sequence.tokens) * float64(n.world.scenario.Engine.KVTokenBytes)}
	moving := s.transfer
	moving.done = func() {
		s.transfer = nil
		n.world.endRead(x)
		x.sequence.prefill.used = true
		n.running = append(n.running, s)
		n.startSteps()
	}
	n.afterIfAlive(n.world.delay(from.FailureDomain, n.FailureDomain), func() {
		if s.transfer == moving {
			n.world.links.start(moving)
		}
	})
	n.afterIfAlive(r.TransferWithin, func() {
		if s.transfer == moving {
			n.release(s)
			n.fail(s.attempt, message.PhaseDecode, oriolebend.ReasonTransferStalled, oriolebend.RanUnknown)
		}
	})
}

// stepDecode produces one token for every running request.
func (n *node) stepDecode() {
	batch := append([]*sequence(nil), n.running...)
	step := time.Duration(n.world.scenario.Engine.DecodeStep)
	step += time.Duration(len(batch)-1) * step / perSequenceShare
	n.afterIfAlive(step, func() {
		for _, s := range batch {
			if !s.freed {
				n.advance(s)
			}
		}
		n.step()
	})
}

// advance produces one token of a sequence and frees it after its last.
func (n *node) advance(s *sequence) {
	part := message.Part{Attempt: s.attempt, Offset: s.produced, Tokens: 1}
	s.produced++
	if s.produced >= s.arrival.outputTokens {
		part.Finish = message.FinishStop
		n.release(s)
	}
	n.deliverEvent(gate.EnginePart{Part: part})
}

// cancel frees the work of an attempt; it fails if the engine is not alive.
func (n *node) cancel(a message.Attempt) {
	if s := n.work[a]; s != nil && n.alive {
		n.release(s)
	}
	n.deliverEvent(gate.Cancelled{Attempt: a, Failed: !n.alive})
}

func (n *node) listWork() {
	if !n.alive {
		return
	}
	var work []engine.Work
	for _, s := range n.sequences {
		phase := message.PhaseDecode
		if s.prefill != nil {
			phase = message.PhasePrefill
		}
		work = append(work, engine.Work{Attempt: s.attempt, Phase: phase, Tokens: s.tokens})
	}
	n.deliverEvent(gate.WorkListed{Work: work})
}

// reportLoad sends a report of the present load to the gate one LoadPeriod later,
// so that the gate's view is as old as in a real system, and schedules the next.
func (n *node) reportLoad() {
	report := engine.LoadReport{
		At: n.world.clock.now, Running: len(n.work) - len(n.queue), Queued: len(n.queue),
		FreeTokens: n.kv - n.used, TotalTokens: n.kv,
	}
	period := time.Duration(n.world.scenario.Engine.LoadPeriod)
	n.afterIfAlive(period, func() { n.deliverEvent(gate.LoadReported{Report: report}) })
	n.world.clock.after(period, n.reportLoad)
}
