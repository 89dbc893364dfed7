package backend

import (
	"fmt"
	"io"
)

// maxHeadBytes bounds the heads of answers. It is far above the longest head of a sound server.
const maxHeadBytes = 64 << 10

// HeadTooLongError is the error of an answer whose head does not end within maxHeadBytes.
type HeadTooLongError struct{ Limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("head of the answer over %d bytes", e.Limit)
}

// headLimit reads from a connection, and bounds what is read while the head of an answer is
// expected. Without the bound, a server that sends no line end would fill the memory.
type headLimit struct {
	io.Reader
	// left is how much of a head may still be read; it counts while expected is set.
	left     int
	expected bool
	// exceeded is set once a head was too long.
	exceeded error
}

// expect starts to read a head.
func (l *headLimit) expect() { l.left, l.expected = maxHeadBytes, true }

// ended removes the bound, for the body. It returns an error if the head was too long.
func (l *headLimit) ended() error {
	l.expected = false
	return l.exceeded
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.expected {
		return l.Reader.Read(p)
	}
	if l.left == 0 {
		l.exceeded = &HeadTooLongError{Limit: maxHeadBytes}
		return 0, l.exceeded
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
