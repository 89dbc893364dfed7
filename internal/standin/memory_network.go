package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// MemoryNetwork is an http.RoundTripper that passes requests to handlers in the same
// process, by the host of their URL, without a socket. Under testing/synctest, all waits
// then use the fake clock of the test.
type MemoryNetwork map[string]http.Handler

// UnreachableError reports that a host has no handler, or that its handler aborted the
// connection before the response began.
type UnreachableError struct {
	Host string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("standin: %s is not reachable", e.Host)
}

// RoundTrip implements http.RoundTripper.
func (n MemoryNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := n[r.URL.Host]
	if !ok {
		return nil, &UnreachableError{Host: r.URL.Host}
	}
	reader, writer := io.Pipe()
	w := &memoryWriter{header: make(http.Header), started: make(chan struct{}), body: writer}
	// The handler's context is cancelled without the caller's cause, and only after
	// the caller can read no more of the response.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		_ = reader.CloseWithError(context.Cause(r.Context()))
		cancel()
	})
	end := func() {
		stop()
		_ = reader.Close()
		cancel()
	}
	go w.serve(handler, handlerRequest(ctx, r))
	select {
	case <-w.started:
	case <-r.Context().Done():
		end()
		return nil, context.Cause(r.Context())
	}
	if w.aborted {
		end()
		return nil, &UnreachableError{Host: r.URL.Host}
	}
	return w.response(r, &memoryBody{PipeReader: reader, end: end}), nil
}

// handlerRequest returns the request that is passed to the handler.
func handlerRequest(ctx context.Context, r *http.Request) *http.Request {
	clone := r.Clone(ctx)
	clone.Host = r.URL.Host
	if clone.Body == nil {
		clone.Body = http.NoBody
	}
	return clone
}

// memoryBody is the body of a response. Closing it cancels the context of the handler.
type memoryBody struct {
	*io.PipeReader
	end func()
}

// Close implements io.Closer.
func (b *memoryBody) Close() error {
	b.end()
	return nil
}

// memoryWriter is the http.ResponseWriter of a MemoryNetwork.
type memoryWriter struct {
	header  http.Header
	sent    http.Header
	status  int
	once    sync.Once
	started chan struct{}
	aborted bool
	body    *io.PipeWriter
}

// serve runs the handler and completes the response.
func (w *memoryWriter) serve(h http.Handler, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			w.abort(cause)
		}
	}()
	h.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	_ = w.body.Close()
}

// abort aborts the connection, like net/http after a panic with ErrAbortHandler. It
// re-panics with any other value.
func (w *memoryWriter) abort(cause any) {
	if cause != http.ErrAbortHandler {
		panic(cause)
	}
	w.once.Do(func() {
		w.aborted = true
		close(w.started)
	})
	_ = w.body.CloseWithError(io.ErrUnexpectedEOF)
}

func (w *memoryWriter) response(r *http.Request, body io.ReadCloser) *http.Response {
	return &http.Response{
		Status:           fmt.Sprintf("%d %s", w.status, http.StatusText(w.status)),
		StatusCode:       w.status,
		Proto:            "HTTP/1.1",
		ProtoMajor:       1,
		ProtoMinor:       1,
		Header:           w.sent,
		Body:             body,
		ContentLength:    -1,
		TransferEncoding: []string{"chunked"}, // as net/http answers; the pipe tells the end of the body
		Request:          r,
	}
}

// Header implements http.ResponseWriter.
func (w *memoryWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *memoryWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sent = w.header.Clone()
		close(w.started)
	})
}

// Write implements http.ResponseWriter.
func (w *memoryWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (w *memoryWriter) Flush() {
	w.WriteHeader(http.StatusOK)
}
