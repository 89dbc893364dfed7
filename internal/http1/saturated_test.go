package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/saturation"
)

// meteredServer starts a server whose link carries 20 kB a second, and counts the requests that it
// has read.
func meteredServer(t *testing.T) (*Server, *atomic.Int32) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	read := &atomic.Int32{}
	s := Serve(listener, Config{
		Meter: saturation.New(saturation.Config{LinkBytes: 20e3}),
		Handler: func(_ context.Context, _ *Request, a *Answer) {
			read.Add(1)
			a.SendBytes(http.StatusOK, http.Header{}, nil)
		},
	})
	t.Cleanup(s.Close)
	return s, read
}

// post sends a request with a body of a length over a connection.
func post(conn net.Conn, length int) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("x", length)))
	if err != nil {
		return nil, err
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}

func dialServer(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// postOverNewConnection sends a request over a new connection. A connection that is reset may fail as
// soon as it is opened.
func postOverNewConnection(s *Server) error {
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		return err
	}
	_, err = post(conn, 10)
	return errors.Join(err, conn.Close())
}

// Guards against callers who wait at a process that can't serve them all: a load balancer hands it
// most new connections. It resets them before it reads a request, and has callers open their next
// connection elsewhere, until it is below its capacity again.
func TestNewConnectionsAreResetWhileSaturated(t *testing.T) {
	is := is.New(t)
	s, read := meteredServer(t)
	kept := dialServer(t, s)
	response, err := post(kept, 10)
	is.NoErr(err)
	is.True(!response.Close)
	response, err = post(kept, 15e3)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // what was read is answered
	is.True(response.Close)
	err = postOverNewConnection(s)
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF))
	is.Equal(read.Load(), int32(2))
	is.Equal(s.TurnedAway(), int64(1))
	time.Sleep(1200 * time.Millisecond)
	response, err = post(dialServer(t, s), 10)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against a full link that stays full, because callers who are refused send their requests all
// the same: while the port is closed, they can't. Open connections are served on.
func TestPausedServer(t *testing.T) {
	is := is.New(t)
	s, _ := meteredServer(t)
	kept := dialServer(t, s)
	_, err := post(kept, 10)
	is.NoErr(err)
	s.Pause()
	s.Pause()
	_, err = net.Dial("tcp", s.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = post(kept, 10)
	is.NoErr(err)
	is.NoErr(s.Resume())
	is.NoErr(s.Resume())
	_, err = post(dialServer(t, s), 10)
	is.NoErr(err)
	s.Pause()
	s.Close()
	is.NoErr(s.Resume()) // a stopped server does not listen again
	_, err = net.Dial("tcp", s.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}
