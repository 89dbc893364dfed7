package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// maxOpenTries is how many connections an Open tries. A connection may end between
// its selection and the start of the session; nothing was sent in that case, so
// another connection can be dialled safely.
const maxOpenTries = 2

// Endpoint is the UDP socket of one process for its peers: it accepts the sessions
// that they open and opens sessions with them. It implements Dialer.
type Endpoint struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	pool      *pool
	traffic   traffic

	ctx      context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	tasks    sync.WaitGroup

	lock        sync.Mutex
	connections map[*connection]struct{}
	closed      bool
}

// Listen opens the socket and starts accepting sessions. It returns an *Error with
// CodeAddress if the address is malformed or in use.
func Listen(c Config) (*Endpoint, error) {
	c = c.withDefaults()
	socket, err := listenUDP(c)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(c.Credentials.Material())}
	listener, err := transport.Listen(serverTLS(c.Credentials, c.Protocols), c.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errorf(CodeAddress, c.Address, err, "accept connections")
	}
	e := &Endpoint{
		config: c, transport: transport, listener: listener,
		traffic:     c.Metrics.traffic(),
		connections: map[*connection]struct{}{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = newPool(e.dial)
	e.tasks.Go(e.accept)
	e.tasks.Go(e.checkConnections)
	return e, nil
}

func listenUDP(c Config) (net.PacketConn, error) {
	if c.Socket != nil {
		return c.Socket, nil
	}
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, errorf(CodeAddress, c.Address, err, "listen on IP:port")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errorf(CodeAddress, c.Address, err, "listen")
	}
	return socket, nil
}

// Address returns the IP:port that the endpoint listens on.
func (e *Endpoint) Address() string {
	return e.transport.Conn.LocalAddr().String()
}

// Open implements Dialer. A session may be opened on a connection whose peer has
// restarted meanwhile; the session then ends with CodeLost after its first message,
// and the next Open dials again.
func (e *Endpoint) Open(ctx context.Context, address string) (Stream, error) {
	if e.stopping.Load() {
		return nil, errorf(CodeStopping, address, nil, "this process is stopping")
	}
	for try := 1; ; try++ {
		c, err := e.pool.get(ctx, address)
		if err != nil {
			return nil, err
		}
		s, err := c.open(ctx)
		if err == nil {
			e.config.Metrics.Sessions.WithLabelValues(sideOpened).Inc()
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, errorf(CodeCancelled, address, ctx.Err(), "open a session")
		}
		if try == maxOpenTries {
			return nil, err
		}
	}
}

// dial establishes a connection; the pool calls it once for all callers that wait.
func (e *Endpoint) dial(address string) (*connection, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errorf(CodeAddress, address, err, "dial IP:port")
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.config.DialTimeout)
	defer cancel()
	config := handshakeTLS(e.config.Credentials.Material(), e.config.Protocols)
	// The library requires a host name; verify ignores it.
	config.ServerName = target.Addr().String()
	q, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(target), config, e.config.quicConfig())
	if err != nil {
		return nil, e.dialError(err, address)
	}
	c, err := newConnection(e, q, sideOpened)
	if err != nil {
		_ = q.CloseWithError(connectionRefused, "certificate")
		return nil, err
	}
	if !e.track(c) {
		return nil, errorf(CodeStopping, address, nil, "this process is stopping")
	}
	return c, nil
}

func (e *Endpoint) dialError(err error, address string) error {
	typed := translate(err, address)
	if code := CodeOf(typed); code == CodeLost || code == CodeSilent {
		typed = errorf(CodeUnreachable, address, err, "no connection within %s", e.config.DialTimeout)
	}
	e.config.Metrics.Errors.WithLabelValues(string(CodeOf(typed))).Inc()
	return typed
}

