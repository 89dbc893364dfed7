package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Datagrams between endpoints are one byte long.
const (
	// datagramPing asks for an acknowledgement.
	datagramPing byte = 1
	// datagramBye tells that the sender stops: the receiver opens no more
	// sessions on the connection and closes it after the last.
	datagramBye byte = 2
)

// connection is one QUIC connection and the count of its sessions.
type connection struct {
	endpoint *Endpoint
	quic     *quic.Conn
	peer     Identity
	address  string
	side     string

	lock      sync.Mutex
	sessions  int
	idleSince time.Time
	bye       bool
	packets   uint64
	silent    int
}

func newConnection(e *Endpoint, q *quic.Conn, side string) (*connection, error) {
	certificates := q.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return nil, errorf(CodeNoName, q.RemoteAddr().String(), nil, "no certificate")
	}
	identity, err := IdentityOfCertificate(certificates[0])
	if err != nil {
		return nil, err
	}
	return &connection{
		endpoint: e, quic: q, peer: identity, side: side,
		address: q.RemoteAddr().String(), idleSince: time.Now(),
	}, nil
}

// open opens a session. Nothing is sent before its first message.
func (c *connection) open(ctx context.Context) (*session, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, c.translate(err)
	}
	return newSession(stream, c), nil
}

func (c *connection) translate(err error) error {
	return translate(err, c.peer.Name)
}

func (c *connection) began() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sessions++
	if c.sessions == 1 {
		c.silent = 0
	}
}

func (c *connection) ended() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sessions--
	c.idleSince = time.Now()
}

// usable reports whether new sessions may be opened.
func (c *connection) usable() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return !c.bye && c.quic.Context().Err() == nil
}

// verdict is what the watcher does with a connection.
type verdict string

const (
	verdictKeep   verdict = "keep"
	verdictPing   verdict = "ping"
	verdictSilent verdict = "silent"
	verdictIdle   verdict = "idle"
)

// judge is called at each tick with the number of packets received so far.
// Ticks are counted rather than time, so that a process that was itself
// paused hears its peers before it calls them silent.
func (c *connection) judge(packets uint64, now time.Time, stopping bool) verdict {
	c.lock.Lock()
	defer c.lock.Unlock()
	heard := packets != c.packets
	c.packets = packets
	if heard {
		c.silent = 0
	} else {
		c.silent++
	}
	switch {
	case c.sessions == 0 && c.bye:
		return verdictIdle
	case c.sessions == 0 && !stopping:
		return c.judgeIdle(now)
	case c.silent >= ticksOfSilence-1:
		return verdictSilent
	case !heard:
		return verdictPing
	default:
		return verdictKeep
	}
}

// judgeIdle ends only the connections that this side dialled; see quicConfig.
func (c *connection) judgeIdle(now time.Time) verdict {
	c.silent = 0
	if c.side == sideOpened && now.Sub(c.idleSince) >= c.endpoint.config.IdleAfter {
		return verdictIdle
	}
	return verdictKeep
}

// tick carries a verdict out.
func (c *connection) tick(now time.Time, stopping bool) {
	c.drainDatagrams()
	switch c.judge(c.quic.ConnectionStats().PacketsReceived, now, stopping) {
	case verdictPing:
		c.sendDatagram(datagramPing)
	case verdictIdle:
		c.close(connectionIdle, "idle")
	case verdictSilent:
		c.endpoint.config.Logger.Warn("peer is silent", "peer", c.peer.Name, "address", c.address)
		c.endpoint.config.Metrics.Errors.WithLabelValues(string(CodeSilent)).Inc()
		c.close(connectionSilent, "silent")
	case verdictKeep:
	}
	if stopping {
		c.sendDatagram(datagramBye)
	}
}

func (c *connection) sendDatagram(kind byte) {
	// A datagram that can't be sent belongs to a connection that has ended.
	_ = c.quic.SendDatagram([]byte{kind})
}

// drainDatagrams reads what has arrived without waiting.
func (c *connection) drainDatagrams() {
	for {
		datagram, err := c.quic.ReceiveDatagram(ended)
		if err != nil {
			return
		}
		if len(datagram) == 1 && datagram[0] == datagramBye {
			c.lock.Lock()
			c.bye = true
			c.lock.Unlock()
		}
	}
}

// ended is a context that has ended, for calls that must not wait.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func (c *connection) close(code quic.ApplicationErrorCode, text string) {
	_ = c.quic.CloseWithError(code, text)
}
