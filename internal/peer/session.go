package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
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
	// held counts the large frame that is being read.
	held *memorybudget.Holding

	sendLock sync.Mutex
	buffer   []byte
	// sendError is set once a frame was not sent completely, or the session was closed.
	sendError error
	// readError is the error that ended Receive, io.EOF included.
	readError error
	closed    sync.Once
}

func newSession(stream *quic.Stream, c *connection) *session {
	c.sessionStarted()
	traffic := c.endpoint.traffic
	counted := countedReader{reader: stream, count: traffic.bytesReceived}
	return &session{
		stream:     stream,
		connection: c,
		reader:     bufio.NewReaderSize(counted, readerBytes),
		codec:      c.endpoint.config.Codec,
		traffic:    traffic,
		held:       c.endpoint.config.Frames.Open(memorybudget.Frame, c.peer.Name),
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
		return s.recordError(err)
	}
	s.buffer = frame[:0]
	if cap(s.buffer) > readStep {
		s.buffer = nil
	}
	if _, err := s.stream.Write(frame); err != nil {
		s.sendError = s.recordError(err)
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
	m, err := s.readMessage()
	if err == nil {
		s.traffic.framesReceived.Inc()
		return m, nil
	}
	s.readError = err
	if !errors.Is(err, io.EOF) || CodeOf(err) != "" {
		s.readError = s.recordError(err)
	}
	if breaksFraming(CodeOf(s.readError)) {
		s.reset(streamGarbled)
	}
	return nil, s.readError
}

// largeFrameTimeout bounds the time in which the rest of a large frame must arrive. The
// largest frame takes half of it on a link of 10 Mbit/s.
const largeFrameTimeout = 30 * time.Second

// readMessage reads the next message. A peer that stops in the middle of a large frame
// would otherwise hold its memory for as long as the session is open.
func (s *session) readMessage() (message.Message, error) {
	length, err := s.codec.readLength(s.reader)
	if err != nil {
		return nil, err
	}
	if length <= readStep {
		return readMessage(s.reader, length, nil)
	}
	_ = s.stream.SetReadDeadline(time.Now().Add(largeFrameTimeout))
	defer func() { _ = s.stream.SetReadDeadline(time.Time{}) }()
	m, err := readMessage(s.reader, length, s.held)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errorf(CodeGarbled, "", err, "frame of %d bytes not complete within %v", length, largeFrameTimeout)
	}
	return m, err
}

// breaksFraming reports whether, after an error, the next bytes may not begin a
// frame, or the message that could not be read may matter to the session.
func breaksFraming(c Code) bool {
	return c == CodeGarbled || c == CodeTooLarge || c == CodeNoMemory || c == CodeUnknownKind
}

// recordError adds the peer's name to an error and counts the error.
func (s *session) recordError(err error) error {
	typed := s.connection.translate(err)
	if code := CodeOf(typed); code != CodeClosed && code != CodePeerClosed {
		s.connection.endpoint.config.Metrics.Errors.WithLabelValues(string(code)).Inc()
	}
	return typed
}

// Close implements Stream. Messages that were sent before are still delivered; a
// Send in progress is aborted, and the peer then sees a reset.
func (s *session) Close() error {
	s.closed.Do(func() {
		s.stream.CancelRead(streamClosed)
		s.closeSend()
		s.connection.sessionEnded()
	})
	return nil
}

// closeSend closes the sending side. The library forbids Close during a Write, so
// a Write that waits for the peer's window is made to return first.
func (s *session) closeSend() {
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

// reset ends the session in both directions and drops data that is not delivered.
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

// Identity returns the name and role in the peer's certificate.
func (s *session) Identity() Identity {
	return s.connection.peer
}

// IdentityOf returns the name and role in the certificate of a session's
// peer. For streams without roles it returns the name alone.
func IdentityOf(s Stream) Identity {
	if known, ok := s.(interface{ Identity() Identity }); ok {
		return known.Identity()
	}
	return Identity{Name: s.Peer()}
}
