package role

import (
	"context"
	"log/slog"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Dispatch passes each session to the handler for the kind of its first message.
type Dispatch struct {
	Logger   *slog.Logger
	Handlers map[message.Kind]peer.Handler
	// Observer counts the sessions that are refused.
	Observer Observer
}

// Serve is the peer.Handler of a process. It refuses a session whose kind the role of
// the peer may not open or this process does not serve.
func (d Dispatch) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	if err := Permitted(peer.IdentityOf(s), first.Kind()); err != nil {
		d.Logger.Warn("session refused", "error", err)
		d.Observer.Count("peer.denied", oriolebend.ReasonUnauthorized, "")
		peer.Deny(s)
		return
	}
	handler, ok := d.Handlers[first.Kind()]
	if !ok {
		d.Observer.Count("peer.unserved", "", "")
		d.Logger.Warn("session refused: this role does not serve its kind", "peer", s.Peer(), "kind", first.Kind())
		return
	}
	handler(ctx, &replayed{Stream: s, first: first})
}

// replayed is a stream that returns the message that was already received first.
type replayed struct {
	peer.Stream
	once  sync.Once
	first message.Message
}

// Receive implements peer.Stream.
func (r *replayed) Receive() (message.Message, error) {
	var first message.Message
	r.once.Do(func() {
		first = r.first
		r.first = nil
	})
	if first != nil {
		return first, nil
	}
	return r.Stream.Receive()
}
