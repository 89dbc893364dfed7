// Package httpserver runs the net/http servers of a process, such as those for operators and for
// metrics, and bounds what their peers can make it hold.
//
// By default net/http accepts any number of connections and reads a megabyte of each head. A peer
// that opens some hundred connections and does not end its heads would fill the memory of a small
// VM, and the process would be killed with all requests that it serves.
package httpserver

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

const (
	// DefaultMaxConnections is far above what operators, collectors of metrics and load balancers use.
	DefaultMaxConnections = 128
	// DefaultMaxHeaderBytes bounds a head. net/http reads up to 4 KiB more.
	DefaultMaxHeaderBytes = 8 << 10
	// DefaultHeaderTimeout bounds the time for a head.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long a connection may be idle.
	DefaultIdleTimeout = time.Minute
	// turnedAwayLogInterval bounds the log lines about connections that were turned away.
	turnedAwayLogInterval = time.Second
)

// Config configures a Server. Server and Logger are required.
type Config struct {
	// Server is the server to run. Of its bounds, those that are zero are set to the defaults.
	Server *http.Server
	// MaxConnections bounds the open connections; zero means DefaultMaxConnections.
	MaxConnections int
	// Held accounts for the heads of requests; nil accounts for none.
	Held   *memorybudget.Account
	Logger *slog.Logger
}

// Server is a running HTTP server. A nil Server is one that does not listen.
type Server struct {
	http     *http.Server
	listener *listener
}

// Listen starts a server on an address; an empty address starts none.
func Listen(address string, c Config) (*Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := http1.Listen(address)
	if err != nil {
		return nil, err
	}
	return Serve(l, c), nil
}

// Serve starts a server on an open listener, which the server closes.
func Serve(open net.Listener, c Config) *Server {
	l := &listener{
		Listener: open, most: cmp.Or(c.MaxConnections, DefaultMaxConnections), held: c.Held, logger: c.Logger,
		sometimes: rate.Sometimes{Interval: turnedAwayLogInterval},
	}
	s := &Server{listener: l, http: c.Server}
	s.http.MaxHeaderBytes = cmp.Or(s.http.MaxHeaderBytes, DefaultMaxHeaderBytes)
	s.http.ReadHeaderTimeout = cmp.Or(s.http.ReadHeaderTimeout, DefaultHeaderTimeout)
	s.http.IdleTimeout = cmp.Or(s.http.IdleTimeout, DefaultIdleTimeout)
	s.http.ErrorLog = cmp.Or(s.http.ErrorLog, slog.NewLogLogger(c.Logger.Handler(), slog.LevelDebug))
	s.http.ConnState = setState
	s.http.ConnContext = withConnection
	s.http.Handler = markHandled(s.http.Handler)
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.Logger.Error("HTTP server failed", "address", s.Address(), "error", err)
		}
	}()
	return s
}

// Address returns the address at which the server listens, empty if there is no server.
func (s *Server) Address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Stop waits until the requests in progress have ended or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	return s.http.Shutdown(ctx)
}

// Close ends the server and interrupts the requests in progress, such as operators' watches, which
// never end by themselves.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	return s.http.Close()
}

// TurnedAway returns how many connections were closed unread so far because MaxConnections were open.
func (s *Server) TurnedAway() int64 {
	if s == nil {
		return 0
	}
	return s.listener.turnedAway.Load()
}
