package role

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// openTimeout bounds the time to open a session with a gate. A gate that does not
// answer by then is treated as lost for this attempt. Without the bound a request
// would wait for a lost VM until QUIC's own handshake timeout.
const openTimeout = time.Second

// entrySession is one session of an entry with a gate. Its writer sends the messages
// that the reducer queues; its reader posts the messages that the gate sends.
type entrySession struct {
	key  entry.SessionKey
	out  *mailbox.Mailbox[message.Message]
	post func(reducer.Event)

	mu sync.Mutex
	// closing is set once the reducer has closed the session. Messages that
	// arrive from the gate after that are not posted.
	closing bool
}

// send queues a message for the gate.
func (s *entrySession) send(m message.Message) {
	s.out.Put(m)
}

// close ends the session after the messages queued so far.
func (s *entrySession) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.out.Put(nil)
}

func (s *entrySession) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// run opens the session and serves it until either side ends it.
func (s *entrySession) run(ctx context.Context, dialer peer.Dialer, address string, first message.Message) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.open(ctx, dialer, address)
	if err != nil {
		s.postLost(false)
		return
	}
	defer stream.Close()
	if s.isClosing() {
		return
	}
	if err := stream.Send(first); err != nil {
		s.postLost(false)
		return
	}
	go s.write(ctx, stream)
	s.read(stream)
}

func (s *entrySession) open(ctx context.Context, dialer peer.Dialer, address string) (peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return dialer.Open(ctx, address)
}

func (s *entrySession) write(ctx context.Context, stream peer.Stream) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.out.Wait():
		}
		for _, m := range s.out.Take() {
			if m == nil {
				stream.Close()
				return
			}
			if err := stream.Send(m); err != nil {
				return
			}
		}
	}
}

// read posts the messages of the gate. The end of a session after its last message
// is not posted as a loss: the reducer may already have opened another session
// under the same key, which it would then treat as lost.
func (s *entrySession) read(stream peer.Stream) {
	last := false
	for {
		m, err := stream.Receive()
		if s.isClosing() || (err != nil && last) {
			return
		}
		if err != nil {
			s.postLost(true)
			return
		}
		last = endsSession(m)
		s.post(entry.Received{At: time.Now(), Session: s.key, Message: m})
	}
}

// endsSession reports whether a gate ends its session after a message.
func endsSession(m message.Message) bool {
	switch m := m.(type) {
	case message.Refusal, message.CallAnswer:
		return true
	case message.Part:
		return m.Finish != ""
	default:
		return false
	}
}

// postLost posts the loss of the session unless the reducer has closed it; opened
// is true if the session had been opened.
func (s *entrySession) postLost(opened bool) {
	if s.isClosing() {
		return
	}
	s.post(entry.SessionLost{At: time.Now(), Session: s.key, Opened: opened})
}
