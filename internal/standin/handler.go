package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// heartbeatPeriod is the time after which a long call without output writes an empty
// line.
const heartbeatPeriod = time.Second

// maxRequestBytes bounds the body of a request to an engine.
const maxRequestBytes = 16 << 20

// Handler serves the engine protocol of docs/engine-protocol.md.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathPrefill, e.servePrefill)
	mux.HandleFunc("POST "+engine.PathDecode, e.serveDecode)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+engine.PathKV+"{handle}", e.serveKV)
	mux.HandleFunc("GET "+engine.PathWork, serveRead(e.Work))
	mux.HandleFunc("GET "+engine.PathLoad, serveRead(e.Load))
	mux.HandleFunc("GET "+engine.PathCacheIndex, serveRead(e.CacheIndex))
	mux.HandleFunc("GET "+engine.PathInfo, serveRead(e.Info))
	return mux
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	serveLong(e, w, r, func(ctx context.Context, body engine.PrefillRequest, lines *lineWriter) error {
		result, err := e.Prefill(ctx, body)
		if err != nil {
			return err
		}
		if strings.HasPrefix(result.SourceURL, "/") {
			result.SourceURL = "http://" + r.Host + result.SourceURL
		}
		return lines.write(engine.Line{Result: &result})
	})
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	serveLong(e, w, r, func(ctx context.Context, body engine.DecodeRequest, lines *lineWriter) error {
		return e.Decode(ctx, body, func(p message.Part) error {
			part := engine.LinePart{Offset: p.Offset, Tokens: p.Tokens, Text: p.Text, Finish: p.Finish}
			return lines.write(engine.Line{Part: &part})
		})
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	serveLong(e, w, r, func(ctx context.Context, body engine.Order, lines *lineWriter) error {
		if err := e.Order(ctx, body); err != nil {
			return err
		}
		return lines.write(engine.Line{Done: true})
	})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	body, err := readBody[engine.CancelRequest](w, r)
	if err == nil {
		err = e.Cancel(r.Context(), body.Attempt)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, &engine.Error{Reason: oriolebend.ReasonMalformed, Cause: err})
		return
	}
	serveRead(func(ctx context.Context) ([]engine.CacheEvent, error) {
		return e.CacheEvents(ctx, after)
	})(w, r)
}

// serveRead serves a read-only call.
func serveRead[T any](read func(context.Context) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := read(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// serveLong serves a call whose response is a stream of lines.
func serveLong[T any](e *Engine, w http.ResponseWriter, r *http.Request, run func(context.Context, T, *lineWriter) error) {
	body, err := readBody[T](w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	lines := newLineWriter(e, w)
	err = run(r.Context(), body, lines)
	started := lines.stop()
	switch {
	case err == nil:
	case !started:
		writeError(w, err)
	default:
		abortIfServerLost(err)
		_ = lines.write(engine.Line{Error: toEngineError(err)})
	}
}

// lineWriter writes the lines of one long call, and an empty line whenever nothing was
// written for heartbeatPeriod.
type lineWriter struct {
	engine  *Engine
	mu      sync.Mutex
	w       http.ResponseWriter
	json    *json.Encoder
	timer   *time.Timer
	started bool
	stopped bool
}

func newLineWriter(e *Engine, w http.ResponseWriter) *lineWriter {
	l := &lineWriter{engine: e, w: w, json: json.NewEncoder(w)}
	w.Header().Set("Content-Type", "application/x-ndjson")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(heartbeatPeriod, l.sendHeartbeat)
	return l
}

func (l *lineWriter) write(line engine.Line) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
	l.timer.Reset(heartbeatPeriod)
	if err := l.json.Encode(line); err != nil {
		return err
	}
	return http.NewResponseController(l.w).Flush()
}

// sendHeartbeat writes an empty line, unless the engine is frozen.
func (l *lineWriter) sendHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.timer.Reset(heartbeatPeriod)
	if l.engine.isFrozen() {
		return
	}
	l.started = true
	_, _ = l.w.Write([]byte("\n"))
	_ = http.NewResponseController(l.w).Flush()
}

// stop stops the heartbeats and reports whether anything was written.
func (l *lineWriter) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
	return l.started
}

// readBody decodes a JSON body of bounded size.
func readBody[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var body T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, &engine.Error{Reason: oriolebend.ReasonTooLarge, Cause: err}
	case err != nil:
		return body, &engine.Error{Reason: oriolebend.ReasonMalformed, Cause: err}
	}
	return body, nil
}

// writeError responds with a typed error, or aborts the connection if the engine has
// exited.
func writeError(w http.ResponseWriter, err error) {
	abortIfServerLost(err)
	typed := toEngineError(err)
	writeJSON(w, engine.StatusOf(typed.Reason), typed)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// abortIfServerLost aborts the connection if err shows that the engine has exited,
// because an exited process writes nothing.
func abortIfServerLost(err error) {
	if toEngineError(err).Reason == oriolebend.ReasonServerLost {
		panic(http.ErrAbortHandler)
	}
}

func toEngineError(err error) *engine.Error {
	var typed *engine.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &engine.Error{Reason: oriolebend.ReasonEngineFailed, Detail: err.Error()}
}
