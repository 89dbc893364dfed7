package role

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// cancelTimeout bounds one cancel call; the gate repeats it if it fails.
const cancelTimeout = 2 * time.Second

// listTimeout bounds one query for the engine's work. A failed query is repeated and
// ends no work: only engineWatch decides that an engine is lost.
const listTimeout = 2 * time.Second

// workKey identifies one piece of work in progress.
type workKey struct {
	attempt message.Attempt
	phase   message.Phase
}

// engineWork performs the gate's effects on its engine or service and posts their
// outcome.
type engineWork struct {
	engine  engine.Engine
	service service.Service
	post    func(reducer.Event)
	ctx     context.Context

	mu      sync.Mutex
	cancels map[workKey]context.CancelFunc
}

func newEngineWork(e engine.Engine, s service.Service, post func(reducer.Event)) *engineWork {
	return &engineWork{engine: e, service: s, post: post, cancels: map[workKey]context.CancelFunc{}}
}

func (w *engineWork) perform(effect gate.Effect) {
	switch f := effect.(type) {
	case gate.RunPrefill:
		w.start(workKey{f.Request.Attempt, message.PhasePrefill}, func(ctx context.Context) { w.prefill(ctx, f.Request) })
	case gate.RunDecode:
		w.start(workKey{f.Request.Attempt, message.PhaseDecode}, func(ctx context.Context) { w.decode(ctx, f.Request) })
	case gate.RunCall:
		w.start(workKey{f.Call.Attempt, message.PhaseCall}, func(ctx context.Context) { w.call(ctx, f.Call) })
	case gate.QueryStatus:
		go w.queryStatus(f.Query)
	case gate.CancelWork:
		go w.cancel(f.Attempt)
	case gate.ListWork:
		go w.listWork()
	case gate.ListCache:
		go w.listCache()
	}
}

// start runs work in a goroutine under a context that cancel ends.
func (w *engineWork) start(key workKey, run func(context.Context)) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.cancels[key] = cancel
	w.mu.Unlock()
	go func() {
		run(ctx)
		cancel()
		w.mu.Lock()
		delete(w.cancels, key)
		w.mu.Unlock()
	}()
}

func (w *engineWork) prefill(ctx context.Context, r engine.PrefillRequest) {
	result, err := w.engine.Prefill(ctx, r)
	if err != nil {
		w.postFailure(r.Attempt, message.PhasePrefill, err)
		return
	}
	w.post(gate.EnginePrefilled{At: time.Now(), Attempt: r.Attempt, Result: result})
}

func (w *engineWork) decode(ctx context.Context, r engine.DecodeRequest) {
	err := w.engine.Decode(ctx, r, func(p message.Part) error {
		w.post(gate.EnginePart{At: time.Now(), Part: p})
		return ctx.Err()
	})
	if err != nil {
		w.postFailure(r.Attempt, message.PhaseDecode, err)
	}
}

// call runs a call of a plain service. The gate cancels only calls that may be
// repeated. A call that may run at most once can't be undone by closing the
// connection, so it runs to its end even if the caller has disconnected.
func (w *engineWork) call(ctx context.Context, c message.Call) {
	answer, err := w.service.Call(ctx, c)
	if err != nil {
		w.postFailure(c.Attempt, message.PhaseCall, err)
		return
	}
	w.post(gate.ServiceAnswered{At: time.Now(), Answer: answer})
}

func (w *engineWork) queryStatus(q message.StatusQuery) {
	answer, err := w.service.Status(w.ctx, q)
	if err != nil {
		w.postFailure(q.Attempt, message.PhaseCall, err)
		return
	}
	w.post(gate.ServiceAnswered{At: time.Now(), Answer: answer})
}

func (w *engineWork) cancel(a message.Attempt) {
	w.mu.Lock()
	for _, phase := range []message.Phase{message.PhasePrefill, message.PhaseDecode, message.PhaseCall} {
		if cancel := w.cancels[workKey{a, phase}]; cancel != nil {
			cancel()
		}
	}
	w.mu.Unlock()
	if w.engine == nil {
		w.post(gate.Cancelled{At: time.Now(), Attempt: a})
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, cancelTimeout)
	defer cancel()
	err := w.engine.Cancel(ctx, a)
	w.post(gate.Cancelled{At: time.Now(), Attempt: a, Failed: err != nil})
}

// listWork queries the engine for its work. Only engineWatch decides whether the
// engine is lost. Otherwise one lost answer would end every request of the gate,
// and no event would report that the engine still answers. The gate repeats a
// failed query.
func (w *engineWork) listWork() {
	ctx, cancel := context.WithTimeout(w.ctx, listTimeout)
	defer cancel()
	work, err := w.engine.Work(ctx)
	w.post(gate.WorkListed{At: time.Now(), Work: work, Failed: err != nil})
}

func (w *engineWork) listCache() {
	index, err := w.engine.CacheIndex(w.ctx)
	if err != nil {
		return
	}
	w.post(gate.CacheListed{At: time.Now(), Index: index})
}

// postFailure posts that work has ended without a result.
func (w *engineWork) postFailure(a message.Attempt, phase message.Phase, err error) {
	event := gate.WorkFailed{At: time.Now(), Attempt: a, Phase: phase, Reason: oriolebend.ReasonEngineFailed, Ran: oriolebend.RanUnknown, Detail: err.Error()}
	var engineError *engine.Error
	if errors.As(err, &engineError) {
		event.Reason = engineError.Reason
	}
	var serviceError *service.Error
	if errors.As(err, &serviceError) {
		event.Reason = serviceError.Reason
		event.Ran = serviceError.Ran
	}
	w.post(event)
}
