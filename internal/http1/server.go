package http1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolebend/oriolebend/internal/connlimit"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/saturation"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header, and the time from there to the end of its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
}

// DefaultLimits holds the limits that replace zero values in Limits.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    30 * time.Second,
}

// Or returns l with its zero values replaced by those of d.
func (l Limits) Or(d Limits) Limits {
	return Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, d.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(l.MaxBodyBytes, d.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(l.HeaderTimeout, d.HeaderTimeout),
		IdleTimeout:    cmp.Or(l.IdleTimeout, d.IdleTimeout),
	}
}

// Handler answers one request. It must write the answer to a before it returns; ctx is
// cancelled when the caller disconnects.
type Handler func(ctx context.Context, r *Request, a *Answer)

// Config configures a Server. Handler is required.
type Config struct {
	Handler Handler
	// Limits returns the limits in force; nil means DefaultLimits.
	Limits func() Limits
	Logger *slog.Logger
	// Refused is called for each request that was refused before it was read; it may be
	// nil.
	Refused func(Refusal)
	// MaxConnections bounds open connections; zero means 3,000, which is under the
	// 4,096 descriptors that small VMs allow. At the limit, the peer with the most connections
	// loses the one that has waited longest for a complete request.
	MaxConnections int
	// Held accounts for the bodies of requests; nil accounts for none.
	Held *memorybudget.Account
	// Meter measures the traffic with callers. While it reports that the process is saturated, new
	// connections are reset before anything is read from them. It may be nil.
	Meter *saturation.Meter
}

// Refusal describes the answer to a request that was not read.
type Refusal struct {
	Status int
	Reason oriolebend.Reason
	Detail string
	// RetryAfter is the delay after which the caller may retry, zero if a retry does not
	// help.
	RetryAfter time.Duration
}

const defaultMaxConnections = 3000

// socketBufferBytes is the size of the kernel's receive buffer and of its send buffer for a
// connection. By default they grow to megabytes for a peer that stops sending or reading, and
// count as memory of the VM.
const socketBufferBytes = 64 << 10

// Listen listens on an address for callers. Their connections have small kernel buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// If the kernel refuses the sizes, its own limits hold.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Server accepts callers' connections.
type Server struct {
	config  Config
	address string

	ctx    context.Context
	cancel context.CancelFunc

	mutex       sync.Mutex
	connections connlimit.Set[*connection]
	// listener is nil while the server does not listen. paused is when it was paused, zero if it
	// listens or has stopped.
	listener net.Listener
	paused   time.Time
	active   atomic.Int64
	// turnedAway counts the connections that were reset because the process was saturated.
	turnedAway atomic.Int64
	// closing is true once the server drains: each answer then announces the end of its
	// connection.
	closing atomic.Bool
	// stopping is true once the server stops: connections are then closed when they
	// become idle.
	stopping atomic.Bool
	done     sync.WaitGroup
}

// Serve starts a server that accepts the connections of a listener.
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
	s := &Server{config: c, address: listener.Addr().String(), listener: listener}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(func() { s.accept(listener) })
	return s
}

// Pause closes the port, so that new connections are refused before callers send anything. Open
// connections are served on.
func (s *Server) Pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener == nil {
		return
	}
	s.paused = time.Now()
	s.closeListener()
}

// Resume opens the port after Pause.
func (s *Server) Resume() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.paused.IsZero() {
		return nil
	}
	listener, err := Listen(s.address)
	if err != nil {
		return fmt.Errorf("listen for callers again: %w", err)
	}
	s.listener, s.paused = listener, time.Time{}
	s.done.Go(func() { s.accept(listener) })
	return nil
}

// PausedFor reports whether the port has been closed by Pause for a time.
func (s *Server) PausedFor(length time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.paused.IsZero() && time.Since(s.paused) >= length
}

// closeListener closes the port. The mutex must be held.
func (s *Server) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// acceptRetryDelay is the delay after a failed accept, such as one for lack of
// descriptors: retrying at once would use a whole processor.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Logger.Warn("accepting a connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.turnsAway(conn) {
			continue
		}
		c := newConnection(s, s.config.Meter.Wrap(conn))
		if !s.register(c) {
			_ = conn.Close()
			continue
		}
		s.done.Go(c.serve)
	}
}

// turnsAway resets a new connection if the process is saturated. A caller whose request was not read
// may send it again, whatever it is, and to another process: a request that is read here would wait
// together with all others.
func (s *Server) turnsAway(conn net.Conn) bool {
	if !s.config.Meter.Saturated() {
		return false
	}
	s.turnedAway.Add(1)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	return true
}

// TurnedAway returns the number of connections that were reset because the process was saturated.
func (s *Server) TurnedAway() int64 { return s.turnedAway.Load() }

// register adds a new connection; it returns false if the server is closed, or if
// MaxConnections are open and none of them can be closed.
func (s *Server) register(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil || (s.connections.Len() >= s.config.MaxConnections && !s.makeRoom(c)) {
		return false
	}
	s.connections.Add(c)
	return true
}

// makeRoom closes a connection for a new one; it returns false if none could be closed. The caller must
// hold the mutex.
func (s *Server) makeRoom(newcomer *connection) bool {
	closable, found := s.connections.Closable(newcomer.peer)
	if !found || !closable.closeWaiting() {
		return false
	}
	s.connections.Remove(closable)
	return true
}

func (s *Server) unregister(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections.Remove(c)
}

// Active returns the number of requests that were read and are not yet answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connections.Len()
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// closes reports whether answers announce the end of their connections: while the server drains,
// and while the process is saturated, so that callers open their next connection elsewhere.
func (s *Server) closes() bool { return s.closing.Load() || s.config.Meter.Saturated() }

// Drain makes each further answer announce the end of its connection. Requests are
// still accepted, on old and new connections.
func (s *Server) Drain() { s.closing.Store(true) }

// Stop accepts no more connections, closes idle ones, and returns once the requests in
// progress are answered. If ctx ends first, it closes all connections.
//
// An idle connection is closed without reading from it. A request that arrives at the
// same time has then certainly not been read, and its caller may send it again.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	s.stopping.Store(true)
	s.mutex.Lock()
	s.paused = time.Time{}
	s.closeListener()
	s.connections.All(func(c *connection) { c.closeIdle() })
	s.mutex.Unlock()
	finished := make(chan struct{})
	go func() {
		s.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		s.Close()
	}
	s.cancel()
}

// Close closes all connections, also those with requests in progress.
func (s *Server) Close() {
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.paused = time.Time{}
	s.closeListener()
	s.connections.All(func(c *connection) { _ = c.conn.Close() })
}