// track registers a connection until it ends. If the endpoint was closed meanwhile,
// it closes the connection and returns false: otherwise a dial that completes during
// Close would leave a connection that is never closed.
func (e *Endpoint) track(c *connection) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.closed {
		c.close(connectionStopping, "stopping")
		return false
	}
	e.connections[c] = struct{}{}
	e.tasks.Go(c.receiveDatagrams)
	if c.side == sideAccepted {
		e.tasks.Go(func() { e.serve(c) })
	}
	e.config.Metrics.Connections.WithLabelValues(c.side).Inc()
	e.config.Logger.Debug("connected", "peer", c.peer.Name, "address", c.address, "side", c.side)
	context.AfterFunc(c.quic.Context(), func() { e.untrack(c) })
	return true
}

func (e *Endpoint) untrack(c *connection) {
	e.lock.Lock()
	delete(e.connections, c)
	e.lock.Unlock()
	e.config.Metrics.Connections.WithLabelValues(c.side).Dec()
	e.config.Logger.Debug("disconnected", "peer", c.peer.Name, "address", c.address,
		"side", c.side, "cause", context.Cause(c.quic.Context()))
}

func (e *Endpoint) tracked() []*connection {
	e.lock.Lock()
	defer e.lock.Unlock()
	list := make([]*connection, 0, len(e.connections))
	for c := range e.connections {
		list = append(list, c)
	}
	return list
}

func (e *Endpoint) accept() {
	for {
		q, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		c, err := newConnection(e, q, sideAccepted)
		if err != nil {
			e.config.Logger.Warn("peer refused", "address", q.RemoteAddr().String(), "error", err)
			_ = q.CloseWithError(connectionRefused, err.Error())
			continue
		}
		e.track(c)
	}
}

func (e *Endpoint) serve(c *connection) {
	for {
		stream, err := c.quic.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		s := newSession(stream, c)
		if e.stopping.Load() || e.config.Handler == nil {
			s.reset(streamStopping)
			_ = s.Close()
			continue
		}
		e.config.Metrics.Sessions.WithLabelValues(sideAccepted).Inc()
		e.tasks.Go(func() { e.handle(s) })
	}
}

// handle runs the handler and recovers its panics, so that one session can't crash
// the process with its other sessions. The peer sees a reset.
func (e *Endpoint) handle(s *session) {
	defer func() { _ = s.Close() }()
	defer func() {
		if cause := recover(); cause != nil {
			e.config.Logger.Error("session handler panicked", "peer", s.Peer(), "error", fmt.Sprint(cause))
			s.reset(streamReset)
		}
	}()
	e.config.Handler(s.Context(), s)
}

// checkConnections checks each connection at every tick.
func (e *Endpoint) checkConnections() {
	ticker := time.NewTicker(e.config.Silence / ticksPerSilence)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			stopping := e.stopping.Load()
			for _, c := range e.tracked() {
				c.tick(now, stopping)
			}
		}
	}
}

// Stop shuts the endpoint down gracefully: it accepts no new sessions, waits until
// the open ones have ended on both sides, and then closes the socket. If ctx ends
// first, it aborts the remaining sessions and returns an *Error with CodeCancelled.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	connections := e.tracked()
	for _, c := range connections {
		c.sendDatagram(datagramBye)
	}
	for _, c := range connections {
		select {
		case <-c.quic.Context().Done():
		case <-ctx.Done():
			return errors.Join(errorf(CodeCancelled, "", ctx.Err(), "stop aborted open sessions"), e.Close())
		}
	}
	return e.Close()
}

// Close closes the endpoint immediately and aborts its sessions.
func (e *Endpoint) Close() error {
	e.stopping.Store(true)
	e.lock.Lock()
	e.closed = true
	e.lock.Unlock()
	for _, c := range e.tracked() {
		c.close(connectionStopping, "stopping")
	}
	e.cancel()
	_ = e.listener.Close()
	err := e.transport.Close()
	_ = e.transport.Conn.Close()
	e.tasks.Wait()
	if err != nil {
		return errorf(CodeAddress, e.Address(), err, "close the socket")
	}
	return nil
}

// Connections returns the number of open connections, in both directions.
func (e *Endpoint) Connections() int {
	return len(e.tracked())
}
