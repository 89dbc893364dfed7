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

// loadRanges is in how many range requests weights are read.
const loadRanges = 8

// weights names what is loaded from the weight store.
type weights struct {
	model   string
	version string
	adapter string
}

func (w weights) path() string {
	path := PathWeights + url.PathEscape(w.model) + "/" + url.PathEscape(w.version)
	if w.adapter != "" {
		path += "/" + url.PathEscape(w.adapter)
	}
	return path
}

// loading is a load in progress. It goes on when the call that began it is
// gone; a resent order waits for the same load.
type loading struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
	// err is set before done is closed.
	err error
}

// Order implements engine.Engine. Work that an order takes the ground from
// fails: an engine does not wait for it.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	p, err := e.enter(ctx, OperationOrder)
	if err != nil {
		return err
	}
	l, err := e.begin(p, o)
	if l == nil || err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return ended(ctx)
	}
}

// begin checks an order and carries it out, or starts its load.
func (e *Engine) begin(p *process, o engine.Order) (*loading, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoresFencing {
		if o.Fencing < p.fencing {
			return nil, fail(oriolebend.ReasonOutdatedOrder, "order %d after %d", o.Fencing, p.fencing)
		}
		p.fencing = o.Fencing
	}
	w := weights{model: o.Model, version: o.Version, adapter: o.Adapter}
	switch o.Action {
	case engine.OrderLoad:
		w.adapter = ""
		return e.startLoad(p, w)
	case engine.OrderAdapter:
		if !p.holds(o.Model, o.Version, "") {
			return nil, fail(oriolebend.ReasonWrongModel, "%s %s is not loaded", o.Model, o.Version)
		}
		return e.startLoad(p, w)
	case engine.OrderUnload:
		p.unload(w)
		return nil, nil
	case engine.OrderRole:
		return nil, p.changeRole(o.Role)
	default:
		return nil, fail(oriolebend.ReasonMalformed, "unknown action %q", o.Action)
	}
}

// startLoad returns the load of some weights; nil if they are held.
func (e *Engine) startLoad(p *process, w weights) (*loading, error) {
	if w.model == "" || w.version == "" {
		return nil, fail(oriolebend.ReasonMalformed, "a load names a model and a version")
	}
	if p.holds(w.model, w.version, w.adapter) {
		return nil, nil
	}
	if l, ok := p.loading[w]; ok {
		return l, nil
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	l := &loading{cancel: cancel, done: make(chan struct{})}
	p.loading[w] = l
	go e.load(ctx, p, w, l)
	return l, nil
}

// load reads weights and then holds the model.
func (e *Engine) load(ctx context.Context, p *process, w weights, l *loading) {
	err := e.readWeights(ctx, w)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && ctx.Err() == nil {
		p.hold(w)
	} else {
		l.err = endedOr(ctx, &engine.Error{Reason: oriolebend.ReasonEngineFailed, Detail: "load failed", Cause: err})
	}
	if p.loading[w] == l {
		delete(p.loading, w)
	}
	l.cancel(nil)
	close(l.done)
}

// readWeights spends the time of a load.
func (e *Engine) readWeights(ctx context.Context, w weights) error {
	if e.config.WeightStore == "" {
		select {
		case <-time.After(e.config.LoadTime):
			return nil
		case <-ctx.Done():
			return ended(ctx)
		}
	}
	size, err := e.weightSize(ctx, w)
	if err != nil {
		return err
	}
	piece := max((size+loadRanges-1)/loadRanges, 1)
	for from := int64(0); from < size; from += piece {
		to := min(from+piece, size) - 1
		if err := e.readRange(ctx, w, from, to); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) weightSize(ctx context.Context, w weights) (int64, error) {
	response, err := e.askStore(ctx, http.MethodHead, w, "")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fail(oriolebend.ReasonEngineFailed, "weight store answered %s", response.Status)
	}
	return strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
}

func (e *Engine) readRange(ctx context.Context, w weights, from, to int64) error {
	response, err := e.askStore(ctx, http.MethodGet, w, fmt.Sprintf("bytes=%d-%d", from, to))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusPartialContent {
		return fail(oriolebend.ReasonEngineFailed, "weight store answered %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (e *Engine) askStore(ctx context.Context, method string, w weights, span string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.config.WeightStore+w.path(), nil)
	if err != nil {
		return nil, err
	}
	if span != "" {
		request.Header.Set("Range", span)
	}
	return e.config.Transport.RoundTrip(request)
}

// hold adds loaded weights.
func (p *process) hold(w weights) {
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

// unload drops a model version and all that builds on it.
func (p *process) unload(w weights) {
	cause := fail(oriolebend.ReasonEngineFailed, "%s %s was unloaded", w.model, w.version)
	p.models = slices.DeleteFunc(p.models, func(m oriolebend.LoadedModel) bool {
		return m.Model == w.model && m.Version == w.version
	})
	for other, l := range p.loading {
		if other.model == w.model && other.version == w.version {
			delete(p.loading, other)
			l.cancel(cause)
		}
	}
	p.failWork(cause, func(_ workKey, s *sequence) bool {
		return s.model == w.model && !p.holds(w.model, "", "")
	})
}

// changeRole takes another pool role; work of the old one fails.
func (p *process) changeRole(role oriolebend.PoolRole) error {
	if role != oriolebend.Prefill && role != oriolebend.Decode {
		return fail(oriolebend.ReasonMalformed, "unknown role %q", role)
	}
	p.role = role
	cause := fail(oriolebend.ReasonEngineFailed, "role changed to %s", role)
	p.failWork(cause, func(key workKey, _ *sequence) bool { return key.phase != phaseOf(role) })
	return nil
}
