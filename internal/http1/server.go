package http1

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time from the first byte of a request to the end of
	// its header, and again to the end of its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may lie between two requests.
	IdleTimeout time.Duration
}

// DefaultLimits hold where Limits gives zero.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    30 * time.Second,
}

// Or fills zero bounds from the default.
func (l Limits) Or(d Limits) Limits {
	return Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, d.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(l.MaxBodyBytes, d.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(l.HeaderTimeout, d.HeaderTimeout),
		IdleTimeout:    cmp.Or(l.IdleTimeout, d.IdleTimeout),
	}
}

// Handler answers one request. It must answer through a before it returns; ctx
// ends when the caller leaves.
type Handler func(ctx context.Context, r *Request, a *Answer)

// Config sets up a Server. Handler is required.
type Config struct {
	Handler Handler
	// Limits returns the bounds in force; nil means DefaultLimits.
	Limits func() Limits
	Logger *slog.Logger
	// Refused is told of requests that can't be read; nil is told nothing.
	Refused func(status int, detail string)
	// MaxConnections bounds open connections; zero means 3,000, under the
	// 4,096 descriptors that small VMs allow.
	MaxConnections int
}

const defaultMaxConnections = 3000

// Server accepts callers' connections.
type Server struct {
	config   Config
	listener net.Listener

	ctx    context.Context
	cancel context.CancelFunc

	mutex       sync.Mutex
	connections map[*connection]struct{}
	active      atomic.Int64
	// closing is set while the server stops: each answer announces the end of
	// its connection.
	closing atomic.Bool
	// stopping is set once idle connections are closed.
	stopping atomic.Bool
	done     sync.WaitGroup
}

// Serve begins to accept connections of a listener.
func Serve(listener net.Listener, c Config) *Server {
	if c.Limits == nil {
		c.Limits = func() Limits { return DefaultLimits }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Refused == nil {
		c.Refused = func(int, string) {}
	}
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	s := &Server{config: c, listener: listener, connections: map[*connection]struct{}{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.accept)
	return s
}

// acceptPause is the pause after a failed accept, such as one for lack of
// descriptors: trying again at once would take the whole processor.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Logger.Warn("a connection was not accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		if !s.keep(c) {
			_ = conn.Close()
			continue
		}
		s.done.Go(c.serve)
	}
}

func (s *Server) keep(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil || len(s.connections) >= s.config.MaxConnections {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) forget(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

// Active is how many requests have been read and not answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections is how many connections are open.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.connections)
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain has each further answer announce the end of its connection. Requests
// are still taken, on old and new connections.
func (s *Server) Drain() { s.closing.Store(true) }

// Stop takes no more connections, closes those that lie idle, and returns once
// the requests in progress are answered or ctx ends; what is left is then cut.
//
// An idle connection is closed without reading from it: a request that crosses
// the close has then provably not been read, and its caller may send it again.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.mutex.Lock()
	for c := range s.connections {
		c.closeIdle()
	}
	s.mutex.Unlock()
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.Close()
	}
	s.cancel()
}

// Close cuts all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		_ = c.conn.Close()
	}
}
