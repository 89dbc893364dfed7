package control

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// serverSession is one stream of an entry.
type serverSession struct {
	stream peer.Stream
	// room holds one token for each request that is not answered yet; it
	// bounds what one entry can have waiting.
	room chan struct{}
	// out is as large as room, so that a reply never blocks a group.
	out chan message.Message
}

// Serve answers the requests of one stream until it ends. It is a
// peer.Handler.
func (s *Server) Serve(ctx context.Context, stream peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session := &serverSession{
		stream: stream,
		room:   make(chan struct{}, s.config.PerStream),
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

// read queues what comes in until the stream ends; the writer ends it with
// the context.
func (s *Server) read(session *serverSession) {
	for {
		m, err := session.stream.Receive()
		if err != nil {
			return
		}
		select {
		case session.room <- struct{}{}:
		case <-session.stream.Done():
			return
		}
		if reason := s.refuses(m); reason != "" {
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

// refuses returns why a message is not even queued, or nothing.
func (s *Server) refuses(m message.Message) oriolebend.Reason {
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

// write sends replies until the session ends.
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
			<-s.room
		}
	}
}

// reply sends the one answer of a request; it never blocks, see out.
func (s *serverSession) reply(m message.Message) {
	select {
	case s.out <- m:
	default:
	}
}
