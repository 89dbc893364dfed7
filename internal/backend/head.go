package backend

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/internal/httpclient"
)

// maxHeadBytes bounds the heads of answers. It is far above the longest head of a sound server.
const maxHeadBytes = 16 << 10

// HeadTooLongError is the error of an answer whose head does not end within maxHeadBytes.
type HeadTooLongError struct{ Limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("head of the answer over %d bytes", e.Limit)
}

// checkHead refuses a malformed head, and one that is not of HTTP/1.0 or HTTP/1.1.
func checkHead(answer *http.Response) error {
	if answer.ProtoMajor != 1 || answer.ProtoMinor > 1 {
		return &httpclient.MalformedError{Detail: fmt.Sprintf("version %q", answer.Proto)}
	}
	return httpclient.CheckHead(answer)
}

// SplicedHeadError is the error of a head that contains the start of another one: a server broke off
// in the middle of a head and sent the next answer on the same connection.
type SplicedHeadError struct{ Status string }

// Error implements error.
func (e *SplicedHeadError) Error() string {
	return fmt.Sprintf("head of the answer %q contains another status line", e.Status)
}

// statusLine matches the start of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( |$)`)

// splicedHead reports whether a head contains the start of another one. Its status and its headers
// then come from two answers.
func splicedHead(answer *http.Response) bool {
	if containsStatusLine(answer.Status) {
		return true
	}
	for _, values := range answer.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
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
