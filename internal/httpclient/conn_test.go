package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// earlyConn is a connection to a server that answers and ends the connection while the request is being
// written. Each write ends with an error, if there is one, once the end has been read.
type earlyConn struct {
	net.Conn
	answer     *strings.Reader
	began      chan struct{}
	ended      chan struct{}
	writeError error
	// stalls is set if the server reads nothing more after the end.
	stalls bool
	closed chan struct{}
}

func newEarlyConn(writeError error) *earlyConn {
	return &earlyConn{
		answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"),
		began:  make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}), writeError: writeError,
	}
}

func (c *earlyConn) Write(p []byte) (int, error) {
	select {
	case <-c.began:
	default:
		close(c.began)
	}
	<-c.ended
	if c.stalls {
		<-c.closed
		return 0, net.ErrClosed
	}
	time.Sleep(time.Millisecond) // the reader has returned to its caller
	if c.writeError != nil {
		return 0, c.writeError
	}
	return len(p), nil
}

func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.began
	n, err := c.answer.Read(p)
	if err != nil {
		close(c.ended)
	}
	return n, err
}

func (c *earlyConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// Guards against a part of an answer that looks complete, because the write of the request has received
// the reset; and against complete early answers that are lost.
func TestEndOfAnEarlyAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		writeError error
		stalls     bool
		want       error
	}{
		{name: "reset", writeError: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{name: "reset after the end", writeError: syscall.EPIPE, want: syscall.EPIPE},
		{name: "in order"},
		{name: "in order, the rest of the request is not read", stalls: true},
	} {
		for _, length := range []int{1, 64 << 10} {
			t.Run(fmt.Sprintf("%s, request of %d bytes", test.name, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					conn := newEarlyConn(test.writeError)
					conn.stalls = test.stalls
					response, err := exchange(t, conn, length)
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(response.Body.Close())
					synctest.Wait()
					is.Equal(string(body), "part")
					is.True(errors.Is(err, test.want))
				})
			})
		}
	}
}

// exchange sends a request with a body of some length on a connection.
func exchange(t *testing.T, conn net.Conn, length int) (*http.Response, error) {
	base := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return newRequestConn(conn), nil },
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("u", length)))
	if err != nil {
		return nil, err
	}
	return (&Transport{Base: base}).RoundTrip(request)
}
