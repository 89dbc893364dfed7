package caller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/settings"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the requests in progress on one HTTP/2 connection.
	maxStreams = 64
	// defaultMaxConnections bounds the callers' connections of one entry.
	defaultMaxConnections = 4096
)

// TCP keep-alive probes detect a caller's VM that has died: it does not close its
// connection, and without probes its request would hold memory until the answer is
// written.
const (
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

// Server returns the HTTP server for callers. It serves HTTP/1.1, and HTTP/2 without
// TLS to clients that begin a connection with it. It bounds the size of a request's
// head and the time to read it; the handler bounds bodies and writes.
func Server(c settings.Caller, h http.Handler, logger *slog.Logger) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: c.HeaderTimeout.Or(defaultHeaderTimeout),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	if logger != nil {
		server.ErrorLog = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	}
	return server
}

// Listen listens for callers. It accepts at most MaxConnections connections at a
// time; further ones wait in the kernel's accept queue.
func Listen(ctx context.Context, c settings.Caller) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	listener, err := config.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return nil, &ListenError{Address: c.Listen, Cause: err}
	}
	limit := c.MaxConnections
	if limit == 0 {
		limit = defaultMaxConnections
	}
	return limitConnections(listener, limit), nil
}

// ListenError reports that the server can't listen on the address for callers.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen for callers on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// limitedListener accepts a connection only once a slot is free for it.
type limitedListener struct {
	net.Listener
	slots     chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn and frees the slot of the connection.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
