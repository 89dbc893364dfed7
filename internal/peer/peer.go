// Package peer carries messages between the system's own processes, over
// QUIC with mutual certificates. One stream is one session.
package peer

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Stream is one session with a peer. Send and Receive may be called from
// different goroutines, but not each from several at once.
type Stream interface {
	// Send writes one message; it blocks while the peer's window is full.
	Send(m message.Message) error
	// Receive reads the next message; it returns io.EOF after the peer closed.
	Receive() (message.Message, error)
	// Close ends the session in both directions; it is safe to call twice.
	Close() error
	// Done is closed once the session or its connection has ended, for
	// whatever cause.
	Done() <-chan struct{}
	// Peer is the name in the peer's certificate.
	Peer() string
}

// Dialer opens sessions.
type Dialer interface {
	// Open opens a session with the process at address (IP:port), over a
	// connection that is shared and kept while it is in use.
	Open(ctx context.Context, address string) (Stream, error)
}

// Handler serves one session that a peer opened; the session is closed when
// it returns.
type Handler func(ctx context.Context, s Stream)
