package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Engine is a stand-in model engine. It implements engine.Engine, and Handler serves
// it over HTTP.
type Engine struct {
	config EngineConfig
	link   *Link

	mu         sync.Mutex
	process    *process
	unfrozen   chan struct{} // closed when a freeze ends; nil if the engine is not frozen
	slowFactor float64
	failNext   map[Operation]oriolebend.Reason
	stats      Stats
}

var _ engine.Engine = (*Engine)(nil)

// Stats counts the operations of an engine since NewEngine, across all restarts.
type Stats struct {
	Prefills      int
	PrefillTokens int
	CachedTokens  int
	// Fetched is the number of prefill results that were fetched completely, and
	// Expired the number of those that were dropped before that.
	Fetched       int
	Expired       int
	Decodes       int
	DecodedTokens int
	Cancelled     int
}

// NewEngine returns a running engine. Close stops it.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	return &Engine{
		config:     c,
		link:       c.Link,
		process:    newProcess(c, 1),
		slowFactor: 1,
		failNext:   make(map[Operation]oriolebend.Reason),
	}
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Prefill implements engine.Engine.
func (e *Engine) Prefill(ctx context.Context, r engine.PrefillRequest) (engine.PrefillResult, error) {
	began := time.Now()
	p, err := e.beginCall(ctx, OperationPrefill)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	s := newSequence(r.Attempt, message.PhasePrefill, r.Model, r.Priority, prefix.CountTokens(r.Prompt))
	s.blocks = prefix.Blocks(r.Model, r.Prompt, e.config.BlockTokens)
	s.digest = digest(r.Model, r.Adapter, r.Prompt)
	ctx, err = e.admit(ctx, p, s, requirement{oriolebend.Prefill, r.Model, r.Version, r.Adapter})
	if err != nil {
		return engine.PrefillResult{}, err
	}
	defer e.releaseSequence(p, s)
	select {
	case <-s.progress:
	case <-ctx.Done():
		e.discardResult(p, s)
		return engine.PrefillResult{}, contextError(ctx)
	}
	return engine.PrefillResult{
		SourceURL:    e.config.URL + engine.PathKV + s.handle,
		Tokens:       s.tokens,
		CachedTokens: s.cached,
		KVBytes:      int64(s.tokens) * e.config.KVTokenBytes,
		LivesFor:     e.config.ExportLife,
		Took:         time.Since(began),
	}, nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, a message.Attempt) error {
	p, err := e.beginCall(ctx, OperationCancel)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cause := &engine.Error{Reason: oriolebend.ReasonCallerCancelled, Detail: "cancelled by order"}
	for _, phase := range []message.Phase{message.PhasePrefill, message.PhaseDecode} {
		if s, ok := p.work[workKey{a, phase}]; ok {
			e.stats.Cancelled++
			p.dropSequence(s)
			s.cancel(cause)
		}
	}
	for _, x := range p.exports {
		if x.attempt == a {
			e.dropExport(p, x)
		}
	}
	return nil
}

// Work implements engine.Engine.
func (e *Engine) Work(ctx context.Context) ([]engine.Work, error) {
	p, err := e.beginCall(ctx, OperationWork)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	work := []engine.Work{}
	for key, s := range p.work {
		work = append(work, engine.Work{Attempt: key.attempt, Phase: key.phase, Tokens: s.tokens})
	}
	for _, x := range p.exports {
		work = append(work, engine.Work{Attempt: x.attempt, Phase: message.PhasePrefill, Tokens: x.tokens})
	}
	slices.SortFunc(work, compareWork)
	return work, nil
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.LoadReport, error) {
	p, err := e.beginCall(ctx, OperationLoad)
	if err != nil {
		return engine.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.updateReport()
	return p.report, nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	p, err := e.beginCall(ctx, OperationCache)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.cache.events(after), nil
}

// CacheIndex implements engine.Engine.
func (e *Engine) CacheIndex(ctx context.Context) (engine.CacheIndex, error) {
	p, err := e.beginCall(ctx, OperationCache)
	if err != nil {
		return engine.CacheIndex{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.cache.index(), nil
}

// Info implements engine.Engine.
func (e *Engine) Info(ctx context.Context) (engine.Info, error) {
	p, err := e.beginCall(ctx, OperationInfo)
	if err != nil {
		return engine.Info{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Info{
		Role:        p.role,
		Models:      p.copyModels(),
		KVTokens:    e.config.KVTokens,
		LinkBytes:   e.link.BytesPerSecond(),
		BlockTokens: e.config.BlockTokens,
		Fencing:     p.fencing,
		Incarnation: p.incarnation,
	}, nil
}

// requirement is the role and the model that an engine must have for some work.
type requirement struct {
	role    oriolebend.PoolRole
	model   string
	version string
	adapter string
}

// admit allocates the memory of a sequence and starts the sequence, or refuses it. The
// returned context is cancelled with the caller's context, with the process and by
// Cancel.
func (e *Engine) admit(ctx context.Context, p *process, s *sequence, r requirement) (context.Context, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := p.checkAdmission(s, r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.ctx, func() { cancel(context.Cause(p.ctx)) })
	s.cancel = func(cause error) {
		stop()
		cancel(cause)
	}
	p.addSequence(s)
	if s.key.phase == message.PhasePrefill {
		p.queue = append(p.queue, s)
		e.startLoop(p)
	}
	return ctx, nil
}

// releaseSequence frees the memory that a sequence still holds.
func (e *Engine) releaseSequence(p *process, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.dropSequence(s)
	s.cancel(nil)
}

// discardResult drops the result of a prefill whose caller cancelled it at the moment
// at which the result was ready. No one would fetch the result.
func (e *Engine) discardResult(p *process, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := p.exports[s.handle]; ok {
		e.dropExport(p, x)
	}
}

// contextError returns the typed error of a cancelled context: the engine's own error,
// deadline or callerCancelled.
func contextError(ctx context.Context) *engine.Error {
	var own *engine.Error
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &own):
		return own
	case errors.Is(cause, context.DeadlineExceeded):
		return &engine.Error{Reason: oriolebend.ReasonDeadline, Cause: cause}
	default:
		return &engine.Error{Reason: oriolebend.ReasonCallerCancelled, Cause: cause}
	}
}

// newError returns a typed error with a formatted detail.
func newError(reason oriolebend.Reason, format string, args ...any) *engine.Error {
	return &engine.Error{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
