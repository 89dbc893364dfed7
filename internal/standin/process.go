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

// process is one incarnation of an engine. It holds all state that is lost when the
// engine crashes. The engine's mutex guards its fields, except ctx.
type process struct {
	config      EngineConfig
	ctx         context.Context
	cancel      context.CancelCauseFunc
	incarnation uint64

	role    oriolebend.PoolRole
	models  []oriolebend.LoadedModel
	loads   map[weightKey]*weightLoad
	fencing uint64

	work        map[workKey]*sequence
	queue       []*sequence // prefills that are not computed yet
	running     []*sequence // decodes whose KV cache is imported
	batch       []*sequence // the decodes of the step in progress
	exports     map[string]*export
	arrivals    uint64
	usedTokens  int
	loopRunning bool
	cache       *prefixCache
	report      engine.LoadReport
}

func newProcess(c EngineConfig, incarnation uint64) *process {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &process{
		config:      c,
		ctx:         ctx,
		cancel:      cancel,
		incarnation: incarnation,
		role:        c.Role,
		loads:       make(map[weightKey]*weightLoad),
		work:        make(map[workKey]*sequence),
		exports:     make(map[string]*export),
		cache:       newCache(c, incarnation),
	}
	for _, m := range c.Models {
		m.Adapters = slices.Clone(m.Adapters)
		p.models = append(p.models, m)
	}
	p.report = p.currentLoad(time.Now().Truncate(c.LoadPeriod))
	return p
}

// checkAdmission returns an error if a sequence can't be admitted.
func (p *process) checkAdmission(s *sequence, r requirement) error {
	switch {
	case p.ctx.Err() != nil:
		return contextError(p.ctx)
	case p.role != r.role:
		return newError(oriolebend.ReasonWrongRole, "engine is of role %s", p.role)
	case !p.hasModel(r.model, r.version, r.adapter):
		return newError(oriolebend.ReasonWrongModel, "%s %s %s is not loaded", r.model, r.version, r.adapter)
	case p.work[s.key] != nil:
		return newError(oriolebend.ReasonAttemptUsed, "attempt %d runs here", s.key.attempt.Number)
	case p.usedTokens+s.tokens > p.config.KVTokens:
		return newError(oriolebend.ReasonNoMemory, "%d of %d tokens are free, %d needed",
			p.config.KVTokens-p.usedTokens, p.config.KVTokens, s.tokens)
	}
	return nil
}

// addSequence allocates the memory of a sequence.
func (p *process) addSequence(s *sequence) {
	p.updateReport()
	p.arrivals++
	s.arrival = p.arrivals
	p.work[s.key] = s
	p.usedTokens += s.tokens
}

// dropSequence frees the memory of a sequence. It may be called more than once.
func (p *process) dropSequence(s *sequence) {
	if p.work[s.key] != s {
		return
	}
	p.updateReport()
	delete(p.work, s.key)
	p.usedTokens -= s.tokens
	p.queue = removeSequence(p.queue, s)
	p.running = removeSequence(p.running, s)
}

// removeSequence removes a sequence from a list and keeps the order of the others.
func removeSequence(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// hasModel reports whether a model is loaded. An empty version or adapter matches any.
func (p *process) hasModel(model, version, adapter string) bool {
	server := oriolebend.Server{Role: p.role, Models: p.models}
	return server.Serves(p.role, model, version, adapter)
}

// copyModels returns a copy of the loaded models.
func (p *process) copyModels() []oriolebend.LoadedModel {
	models := make([]oriolebend.LoadedModel, 0, len(p.models))
	for _, m := range p.models {
		m.Adapters = slices.Clone(m.Adapters)
		models = append(models, m)
	}
	return models
}

// currentLoad returns the current load, with the given time as its time.
func (p *process) currentLoad(at time.Time) engine.LoadReport {
	return engine.LoadReport{
		At:          at,
		Running:     len(p.work) - len(p.queue),
		Queued:      len(p.queue),
		FreeTokens:  p.config.KVTokens - p.usedTokens,
		TotalTokens: p.config.KVTokens,
	}
}

// updateReport updates the published report to the end of the last full period. It is
// called before each change of the load, so that the load that it reads was already
// in effect at the end of that period.
func (p *process) updateReport() {
	period := time.Now().Truncate(p.config.LoadPeriod)
	if period.After(p.report.At) {
		p.report = p.currentLoad(period)
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

// cancelWork cancels the work for which match returns true.
func (p *process) cancelWork(cause error, match func(workKey, *sequence) bool) {
	for key, s := range p.work {
		if match(key, s) {
			p.dropSequence(s)
			s.cancel(cause)
		}
	}
}

// phaseOf returns the phase that engines of a pool role run.
func phaseOf(role oriolebend.PoolRole) message.Phase {
	if role == oriolebend.Decode {
		return message.PhaseDecode
	}
	return message.PhasePrefill
}
