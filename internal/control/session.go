package control

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// clientQueue bounds the requests that wait to be written to a stream.
const clientQueue = 1024

// clientSession is the stream to one control VM, shared by many concurrent callers.
type clientSession struct {
	stream    peer.Stream
	out       chan outgoing
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	pending map[uint64]*call
	// stale is true once the peer has refused a request; no new request is sent then, and the
	// session ends with the last answer or refusal.
	stale bool
	// leader is the address of the leader as the peer reported it in its last refusal, empty if it
	// knows none.
	leader string
}

// call is one request on one session.
type call struct {
	answer chan message.Message
	// sent is true once any part of the request may have reached the peer.
	sent bool
}

type outgoing struct {
	ticket  uint64
	message message.Message
}

func newClientSession(stream peer.Stream) *clientSession {
	s := &clientSession{
		stream:  stream,
		out:     make(chan outgoing, clientQueue),
		closed:  make(chan struct{}),
		pending: map[uint64]*call{},
	}
	go s.read()
	go s.write()
	return s
}

func (s *clientSession) read() {
	for {
		m, err := s.stream.Receive()
		if err != nil {
			s.close()
			return
		}
		s.deliver(m)
	}
}

// deliver passes an answer to its caller. It drops an answer that comes late, when no caller waits
// for it any more.
func (s *clientSession) deliver(m message.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, refused := m.(message.Refusal); refused {
		s.stale = true
		s.leader = r.Detail
	}
	ticket := ticketOf(m)
	waiting, ok := s.pending[ticket]
	if !ok {
		return
	}
	delete(s.pending, ticket)
	waiting.answer <- m
	if s.stale && len(s.pending) == 0 {
		go s.close()
	}
}

func (s *clientSession) write() {
	for {
		select {
		case <-s.closed:
			return
		case m := <-s.out:
			if !s.markSent(m.ticket) {
				continue
			}
			if err := s.stream.Send(m.message); err != nil {
				s.close()
				return
			}
		}
	}
}

// markSent records that a request is about to be sent. It reports false for a request whose caller
// has abandoned it, which must not be sent: the caller was told that it had not been.
func (s *clientSession) markSent(ticket uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, ok := s.pending[ticket]
	if ok {
		waiting.sent = true
	}
	return ok
}

func (s *clientSession) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.stream.Close()
	})
}

// roundTrip sends a request and waits for its answer, at most for the given time. A peer that does
// not answer in time ends the session: it may be partitioned from the other control VMs without
// having noticed.
func (s *clientSession) roundTrip(ctx context.Context, ticket uint64, m message.Message, within time.Duration) (message.Message, *oriolebend.Problem) {
	waiting := &call{answer: make(chan message.Message, 1)}
	s.mu.Lock()
	s.pending[ticket] = waiting
	s.mu.Unlock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	out := s.out
	for {
		select {
		case out <- outgoing{ticket: ticket, message: m}:
			out = nil
		case answer := <-waiting.answer:
			return answerOrRefusal(answer)
		case <-s.closed:
			return s.abandon(ticket, waiting, oriolebend.ReasonControlAway)
		case <-timer.C:
			s.close()
			return s.abandon(ticket, waiting, oriolebend.ReasonDeadline)
		case <-ctx.Done():
			return s.abandon(ticket, waiting, oriolebend.ReasonDeadline)
		}
	}
}

// answerOrRefusal returns an answer as it is, and a refusal as a problem. The refusal says whether
// the refused request may still take effect.
func answerOrRefusal(m message.Message) (message.Message, *oriolebend.Problem) {
	r, refused := m.(message.Refusal)
	if !refused {
		return m, nil
	}
	ran := oriolebend.RanUnknown
	if r.Ran == oriolebend.RanNo {
		ran = oriolebend.RanNo
	}
	return nil, &oriolebend.Problem{Reason: r.Reason, Ran: ran}
}

// abandon drops a request and reports whether it may have taken effect. An answer that has arrived
// meanwhile is returned instead: a session that ends with its last refusal would otherwise turn
// that refusal's Ran "no" into "unknown".
func (s *clientSession) abandon(ticket uint64, waiting *call, reason oriolebend.Reason) (message.Message, *oriolebend.Problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, ticket)
	select {
	case m := <-waiting.answer:
		return answerOrRefusal(m)
	default:
	}
	ran := oriolebend.RanNo
	if waiting.sent {
		ran = oriolebend.RanUnknown
	}
	return nil, &oriolebend.Problem{Reason: reason, Ran: ran}
}

// usable reports whether new requests may be sent over the session.
func (s *clientSession) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return false
	default:
		return !s.stale
	}
}

func (s *clientSession) namedLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// dialing is an attempt to open a session; several calls may wait for it.
type dialing struct {
	done    chan struct{}
	session *clientSession
	err     error
}

// try sends a request once, over the current session or a new one.
func (c *Client) try(ctx context.Context, ticket uint64, m message.Message) (message.Message, *oriolebend.Problem) {
	session, err := c.acquire(ctx)
	if err != nil {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Cause: err}
	}
	return session.roundTrip(ctx, ticket, m, c.config.TryTimeout)
}

// acquire returns the current session, or waits for a new one.
func (c *Client) acquire(ctx context.Context) (*clientSession, error) {
	c.mu.Lock()
	if c.session != nil && c.session.usable() {
		defer c.mu.Unlock()
		return c.session, nil
	}
	d := c.dialing
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		c.dialing = d
		go c.dial(d, c.nextAddress())
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
		return d.session, d.err
	}
}

// nextAddress returns the leader that the last session reported, or else the next member in turn. A
// reported leader is tried once: it may have crashed, or the peer that reported it may be out of
// date.
func (c *Client) nextAddress() string {
	last := c.session
	c.session = nil
	if last != nil && last.namedLeader() != "" {
		return last.namedLeader()
	}
	address := c.config.Members[c.nextMember%len(c.config.Members)]
	c.nextMember++
	return address
}

func (c *Client) dial(d *dialing, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.TryTimeout)
	defer cancel()
	stream, err := c.config.Dialer.Open(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	d.err = err
	if err == nil {
		d.session = newClientSession(stream)
		c.session = d.session
	}
	close(d.done)
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.close()
	}
}
