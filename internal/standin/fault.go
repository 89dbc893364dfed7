package standin

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Operation names what a fault is to hit.
type Operation string

// Operations of an engine.
const (
	OperationPrefill Operation = "prefill"
	OperationDecode  Operation = "decode"
	// OperationPart is the moment after a part of a decode was handed over.
	OperationPart   Operation = "part"
	OperationFetch  Operation = "fetch"
	OperationCancel Operation = "cancel"
	OperationWork   Operation = "work"
	OperationLoad   Operation = "load"
	OperationCache  Operation = "cache"
	OperationInfo   Operation = "info"
	OperationOrder  Operation = "order"
)

// Kill ends the engine's process abruptly: memory, results and loaded models
// are lost, and calls in progress and later ones end as serverLost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.Kill()
}

func (e *Engine) end() {
	e.process.end(&engine.Error{Reason: oriolebend.ReasonServerLost, Detail: e.config.Name + " is gone"})
	for _, x := range e.process.exports {
		e.dropExport(e.process, x)
	}
	e.thaw()
}

// Restart kills the process, if it lives, and starts a new one with empty
// memory and the next incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	e.process = newProcess(e.config, e.process.number+1)
}

// Freeze stops the process without ending it, or lets it go on. A frozen
// engine keeps its connections open and answers nothing.
func (e *Engine) Freeze(stop bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !stop {
		e.thaw()
	} else if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

func (e *Engine) thaw() {
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// SlowBy makes every step take so many times as long; 1 is the usual speed.
func (e *Engine) SlowBy(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// StallLinks stops the engine's link, or lets it go on.
func (e *Engine) StallLinks(stop bool) {
	e.link.Stall(stop)
}

// DropEvents loses the next cache events.
func (e *Engine) DropEvents(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.cache.dropNext = count
}

// FailNext makes the next call of an operation fail with a reason.
func (e *Engine) FailNext(o Operation, r oriolebend.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failNext[o] = r
}

// fault returns the failure that is due for an operation, if any.
func (e *Engine) fault(o Operation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason, ok := e.failNext[o]
	if !ok {
		return nil
	}
	delete(e.failNext, o)
	return fail(reason, "fault of %s", o)
}

// enter begins a call: it waits while the engine is frozen, and returns the
// process that serves the call.
func (e *Engine) enter(ctx context.Context, o Operation) (*process, error) {
	if err := e.thawed(ctx); err != nil {
		return nil, err
	}
	if err := e.fault(o); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.ctx.Err() != nil {
		return nil, ended(e.process.ctx)
	}
	return e.process, nil
}

// thawed waits until the engine is not frozen.
func (e *Engine) thawed(ctx context.Context) error {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ended(ctx)
	}
}

// isFrozen reports whether the engine is frozen.
func (e *Engine) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frozen != nil
}
