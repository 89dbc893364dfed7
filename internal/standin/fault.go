package standin

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Operation identifies the operation in which a fault is injected.
type Operation string

// Operations of an engine.
const (
	OperationPrefill Operation = "prefill"
	OperationDecode  Operation = "decode"
	// OperationPart is the point after a part of a decode was passed to emit.
	OperationPart   Operation = "part"
	OperationFetch  Operation = "fetch"
	OperationCancel Operation = "cancel"
	OperationWork   Operation = "work"
	OperationLoad   Operation = "load"
	OperationCache  Operation = "cache"
	OperationInfo   Operation = "info"
	OperationOrder  Operation = "order"
)

// Kill ends the process of the engine abruptly. Memory, results and loaded models are
// lost, and calls in progress and later calls fail with serverLost.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endProcess()
}

// Close stops the engine.
func (e *Engine) Close() {
	e.Kill()
}

// endProcess cancels the process and drops its results. The caller must hold the mutex.
func (e *Engine) endProcess() {
	e.process.cancel(&engine.Error{Reason: oriolebend.ReasonServerLost, Detail: e.config.Name + " is gone"})
	for _, x := range e.process.exports {
		e.dropExport(e.process, x)
	}
	e.unfreeze()
}

// Restart ends the process if it is running, and starts a new one with empty memory and
// the next incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endProcess()
	e.process = newProcess(e.config, e.process.incarnation+1)
}

// Freeze suspends the process if stop is true, and resumes it otherwise. A frozen engine
// keeps its connections open and sends nothing.
func (e *Engine) Freeze(stop bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !stop {
		e.unfreeze()
	} else if e.unfrozen == nil {
		e.unfrozen = make(chan struct{})
	}
}

// unfreeze resumes a frozen engine. The caller must hold the mutex.
func (e *Engine) unfreeze() {
	if e.unfrozen != nil {
		close(e.unfrozen)
		e.unfrozen = nil
	}
}

// SlowBy multiplies the duration of every step by factor; 1 is the normal speed.
func (e *Engine) SlowBy(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// StallLinks stops the link of the engine if stop is true, and resumes it otherwise.
func (e *Engine) StallLinks(stop bool) {
	e.link.Stall(stop)
}

// DropEvents makes the engine lose the next count cache events.
func (e *Engine) DropEvents(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.cache.dropNext = count
}

// FailNext makes the next run of an operation fail with a reason.
func (e *Engine) FailNext(o Operation, r oriolebend.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failNext[o] = r
}

// takeFault removes and returns the failure that is injected into an operation, if any.
func (e *Engine) takeFault(o Operation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason, ok := e.failNext[o]
	if !ok {
		return nil
	}
	delete(e.failNext, o)
	return newError(reason, "fault of %s", o)
}

// beginCall starts a call: it waits while the engine is frozen and returns the process
// that serves the call.
func (e *Engine) beginCall(ctx context.Context, o Operation) (*process, error) {
	if err := e.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	if err := e.takeFault(o); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.ctx.Err() != nil {
		return nil, contextError(e.process.ctx)
	}
	return e.process, nil
}

// waitUnfrozen waits until the engine is not frozen.
func (e *Engine) waitUnfrozen(ctx context.Context) error {
	e.mu.Lock()
	unfrozen := e.unfrozen
	e.mu.Unlock()
	if unfrozen == nil {
		return nil
	}
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// isFrozen reports whether the engine is frozen.
func (e *Engine) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unfrozen != nil
}
