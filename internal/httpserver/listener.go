package httpserver

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolebend/oriolebend/internal/connlimit"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// TooManyConnectionsError means that a connection was closed unread to stay within a bound.
type TooManyConnectionsError struct {
	// Peer is the IP of the peer whose connection was closed, Open how many it had.
	Peer  string
	Open  int
	Limit int
}

// Error implements error.
func (e *TooManyConnectionsError) Error() string {
	return fmt.Sprintf("httpserver: %d connections are open, %d of them from %s", e.Limit, e.Open, e.Peer)
}

// listener bounds the number of open connections. At the bound, the peer with the most connections
// loses the one that has waited longest for a request, so that one peer can't keep out the others.
type listener struct {
	net.Listener
	most       int
	held       *memorybudget.Account
	logger     *slog.Logger
	sometimes  rate.Sometimes
	turnedAway atomic.Int64

	mutex       sync.Mutex
	connections connlimit.Set[*connection]
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		peer := memorybudget.PeerOf(conn.RemoteAddr().String())
		c := &connection{Conn: conn, listener: l, peer: peer, held: l.held.Open(memorybudget.Head, peer), since: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit registers a connection. It returns false if too many are open and none can be closed for it.
func (l *listener) admit(c *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connections.Len() >= l.most {
		closable, found := l.connections.Closable(c.peer)
		if !found {
			l.countTurnedAway(c)
			return false
		}
		l.countTurnedAway(closable)
		_ = closable.Conn.Close()
		l.connections.Remove(closable)
	}
	l.connections.Add(c)
	return true
}

// countTurnedAway counts and logs a connection that is closed to stay within the bound. The caller must
// hold the mutex.
func (l *listener) countTurnedAway(c *connection) {
	l.turnedAway.Add(1)
	err := &TooManyConnectionsError{Peer: c.peer, Open: l.connections.LenOf(c.peer), Limit: l.most}
	l.sometimes.Do(func() {
		l.logger.Warn("connection turned away", "address", l.Addr().String(), "turnedAway", l.turnedAway.Load(), "error", err)
	})
}

// headCost is the memory of a parsed head for each byte that was read. Header lines of a few bytes
// take the most.
const headCost = 8

// connection is one accepted connection. It counts the bytes of a head from its first byte until its
// request has been answered.
type connection struct {
	net.Conn
	listener *listener
	peer     string
	held     *memorybudget.Holding

	// handled is true from the call of the handler until the connection is idle again; since is when it
	// was last idle. Both are guarded by the listener's mutex.
	handled bool
	since   time.Time
}

// Peer implements connlimit.Conn.
func (c *connection) Peer() string { return c.peer }

// WaitingSince implements connlimit.Conn. The caller must hold the listener's mutex.
func (c *connection) WaitingSince() (time.Time, bool) { return c.since, !c.handled }

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// markHandled returns a handler that marks the connection of each request while it is handled. The state
// that net/http reports does not tell: it is active, too, while a head is refused as too long, which takes
// half a second, and connections in that state would keep out all others.
func markHandled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			c.setHandled(true)
		}
		next.ServeHTTP(w, r)
	})
}

// setState follows the state of a connection, which net/http reports.
func setState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok && state == http.StateIdle {
		c.setHandled(false)
		c.held.Shrink(maxHeldHead)
	}
}

// maxHeldHead is more than a head is counted for.
const maxHeldHead = 1 << 30

func (c *connection) setHandled(handled bool) {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.handled = handled
	if !handled {
		c.since = time.Now()
	}
}

func (c *connection) isHandled() bool {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	return c.handled
}

// Read implements net.Conn. It fails with a *memorybudget.FullError if there is no memory for a head.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.isHandled() {
		return n, err
	}
	if full := c.held.Grow(int64(n) * headCost); full != nil {
		return 0, full
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.held.Close()
	c.listener.mutex.Lock()
	c.listener.connections.Remove(c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
