package http1test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// UploadBytes is the length of a request that does not fit into the buffers between a client and the server
// of ServeEarly.
const UploadBytes = 600 << 10

// smallReceiveBytes is the size of the receive buffers of ListenSmall.
const smallReceiveBytes = 4 << 10

// EarlyEnding is how a server ends a connection on which it has answered before it has read the request.
type EarlyEnding string

// Early endings.
const (
	// EarlyReset resets the connection.
	EarlyReset EarlyEnding = "reset"
	// EarlyUnread closes the connection with the rest of the request unread.
	EarlyUnread EarlyEnding = "unread"
	// EarlyDrained reads the rest of the request and closes the connection.
	EarlyDrained EarlyEnding = "drained"
	// EarlyHalfClosed ends its own direction, reads the rest of the request and closes the connection.
	EarlyHalfClosed EarlyEnding = "halfClosed"
)

// InOrder reports whether the end of the connection is also the end of a complete answer.
func (e EarlyEnding) InOrder() bool { return e == EarlyDrained || e == EarlyHalfClosed }

// Early is how a server answers before it has read the request.
type Early struct {
	// Answer holds the bytes of the answer.
	Answer string
	// Read is how much of the body is read before the answer.
	Read int64
	// Before is the pause before the answer, After the pause between the answer and the end.
	Before, After time.Duration
	Ending        EarlyEnding
}

// String names the case in a test.
func (e Early) String() string {
	return fmt.Sprintf("%s after %d bytes, pauses %s and %s", e.Ending, e.Read, e.Before, e.After)
}

// EarlyCases returns the ways in which a server sends an answer before it has read the request.
func EarlyCases(answer string) []Early {
	var cases []Early
	for _, ending := range []EarlyEnding{EarlyReset, EarlyUnread, EarlyDrained, EarlyHalfClosed} {
		for _, read := range []int64{0, 64 << 10} {
			for _, before := range []time.Duration{0, 50 * time.Millisecond} {
				for _, after := range []time.Duration{0, 20 * time.Millisecond} {
					cases = append(cases, Early{Answer: answer, Read: read, Before: before, After: after, Ending: ending})
				}
			}
		}
	}
	return cases
}

// ServeEarly starts a server on loopback that answers before it has read the request, and returns its
// address.
func ServeEarly(t *testing.T, e Early) string {
	t.Helper()
	listener, err := ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	accept(t, listener, func(conn *net.TCPConn, _ func()) { e.serve(conn) })
	return listener.Addr().String()
}

// ListenSmall listens on loopback with a small receive buffer: the write of a long request ends only when the
// server has read most of it.
func ListenSmall(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBytes)
		})
		return cmp.Or(controlErr, err)
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

func (e Early) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	_, _ = io.CopyN(io.Discard, request.Body, e.Read)
	time.Sleep(e.Before)
	_, _ = io.WriteString(conn, e.Answer)
	time.Sleep(e.After)
	switch e.Ending {
	case EarlyReset:
		_ = conn.SetLinger(0)
	case EarlyHalfClosed:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	case EarlyDrained:
		_, _ = io.Copy(io.Discard, request.Body)
	case EarlyUnread:
	}
}
