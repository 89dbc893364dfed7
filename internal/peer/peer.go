// Package peer exchanges messages between the system's own processes over QUIC with
// mutual TLS. One stream is one session.
package peer

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Stream is one session with a peer. Send and Receive may be called concurrently, but
// neither of them from several goroutines at the same time.
type Stream interface {
	// Send writes one message; it blocks while the peer's window is full.
	Send(m message.Message) error
	// Receive reads the next message; it returns io.EOF after the peer closed.
	Receive() (message.Message, error)
	// Close ends the session in both directions; it is safe to call twice.
	Close() error
	// Done is closed once the session or its connection has ended for any reason.
	Done() <-chan struct{}
	// Peer returns the name in the peer's certificate.
	Peer() string
}

// Dialer opens sessions.
type Dialer interface {
	// Open opens a session with the process at address (IP:port), over a
	// connection that is shared and stays open while it is in use.
	Open(ctx context.Context, address string) (Stream, error)
}

// Handler serves one session that a peer opened; the session is closed when
// it returns.
type Handler func(ctx context.Context, s Stream)
