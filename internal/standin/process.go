package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// process is one run of an engine: all that is lost when it dies. Its fields
// are guarded by the engine's mutex, but for ctx.
type process struct {
	config EngineConfig
	ctx    context.Context
	end    context.CancelCauseFunc
	// number is the incarnation.
	number uint64

	role    oriolebend.PoolRole
	models  []oriolebend.LoadedModel
	loading map[weights]*loading
	fencing uint64

	work     map[workKey]*sequence
	queue    []*sequence // prefills that are not computed yet
	running  []*sequence // decodes whose KV cache is imported
	batch    []*sequence // the decodes of the step in progress
	exports  map[string]*export
	arrivals uint64
	used     int
	looping  bool
	cache    *cache
	report   engine.LoadReport
}

func newProcess(c EngineConfig, number uint64) *process {
	ctx, end := context.WithCancelCause(context.Background())
	p := &process{
		config:  c,
		ctx:     ctx,
		end:     end,
		number:  number,
		role:    c.Role,
		loading: make(map[weights]*loading),
		work:    make(map[workKey]*sequence),
		exports: make(map[string]*export),
		cache:   newCache(c, number),
	}
	for _, m := range c.Models {
		m.Adapters = slices.Clone(m.Adapters)
		p.models = append(p.models, m)
	}
	p.report = p.load(time.Now().Truncate(c.LoadPeriod))
	return p
}

// refusal says why a sequence can't be admitted, or nil.
func (p *process) refusal(s *sequence, n need) error {
	switch {
	case p.ctx.Err() != nil:
		return ended(p.ctx)
	case p.role != n.role:
		return fail(oriolebend.ReasonWrongRole, "engine is of role %s", p.role)
	case !p.holds(n.model, n.version, n.adapter):
		return fail(oriolebend.ReasonWrongModel, "%s %s %s is not loaded", n.model, n.version, n.adapter)
	case p.work[s.key] != nil:
		return fail(oriolebend.ReasonAttemptUsed, "attempt %d runs here", s.key.attempt.Number)
	case p.used+s.tokens > p.config.KVTokens:
		return fail(oriolebend.ReasonNoMemory, "%d of %d tokens are free, %d needed",
			p.config.KVTokens-p.used, p.config.KVTokens, s.tokens)
	}
	return nil
}

// add gives a sequence its memory.
func (p *process) add(s *sequence) {
	p.rollReport()
	p.arrivals++
	s.arrived = p.arrivals
	p.work[s.key] = s
	p.used += s.tokens
}

// drop frees a sequence's memory; it may be called again.
func (p *process) drop(s *sequence) {
	if p.work[s.key] != s {
		return
	}
	p.rollReport()
	delete(p.work, s.key)
	p.used -= s.tokens
	p.queue = without(p.queue, s)
	p.running = without(p.running, s)
}

// without removes a sequence and keeps the order of the others.
func without(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// holds reports whether a model is loaded.
func (p *process) holds(model, version, adapter string) bool {
	server := oriolebend.Server{Role: p.role, Models: p.models}
	return server.Serves(p.role, model, version, adapter)
}

func (p *process) heldModels() []oriolebend.LoadedModel {
	held := make([]oriolebend.LoadedModel, 0, len(p.models))
	for _, m := range p.models {
		m.Adapters = slices.Clone(m.Adapters)
		held = append(held, m)
	}
	return held
}

// load returns the true load as of a time.
func (p *process) load(at time.Time) engine.LoadReport {
	return engine.LoadReport{
		At:          at,
		Running:     len(p.work) - len(p.queue),
		Queued:      len(p.queue),
		FreeTokens:  p.config.KVTokens - p.used,
		TotalTokens: p.config.KVTokens,
	}
}

// rollReport brings the published report up to the last whole period. It is
// called before each change of the load, so that the load it takes has held
// since before the period's end.
func (p *process) rollReport() {
	period := time.Now().Truncate(p.config.LoadPeriod)
	if period.After(p.report.At) {
		p.report = p.load(period)
	}
}

// compareWork orders work by request, attempt and phase.
func compareWork(a, b engine.Work) int {
	return cmp.Or(
		strings.Compare(a.Attempt.RequestID, b.Attempt.RequestID),
		cmp.Compare(a.Attempt.Number, b.Attempt.Number),
		strings.Compare(string(a.Phase), string(b.Phase)),
	)
}

// failWork ends the work that match picks.
func (p *process) failWork(cause error, match func(workKey, *sequence) bool) {
	for key, s := range p.work {
		if match(key, s) {
			p.drop(s)
			s.cancel(cause)
		}
	}
}

// phaseOf returns the phase that a pool role runs.
func phaseOf(role oriolebend.PoolRole) message.Phase {
	if role == oriolebend.Decode {
		return message.PhaseDecode
	}
	return message.PhasePrefill
}
