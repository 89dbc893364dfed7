package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/oriolebend/oriolebend/internal/message"
)

// readerBytes is the size of a session's read buffer; larger frames bypass it.
const readerBytes = 1 << 10

// session implements Stream over one QUIC stream.
type session struct {
	stream     *quic.Stream
	connection *connection
	reader     *bufio.Reader
	codec      Codec
	traffic    traffic

	sendLock sync.Mutex
	buffer   []byte
	// sendError is set once a frame could not be sent whole.
	sendError error
	// readError is the end of Receive, whatever it was.
	readError error
	closed    sync.Once
}

func newSession(stream *quic.Stream, c *connection) *session {
	c.began()
	traffic := c.endpoint.traffic
	counted := countedReader{reader: stream, count: traffic.bytesReceived}
	return &session{
		stream:     stream,
		connection: c,
		reader:     bufio.NewReaderSize(counted, readerBytes),
		codec:      c.endpoint.config.Codec,
		traffic:    traffic,
	}
}

// Send implements Stream.
func (s *session) Send(m message.Message) error {
	s.sendLock.Lock()
	defer s.sendLock.Unlock()
	if s.sendError != nil {
		return s.sendError
	}
	frame, err := s.codec.Append(s.buffer[:0], m)
	if err != nil {
		return s.fail(err)
	}
	s.buffer = frame[:0]
	if cap(s.buffer) > readStep {
		s.buffer = nil
	}
	if _, err := s.stream.Write(frame); err != nil {
		s.sendError = s.fail(err)
		return s.sendError
	}
	s.traffic.framesSent.Inc()
	s.traffic.bytesSent.Add(float64(len(frame)))
	return nil
}

// Receive implements Stream.
func (s *session) Receive() (message.Message, error) {
	if s.readError != nil {
		return nil, s.readError
	}
	m, err := s.codec.Read(s.reader)
	if err == nil {
		s.traffic.framesReceived.Inc()
		return m, nil
	}
	s.readError = err
	if !errors.Is(err, io.EOF) || CodeOf(err) != "" {
		s.readError = s.fail(err)
	}
	if breaksFraming(CodeOf(s.readError)) {
		s.reset(streamGarbled)
	}
	return nil, s.readError
}

// breaksFraming tells the errors after which the bytes that follow can't be
// trusted to begin a frame, or the conversation to make sense.
func breaksFraming(c Code) bool {
	return c == CodeGarbled || c == CodeTooLarge || c == CodeUnknownKind
}

// fail names the peer in an error and counts it.
func (s *session) fail(err error) error {
	typed := s.connection.translate(err)
	if code := CodeOf(typed); code != CodeClosed && code != CodePeerClosed {
		s.connection.endpoint.config.Metrics.Errors.WithLabelValues(string(code)).Inc()
	}
	return typed
}

// Close implements Stream. What was sent before is still delivered; a Send in
// progress is broken off, and the peer then sees a reset.
func (s *session) Close() error {
	s.closed.Do(func() {
		s.stream.CancelRead(streamClosed)
		s.finish()
		s.connection.ended()
	})
	return nil
}

// finish ends the sending side. The library forbids Close beside a Write, so
// a Write that waits for the peer's window is made to return first.
func (s *session) finish() {
	_ = s.stream.SetWriteDeadline(time.Now())
	s.sendLock.Lock()
	defer s.sendLock.Unlock()
	if s.sendError != nil {
		s.stream.CancelWrite(streamReset)
		return
	}
	s.sendError = errorf(CodeClosed, s.Peer(), nil, "send after close")
	if err := s.stream.Close(); err != nil {
		s.stream.CancelWrite(streamReset)
	}
}

// reset ends the session in both directions and drops what is not delivered.
func (s *session) reset(code quic.StreamErrorCode) {
	s.stream.CancelRead(code)
	s.stream.CancelWrite(code)
}

// Done implements Stream.
func (s *session) Done() <-chan struct{} {
	return s.stream.Context().Done()
}

// Context ends with the session.
func (s *session) Context() context.Context {
	return s.stream.Context()
}

// Peer implements Stream.
func (s *session) Peer() string {
	return s.connection.peer.Name
}

// deny ends the session so that the peer sees CodeDenied.
func (s *session) deny() { s.reset(streamDenied) }

// Deny ends a session that the peer's role may not open; the peer sees
// CodeDenied. Streams that are not an Endpoint's are closed.
func Deny(s Stream) {
	if known, ok := s.(interface{ deny() }); ok {
		known.deny()
	}
	_ = s.Close()
}

// Identity returns what the peer's certificate says.
func (s *session) Identity() Identity {
	return s.connection.peer
}

// IdentityOf returns the name and role in the certificate of a session's
// peer. Streams that know no roles give the name alone.
func IdentityOf(s Stream) Identity {
	if known, ok := s.(interface{ Identity() Identity }); ok {
		return known.Identity()
	}
	return Identity{Name: s.Peer()}
}
