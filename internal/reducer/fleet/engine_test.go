package fleet

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Parameters of the engine model.
const (
	prefillRate      = 20_000.0                // prompt tokens a second
	stepBase         = 15 * time.Millisecond   // one decode step of an empty batch
	stepPerRequest   = 1200 * time.Microsecond // added to the step by each request
	bytesPerToken    = 60_000                  // KV cache size of one token
	resultLifetime   = 800 * time.Millisecond
	linkRate         = 2e9 // bytes a second
	blockTokens      = 64
	cacheDocs        = 40 // prompts whose blocks a cache holds
	partTokens       = 4  // output tokens in one part
	cacheReportDelay = 200 * time.Millisecond
)

// simEngine models one engine. It computes prefills one after another, urgent ones first, and
// decodes in a batch whose step time grows with its size.
type simEngine struct {
	gate *simGate
	// queue holds the prefills to compute; the first one is running.
	queue    []*simPrefill
	version  int
	exports  map[message.Attempt]*simExport
	cache    []string
	seq      uint64
	batch    []*simDecode
	link     *simLink
	stepping bool
	// peak is the highest number of tokens that were resident.
	peak int
}

type simPrefill struct {
	request engine.PrefillRequest
	spec    *spec
	cached  int
	left    float64 // tokens to compute
	began   time.Time
	started time.Time
}

type simExport struct {
	computed float64
	expires  time.Time
	used     bool
}

type simDecode struct {
	request engine.DecodeRequest
	spec    *spec
	made    int
	sent    int
	// transfer is set while the KV cache is being transferred.
	transfer *simTransfer
}

func (e *simEngine) fleet() *fleet { return e.gate.fleet }

func (e *simEngine) prefill(r engine.PrefillRequest) {
	s := e.fleet().specOf(r.Attempt)
	tokens := s.promptTokens + s.delivered
	cached := min(e.cachedTokens(s), tokens-1)
	p := &simPrefill{request: r, spec: s, cached: cached, left: float64(tokens - cached), began: e.fleet().now}
	e.pausePrefill()
	at := len(e.queue)
	if r.Priority == oriolebend.Urgent {
		at = slices.IndexFunc(e.queue, func(o *simPrefill) bool { return o.request.Priority != oriolebend.Urgent })
		if at < 0 {
			at = len(e.queue)
		}
	}
	e.queue = slices.Insert(e.queue, at, p)
	e.runPrefill()
}

// pausePrefill records what the first prefill of the queue has computed so far.
func (e *simEngine) pausePrefill() {
	e.version++
	if len(e.queue) == 0 {
		return
	}
	head := e.queue[0]
	done := e.fleet().now.Sub(head.started).Seconds() * prefillRate
	head.left -= min(head.left, done)
	e.fleet().stats.computed += done
}

func (e *simEngine) runPrefill() {
	if len(e.queue) == 0 {
		return
	}
	head := e.queue[0]
	head.started = e.fleet().now
	version, epoch := e.version, e.gate.epoch
	e.fleet().after(seconds(head.left/prefillRate), func() {
		if version != e.version || epoch != e.gate.epoch {
			return
		}
		e.pausePrefill()
		e.queue = e.queue[1:]
		e.prefillEnded(head)
		e.runPrefill()
	})
}

func (e *simEngine) prefillEnded(p *simPrefill) {
	tokens := p.spec.promptTokens + p.spec.delivered
	x := &simExport{computed: float64(tokens - p.cached), expires: e.fleet().now.Add(resultLifetime)}
	a := p.request.Attempt
	e.exports[a] = x
	e.store(p.spec)
	e.fleet().after(resultLifetime+time.Second, func() { e.dropExport(a) })
	e.gate.reduce(gate.EnginePrefilled{At: e.fleet().now, Attempt: a, Result: engine.PrefillResult{
		SourceURL: e.gate.server.Name, Tokens: tokens, CachedTokens: p.cached,
		KVBytes: int64(tokens) * bytesPerToken, LivesFor: resultLifetime, Took: e.fleet().now.Sub(p.began),
	}})
}

func (e *simEngine) dropExport(a message.Attempt) {
	x := e.exports[a]
	if x == nil {
		return
	}
	delete(e.exports, a)
	if !x.used {
		e.fleet().stats.wasted += x.computed
	}
}

// store stores the blocks of the document in the cache, and reports them after a delay.
func (e *simEngine) store(s *spec) {
	if i := slices.Index(e.cache, s.document); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), s.document)
		return
	}
	e.cache = append(e.cache, s.document)
	e.reportBlocks(s.document, engine.BlockStored)
	if len(e.cache) > cacheDocs {
		e.reportBlocks(e.cache[0], engine.BlockEvicted)
		e.cache = e.cache[1:]
	}
}

func (e *simEngine) reportBlocks(document string, change engine.CacheChange) {
	var events []engine.CacheEvent
	for _, block := range e.fleet().blocks[document] {
		e.seq++
		events = append(events, engine.CacheEvent{Sequence: e.seq, Change: change, Block: block})
	}
	epoch := e.gate.epoch
	e.fleet().after(cacheReportDelay, func() {
		if epoch == e.gate.epoch {
			e.gate.reduce(gate.CacheChanged{At: e.fleet().now, Events: events})
		}
	})
}

