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
	// idleTimeout ends connections that callers keep without using them.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the requests in progress on one HTTP/2 connection.
	maxStreams = 64
	// defaultMaxConnections bounds the callers' connections of one entry.
	defaultMaxConnections = 4096
)

// Probes of an idle connection: a caller's VM that died sends no end of the
// connection, and its request would hold memory until the answer is written.
const (
	probeIdle     = 15 * time.Second
	probeInterval = 5 * time.Second
	probeCount    = 3
)

// Server returns the HTTP server towards callers, for HTTP/1.1 and for HTTP/2
// without TLS from clients that begin with it. It bounds the head of a request
// in bytes and time; the handler bounds bodies and writes.
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

// Listen listens for callers. It accepts no more than MaxConnections at a
// time; the rest wait in the system's own queue.
func Listen(ctx context.Context, c settings.Caller) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
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

// ListenError tells that the callers' address can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen for callers on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the error beneath.
func (e *ListenError) Unwrap() error { return e.Cause }

// limitedListener accepts a connection only while it holds a place for it.
type limitedListener struct {
	net.Listener
	places    chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, places: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.places })}, nil
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

// Close implements net.Conn and gives the place back.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
