package standin

import (
	"context"
	"slices"
	"time"
)

// step is what an engine computes between two choices.
type step struct {
	decodes []*sequence
	prefill *sequence
	chunk   int
	took    time.Duration
}

// wake starts the engine's loop unless it runs. The caller holds the mutex.
func (e *Engine) wake(p *process) {
	if p.looping {
		return
	}
	p.looping = true
	go e.loop(p)
}

// loop computes step after step and ends when there is no work.
func (e *Engine) loop(p *process) {
	for {
		s, ok := e.plan(p)
		if !ok || !e.spend(p.ctx, s.took) {
			return
		}
		e.finish(p, s)
	}
}

// plan chooses the next step: every imported decode up to the batch's bound,
// and one chunk of the first prefill.
func (e *Engine) plan(p *process) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(p.queue) == 0 && len(p.running) == 0 {
		p.looping = false
		return step{}, false
	}
	s := step{decodes: e.planDecodes(p)}
	if n := len(s.decodes); n > 0 {
		s.took = e.config.DecodeStep + time.Duration(n-1)*e.config.DecodeStep/perSequenceShare
	}
	if len(p.queue) > 0 {
		s.prefill, s.chunk = planPrefill(p)
		s.took += time.Duration(float64(s.chunk) / e.config.PrefillTokens * float64(time.Second))
	}
	s.took = time.Duration(float64(s.took) * e.slow)
	return s, true
}

func (e *Engine) planDecodes(p *process) []*sequence {
	p.batch = append(p.batch[:0], p.running...)
	if len(p.batch) > e.config.MaxBatch {
		slices.SortFunc(p.batch, compareSequences)
		p.batch = p.batch[:e.config.MaxBatch]
	}
	return p.batch
}

// planPrefill picks the most urgent prefill and its next chunk. The prefix
// cache is read when a prefill starts, not when it arrives, so that it finds
// what those before it left there.
func planPrefill(p *process) (*sequence, int) {
	first := slices.MinFunc(p.queue, compareSequences)
	if first.cached < 0 {
		first.cached = p.cache.cached(first.blocks)
		first.remaining = first.tokens - first.cached
	}
	return first, min(first.remaining, prefillChunk)
}

func compareSequences(a, b *sequence) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// finish takes over what a step computed.
func (e *Engine) finish(p *process, s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.rollReport()
	for _, d := range s.decodes {
		if p.work[d.key] == d {
			e.advance(p, d)
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

// advance gives a decode one more token. Its memory is held until the last
// token was handed over.
func (e *Engine) advance(p *process, d *sequence) {
	d.produced++
	e.stats.DecodedTokens++
	if d.produced >= d.limit {
		p.running = without(p.running, d)
	}
	d.signal()
}

// spend passes the time of a step, and that of a freeze; it returns false if
// the process ended.
func (e *Engine) spend(ctx context.Context, took time.Duration) bool {
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return e.thawed(ctx) == nil
}
