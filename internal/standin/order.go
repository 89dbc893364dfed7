package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// rangesPerLoad is the number of range requests with which weights are read.
const rangesPerLoad = 8

// weightKey identifies the weights of a model version or of an adapter.
type weightKey struct {
	model   string
	version string
	adapter string
}

// path returns the path of the weights at the weight store.
func (w weightKey) path() string {
	path := PathWeights + url.PathEscape(w.model) + "/" + url.PathEscape(w.version)
	if w.adapter != "" {
		path += "/" + url.PathEscape(w.adapter)
	}
	return path
}

// weightLoad is a load in progress. It continues after the call that started it has
// ended, and an order that is sent again waits for the same load.
type weightLoad struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
	// err is set before done is closed.
	err error
}

// Order implements engine.Engine. Work whose model is unloaded, or whose phase belongs to
// another role, fails: the engine does not wait until it ends.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	p, err := e.beginCall(ctx, OperationOrder)
	if err != nil {
		return err
	}
	l, err := e.applyOrder(p, o)
	if l == nil || err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// applyOrder checks an order and applies it. For a load, it starts the load and returns
// it.
func (e *Engine) applyOrder(p *process, o engine.Order) (*weightLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoresFencing {
		if o.Fencing < p.fencing {
			return nil, newError(oriolebend.ReasonOutdatedOrder, "order %d after %d", o.Fencing, p.fencing)
		}
		p.fencing = o.Fencing
	}
	w := weightKey{model: o.Model, version: o.Version, adapter: o.Adapter}
	switch o.Action {
	case engine.OrderLoad:
		w.adapter = ""
		return e.startLoad(p, w)
	case engine.OrderAdapter:
		if !p.hasModel(o.Model, o.Version, "") {
			return nil, newError(oriolebend.ReasonWrongModel, "%s %s is not loaded", o.Model, o.Version)
		}
		return e.startLoad(p, w)
	case engine.OrderUnload:
		p.unload(w)
		return nil, nil
	case engine.OrderRole:
		return nil, p.changeRole(o.Role)
	default:
		return nil, newError(oriolebend.ReasonMalformed, "unknown action %q", o.Action)
	}
}

// startLoad starts the load of some weights, or returns the one in progress. It returns
// nil if the weights are already loaded.
func (e *Engine) startLoad(p *process, w weightKey) (*weightLoad, error) {
	if w.model == "" || w.version == "" {
		return nil, newError(oriolebend.ReasonMalformed, "a load names a model and a version")
	}
	if p.hasModel(w.model, w.version, w.adapter) {
		return nil, nil
	}
	if l, ok := p.loads[w]; ok {
		return l, nil
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	l := &weightLoad{cancel: cancel, done: make(chan struct{})}
	p.loads[w] = l
	go e.loadWeights(ctx, p, w, l)
	return l, nil
}

// loadWeights reads weights and then marks them as loaded.
func (e *Engine) loadWeights(ctx context.Context, p *process, w weightKey, l *weightLoad) {
	err := e.readWeights(ctx, w)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && ctx.Err() == nil {
		p.addWeights(w)
	} else {
		l.err = contextErrorOr(ctx, &engine.Error{Reason: oriolebend.ReasonEngineFailed, Detail: "load failed", Cause: err})
	}
	if p.loads[w] == l {
		delete(p.loads, w)
	}
	l.cancel(nil)
	close(l.done)
}

// readWeights reads weights from the weight store, or waits for LoadTime if there is
// none.
func (e *Engine) readWeights(ctx context.Context, w weightKey) error {
	if e.config.WeightStore == "" {
		select {
		case <-time.After(e.config.LoadTime):
			return nil
		case <-ctx.Done():
			return contextError(ctx)
		}
	}
	size, err := e.weightSize(ctx, w)
	if err != nil {
		return err
	}
	piece := max((size+rangesPerLoad-1)/rangesPerLoad, 1)
	for from := int64(0); from < size; from += piece {
		to := min(from+piece, size) - 1
		if err := e.readRange(ctx, w, from, to); err != nil {
			return err
		}
	}
	return nil
}

// weightSize returns the size of weights at the weight store.
func (e *Engine) weightSize(ctx context.Context, w weightKey) (int64, error) {
	response, err := e.requestWeights(ctx, http.MethodHead, w, "")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, newError(oriolebend.ReasonEngineFailed, "weight store answered %s", response.Status)
	}
	return strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
}

// readRange reads one byte range of weights.
func (e *Engine) readRange(ctx context.Context, w weightKey, from, to int64) error {
	response, err := e.requestWeights(ctx, http.MethodGet, w, fmt.Sprintf("bytes=%d-%d", from, to))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusPartialContent {
		return newError(oriolebend.ReasonEngineFailed, "weight store answered %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// requestWeights sends a request for weights to the weight store.
func (e *Engine) requestWeights(ctx context.Context, method string, w weightKey, byteRange string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.config.WeightStore+w.path(), nil)
	if err != nil {
		return nil, err
	}
	if byteRange != "" {
		request.Header.Set("Range", byteRange)
	}
	return e.config.Transport.RoundTrip(request)
}

// addWeights adds loaded weights to the models.
func (p *process) addWeights(w weightKey) {
	i := slices.IndexFunc(p.models, func(m oriolebend.LoadedModel) bool {
		return m.Model == w.model && m.Version == w.version
	})
	switch {
	case i < 0 && w.adapter == "":
		p.models = append(p.models, oriolebend.LoadedModel{Model: w.model, Version: w.version})
	case i >= 0 && w.adapter != "" && !slices.Contains(p.models[i].Adapters, w.adapter):
		p.models[i].Adapters = append(p.models[i].Adapters, w.adapter)
	}
}

// unload removes a model version, cancels its loads and fails the work of its model if no
// other version of it is loaded.
func (p *process) unload(w weightKey) {
	cause := newError(oriolebend.ReasonEngineFailed, "%s %s was unloaded", w.model, w.version)
	p.models = slices.DeleteFunc(p.models, func(m oriolebend.LoadedModel) bool {
		return m.Model == w.model && m.Version == w.version
	})
	for other, l := range p.loads {
		if other.model == w.model && other.version == w.version {
			delete(p.loads, other)
			l.cancel(cause)
		}
	}
	p.cancelWork(cause, func(_ workKey, s *sequence) bool {
		return s.model == w.model && !p.hasModel(w.model, "", "")
	})
}

// changeRole sets the pool role. Work of the other phase fails.
func (p *process) changeRole(role oriolebend.PoolRole) error {
	if role != oriolebend.Prefill && role != oriolebend.Decode {
		return newError(oriolebend.ReasonMalformed, "unknown role %q", role)
	}
	p.role = role
	cause := newError(oriolebend.ReasonEngineFailed, "role changed to %s", role)
	p.cancelWork(cause, func(key workKey, _ *sequence) bool { return key.phase != phaseOf(role) })
	return nil
}
