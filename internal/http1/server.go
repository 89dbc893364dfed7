package http1

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
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
	// Refused is told of requests that were not read; nil is told nothing.
	Refused func(Refusal)
	// MaxConnections bounds open connections; zero means 3,000, under the
	// 4,096 descriptors that small VMs allow. Beyond it a new connection takes the place of
	// the one that has lain idle for longest.
	MaxConnections int
	// Held counts the bodies of requests; nil counts nothing.
	Held *heldbytes.Account
}

// Refusal tells how a request that was not read was answered.
type Refusal struct {
	Status int
	Reason oriolebend.Reason
	Detail string
	// RetryAfter is when the caller may come back, zero if that will not help it.
	RetryAfter time.Duration
}

const defaultMaxConnections = 3000

// socketBytes is what the kernel keeps of a connection for a peer that does not send or read
// on. Left to itself it keeps megabytes, which count as memory of the VM.
const socketBytes = 64 << 10

// Listen opens a port for callers whose connections take little memory of the kernel.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A kernel that refuses keeps its own bounds.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

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
		c.Refused = func(Refusal) {}
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

// keep notes a new connection; false means that there is no room for it.
func (s *Server) keep(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil || (len(s.connections) >= s.config.MaxConnections && !s.closeLongestIdle()) {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

// closeLongestIdle makes room for a connection; false means that all are at work. The mutex
// is held.
//
// Callers that open connections and leave them idle would otherwise shut all others out.
func (s *Server) closeLongestIdle() bool {
	var longest *connection
	var most time.Duration
	for c := range s.connections {
		if idle := c.idle(); idle > most {
			longest, most = c, idle
		}
	}
	if longest == nil || !longest.closeIdle() {
		return false
	}
	delete(s.connections, longest)
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
