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
	connections map[*connection]struct{}
	// peers counts the connections by the IP of the peer.
	peers map[string]int
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
	if len(l.connections) >= l.most {
		closed := l.closable(c.peer)
		l.reject(closed, c)
		if closed == nil {
			return false
		}
		_ = closed.Conn.Close()
		l.remove(closed)
	}
	l.connections[c] = struct{}{}
	l.peers[c.peer]++
	return true
}

// closable returns the connection to be closed for a new one of a peer, nil if there is none. The
// caller must hold the mutex.
func (l *listener) closable(newcomer string) *connection {
	most := l.peers[newcomer] + 1
	for _, open := range l.peers {
		most = max(most, open)
	}
	var longest *connection
	for c := range l.connections {
		open := l.peers[c.peer]
		if c.peer == newcomer {
			open++
		}
		if open == most && !c.handled && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	return longest
}

// reject counts and logs that a connection is closed to stay within the bound. The caller must hold
// the mutex.
func (l *listener) reject(closed, newcomer *connection) {
	if closed == nil {
		closed = newcomer
	}
	l.turnedAway.Add(1)
	err := &TooManyConnectionsError{Peer: closed.peer, Open: l.peers[closed.peer], Limit: l.most}
	l.sometimes.Do(func() {
		l.logger.Warn("connection turned away", "address", l.Addr().String(), "turnedAway", l.turnedAway.Load(), "error", err)
	})
}

// remove unregisters a connection. The caller must hold the mutex.
func (l *listener) remove(c *connection) {
	if _, open := l.connections[c]; !open {
		return
	}
	delete(l.connections, c)
	if l.peers[c.peer]--; l.peers[c.peer] == 0 {
		delete(l.peers, c.peer)
	}
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
	c.listener.remove(c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