// cachedTokens returns how much of a prompt is cached: the part that all requests of the document
// share.
func (e *simEngine) cachedTokens(s *spec) int {
	if slices.Contains(e.cache, s.document) {
		return s.sharedTokens
	}
	return 0
}

func (e *simEngine) decode(r engine.DecodeRequest) {
	source := e.fleet().gates[r.SourceURL].engine
	x := source.exports[message.Attempt{RequestID: r.Attempt.RequestID, Number: e.fleet().exported[r.Attempt.RequestID]}]
	s := e.fleet().specOf(r.Attempt)
	d := &simDecode{request: r, spec: s, made: r.Offset, sent: r.Offset}
	if x == nil || e.fleet().now.After(x.expires) {
		e.fail(d, oriolebend.ReasonResultExpired)
		return
	}
	e.batch = append(e.batch, d)
	t := &simTransfer{left: float64(s.promptTokens+r.Offset) * bytesPerToken}
	t.stalled = e.fleet().rng.Float64() < e.fleet().stallShare
	t.done = func() { e.transferred(d, x) }
	d.transfer = t
	e.link.add(t)
	epoch := e.gate.epoch
	e.fleet().after(r.TransferWithin, func() {
		if epoch == e.gate.epoch && d.transfer == t && slices.Contains(e.batch, d) {
			e.remove(d)
			e.fail(d, oriolebend.ReasonTransferStalled)
		}
	})
}

// transferred starts the generation of a decode whose KV cache has arrived.
func (e *simEngine) transferred(d *simDecode, x *simExport) {
	d.transfer = nil
	x.used = true
	e.peak = max(e.peak, e.resident())
	if !e.stepping {
		e.step()
	}
}

func (e *simEngine) resident() int {
	tokens := 0
	for _, d := range e.batch {
		tokens += d.spec.promptTokens + d.made
	}
	return tokens
}

func (e *simEngine) fail(d *simDecode, reason oriolebend.Reason) {
	e.gate.reduce(gate.WorkFailed{
		At: e.fleet().now, Attempt: d.request.Attempt, Phase: message.PhaseDecode,
		Reason: reason, Ran: oriolebend.RanUnknown,
	})
}

// remove removes a decode and its transfer.
func (e *simEngine) remove(d *simDecode) {
	if d.transfer != nil {
		e.link.remove(d.transfer)
		d.transfer = nil
	}
	if i := slices.Index(e.batch, d); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
	}
}

// ready returns the decodes whose transfer has ended.
func (e *simEngine) ready() []*simDecode {
	var ready []*simDecode
	for _, d := range e.batch {
		if d.transfer == nil {
			ready = append(ready, d)
		}
	}
	return ready
}

func (e *simEngine) step() {
	n := len(e.ready())
	e.stepping = n > 0
	if n == 0 {
		return
	}
	epoch := e.gate.epoch
	e.fleet().after(stepBase+time.Duration(n)*stepPerRequest, func() {
		if epoch != e.gate.epoch {
			return
		}
		for _, d := range e.ready() {
			e.generate(d)
		}
		e.step()
	})
}

// generate adds one token to a decode and emits its output in parts.
func (e *simEngine) generate(d *simDecode) {
	d.made++
	last := d.made >= d.spec.outputTokens
	first := d.sent == d.request.Offset
	if !last && !first && d.made-d.sent < partTokens {
		return
	}
	p := message.Part{
		Attempt: d.request.Attempt, Offset: d.sent, Tokens: d.made - d.sent,
		Text: "................"[:d.made-d.sent],
	}
	d.sent = d.made
	if last {
		p.Finish = message.FinishStop
		e.remove(d)
	}
	e.gate.reduce(gate.EnginePart{At: e.fleet().now, Part: p})
}

func (e *simEngine) cancel(a message.Attempt) {
	if i := slices.IndexFunc(e.queue, func(p *simPrefill) bool { return p.request.Attempt == a }); i >= 0 {
		e.pausePrefill()
		p := e.queue[i]
		e.fleet().stats.wasted += float64(p.spec.promptTokens-p.cached) - p.left
		e.queue = slices.Delete(e.queue, i, i+1)
		e.runPrefill()
	}
	if i := slices.IndexFunc(e.batch, func(d *simDecode) bool { return d.request.Attempt == a }); i >= 0 {
		e.remove(e.batch[i])
	}
	e.dropExport(a)
}

func (e *simEngine) work() []engine.Work {
	var work []engine.Work
	for _, d := range e.batch {
		work = append(work, engine.Work{Attempt: d.request.Attempt, Phase: message.PhaseDecode, Tokens: d.spec.promptTokens + d.made})
	}
	for _, p := range e.queue {
		work = append(work, engine.Work{Attempt: p.request.Attempt, Phase: message.PhasePrefill, Tokens: p.spec.promptTokens})
	}
	return work
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
