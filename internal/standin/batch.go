package standin

import (
	"context"
	"slices"
	"time"
)

// computeStep is one step of an engine: a decode step of the batch and a prefill chunk.
type computeStep struct {
	decodes  []*sequence
	prefill  *sequence
	chunk    int
	duration time.Duration
}

// startLoop starts the loop of the engine unless it is running. The caller must hold the
// mutex.
func (e *Engine) startLoop(p *process) {
	if p.loopRunning {
		return
	}
	p.loopRunning = true
	go e.loop(p)
}

// loop computes steps until no work is left or the process ends.
func (e *Engine) loop(p *process) {
	for {
		s, ok := e.planStep(p)
		if !ok || !e.waitStep(p.ctx, s.duration) {
			return
		}
		e.applyStep(p, s)
	}
}

// planStep returns the next step: all decodes whose KV cache is imported, up to the
// batch limit, and one chunk of the first prefill. It returns false if there is no work.
func (e *Engine) planStep(p *process) (computeStep, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(p.queue) == 0 && len(p.running) == 0 {
		p.loopRunning = false
		return computeStep{}, false
	}
	s := computeStep{decodes: e.planDecodes(p)}
	if n := len(s.decodes); n > 0 {
		s.duration = e.config.DecodeStep + time.Duration(n-1)*e.config.DecodeStep/batchSlowdownDivisor
	}
	if len(p.queue) > 0 {
		s.prefill, s.chunk = planPrefill(p)
		s.duration += time.Duration(float64(s.chunk) / e.config.PrefillTokens * float64(time.Second))
	}
	s.duration = time.Duration(float64(s.duration) * e.slowFactor)
	return s, true
}

// planDecodes selects the decodes of the next step, the most urgent ones first if there
// are more than the batch limit.
func (e *Engine) planDecodes(p *process) []*sequence {
	p.batch = append(p.batch[:0], p.running...)
	if len(p.batch) > e.config.MaxBatch {
		slices.SortFunc(p.batch, compareSequences)
		p.batch = p.batch[:e.config.MaxBatch]
	}
	return p.batch
}

// planPrefill selects the most urgent prefill and the size of its next chunk. It reads
// the prefix cache when a prefill starts, not when it arrives, so that the prefill uses
// the blocks that earlier prefills stored.
func planPrefill(p *process) (*sequence, int) {
	first := slices.MinFunc(p.queue, compareSequences)
	if first.cached < 0 {
		first.cached = p.cache.cachedTokens(first.blocks)
		first.remaining = first.tokens - first.cached
	}
	return first, min(first.remaining, prefillChunk)
}

func compareSequences(a, b *sequence) int {
	if a.precedes(b) {
		return -1
	}
	return 1
}

// applyStep applies the results of a step.
func (e *Engine) applyStep(p *process, s computeStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.updateReport()
	for _, d := range s.decodes {
		if p.work[d.key] == d {
			e.addToken(p, d)
		}
	}
	if s.prefill == nil || p.work[s.prefill.key] != s.prefill {
		return
	}
	s.prefill.remaining -= s.chunk
	if s.prefill.remaining <= 0 {
		e.export(p, s.prefill)
	}
}

// addToken adds one output token to a decode. The decode keeps its memory until the last
// token was delivered.
func (e *Engine) addToken(p *process, d *sequence) {
	d.produced++
	e.stats.DecodedTokens++
	if d.produced >= d.limit {
		p.running = removeSequence(p.running, d)
	}
	d.signal()
}

// waitStep waits for the duration of a step and while the engine is frozen. It returns
// false if the process ended.
func (e *Engine) waitStep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return e.waitUnfrozen(ctx) == nil
}
