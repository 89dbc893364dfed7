package control

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// serverSession is one stream from an entry.
type serverSession struct {
	stream peer.Stream
	// slots holds one token for each unanswered request; it bounds the requests that one entry can
	// have waiting.
	slots chan struct{}
	// out has the capacity of slots, so that a reply never blocks a group.
	out chan message.Message
}

// Serve answers the requests of one stream until it ends. It is a peer.Handler.
func (s *Server) Serve(ctx context.Context, stream peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session := &serverSession{
		stream: stream,
		slots:  make(chan struct{}, s.config.PerStream),
		out:    make(chan message.Message, s.config.PerStream),
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		session.write(ctx)
	}()
	s.read(session)
	cancel()
	<-written
}

// read queues the incoming requests until the stream ends; the writer closes the stream when the
// context ends.
func (s *Server) read(session *serverSession) {
	for {
		m, err := session.stream.Receive()
		if err != nil {
			return
		}
		select {
		case session.slots <- struct{}{}:
		case <-session.stream.Done():
			return
		}
		if reason := s.refusalReason(m); reason != "" {
			session.reply(s.refusal(m, reason, oriolebend.RanNo))
			continue
		}
		select {
		case s.queueOf(m) <- request{session: session, message: m}:
		case <-session.stream.Done():
			return
		}
	}
}

// refusalReason returns why a message must not be queued, or an empty reason.
func (s *Server) refusalReason(m message.Message) oriolebend.Reason {
	switch {
	case s.queueOf(m) == nil:
		return oriolebend.ReasonMalformed
	case !s.leads():
		return oriolebend.ReasonNotLeader
	default:
		return ""
	}
}

func (s *Server) queueOf(m message.Message) chan request {
	switch m.(type) {
	case message.Claim, message.Settle, message.Renew:
		return s.writes
	case message.Query:
		return s.queries
	default:
		return nil
	}
}

// write sends replies until the stream or the context ends.
func (s *serverSession) write(ctx context.Context) {
	defer func() { _ = s.stream.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stream.Done():
			return
		case m := <-s.out:
			if err := s.stream.Send(m); err != nil {
				return
			}
			<-s.slots
		}
	}
}

// reply queues the only answer to a request. It never blocks; see out.
func (s *serverSession) reply(m message.Message) {
	select {
	case s.out <- m:
	default:
	}
}
