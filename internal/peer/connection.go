package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Datagrams between endpoints are one byte long.
const (
	// datagramPing makes the peer send an acknowledgement.
	datagramPing byte = 1
	// datagramBye announces that the sender stops: the receiver opens no more
	// sessions on the connection and closes it after the last one.
	datagramBye byte = 2
)

// connection is one QUIC connection with the state of its sessions.
type connection struct {
	endpoint *Endpoint
	quic     *quic.Conn
	peer     Identity
	address  string
	side     string

	lock   sync.Mutex
	health health
	broken bool
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
		address: q.RemoteAddr().String(),
		health: health{
			dialled:   side == sideOpened,
			idleAfter: e.config.IdleAfter,
			idleSince: time.Now(),
		},
	}, nil
}

// open opens a session. Nothing is sent before its first message. After a failure
// other than the end of ctx no more sessions are opened on the connection.
func (c *connection) open(ctx context.Context) (*session, error) {
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil && ctx.Err() == nil {
		c.lock.Lock()
		c.broken = true
		c.lock.Unlock()
	}
	if err != nil {
		return nil, c.translate(err)
	}
	return newSession(stream, c), nil
}

func (c *connection) translate(err error) error {
	return translate(err, c.peer.Name)
}

func (c *connection) sessionStarted() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.health.sessionStarted()
}

func (c *connection) sessionEnded() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.health.sessionEnded(time.Now())
}

// usable reports whether new sessions may be opened.
func (c *connection) usable() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return !c.broken && !c.health.bye && c.quic.Context().Err() == nil
}

func (c *connection) check(now time.Time, stopping bool) verdict {
	packets := c.quic.ConnectionStats().PacketsReceived
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.health.check(packets, now, stopping)
}

// tick checks the connection and carries the verdict out.
func (c *connection) tick(now time.Time, stopping bool) {
	switch c.check(now, stopping) {
	case verdictPing:
		c.sendDatagram(datagramPing)
	case verdictIdle:
		c.close(connectionIdle, "idle")
	case verdictSilent:
		c.endpoint.config.Logger.Warn("connection to peer timed out", "peer", c.peer.Name, "address", c.address)
		c.endpoint.config.Metrics.Errors.WithLabelValues(string(CodeSilent)).Inc()
		c.close(connectionSilent, "silent")
	case verdictKeep:
	}
	if stopping {
		c.sendDatagram(datagramBye)
	}
}

func (c *connection) sendDatagram(kind byte) {
	// Sending fails only if the connection has ended.
	_ = c.quic.SendDatagram([]byte{kind})
}

// receiveDatagrams reads datagrams until the connection ends.
func (c *connection) receiveDatagrams() {
	for {
		datagram, err := c.quic.ReceiveDatagram(context.Background())
		if err != nil {
			return
		}
		if len(datagram) == 1 && datagram[0] == datagramBye {
			c.lock.Lock()
			c.health.bye = true
			c.lock.Unlock()
		}
	}
}

func (c *connection) close(code quic.ApplicationErrorCode, text string) {
	_ = c.quic.CloseWithError(code, text)
}
