package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// echo answers with the request as it was read, /stream/N with a stream of N parts, and
// /incomplete with a stream that is not ended.
func echo(_ context.Context, r *Request, a *Answer) {
	parts := 0
	switch {
	case r.Path() == "/incomplete":
		a.Begin(http.StatusOK, http.Header{})
		a.Write([]byte("half"))
		return
	case strings.HasPrefix(r.Path(), "/stream/"):
		_, _ = fmt.Sscanf(r.Path(), "/stream/%d", &parts)
		a.Begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"keep-alive"}})
		for i := range parts {
			a.Write(fmt.Appendf(nil, "part %d\n", i))
		}
		a.End()
		return
	case r.Path() == "/none":
		a.Begin(http.StatusNoContent, http.Header{})
		a.Write([]byte("body"))
		a.End()
		return
	case r.Path() == "/unchanged":
		a.SendBytes(http.StatusNotModified, http.Header{}, []byte("body"))
		return
	}
	body := fmt.Sprintf("%s %s host=%s body=%q x=%q", r.Method, r.Target, r.Host, r.Body, r.Header.Get("X"))
	a.SendBytes(http.StatusOK, http.Header{"Content-Length": {"1"}, "X": {"y"}}, []byte(body))
}

func startServer(t *testing.T, c Config) (*Server, func() net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := Serve(listener, c)
	t.Cleanup(s.Close)
	return s, func() net.Conn {
		conn, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
		return conn
	}
}

// TestScripts sends the input of each command "send" on a connection of its own and
// prints the bytes that it receives until the server closes the connection. Lines end
// with CR LF; a line "." stands for an empty line, and a "+" at the end of the input
// leaves out the end of the last line.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		limits := Limits{MaxHeaderBytes: 400, MaxBodyBytes: 20, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
		_, dial := startServer(t, Config{Handler: echo, Limits: func() Limits { return limits }})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			is := is.New(t)
			conn := dial()
			_, err := io.WriteString(conn, raw(d.Input))
			is.NoErr(err)
			answer, err := io.ReadAll(conn)
			text := strings.ReplaceAll(string(answer), "\r\n", "\n")
			if err != nil {
				text += "\n[connection reset]"
			}
			return strings.TrimRight(text, "\n") + "\n"
		})
	})
}

func raw(input string) string {
	input, unterminated := strings.CutSuffix(input, "+")
	lines := strings.Split(input, "\n")
	for i, line := range lines {
		if line == "." {
			lines[i] = ""
		}
	}
	text := strings.Join(lines, "\r\n")
	if unterminated {
		return text
	}
	return text + "\r\n"
}

// Guards against an engine that continues to work after its caller has closed the
// connection, because the server does not read from the connection until the answer is
// sent.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	cause := make(chan error, 1)
	_, dial := startServer(t, Config{Handler: func(ctx context.Context, _ *Request, a *Answer) {
		<-ctx.Done()
		cause <- context.Cause(ctx)
		a.SendBytes(http.StatusOK, http.Header{}, nil)
	}})
	conn := dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(conn.Close())
	var disconnected *CallerDisconnectedError
	is.True(errors.As(<-cause, &disconnected))
}

// Guards against requests that are lost when the process stops: one connection is in the
// middle of a request and another is idle, and the server closes the busy connection or
// waits for the idle one.
func TestStopClosesBetweenRequests(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s, dial := startServer(t, Config{Handler: func(_ context.Context, r *Request, a *Answer) {
		if r.Path() == "/slow" {
			close(begun)
			<-release
		}
		a.SendBytes(http.StatusOK, http.Header{}, []byte("whole"))
	}})
	idle, busy := dial(), dial()
	_, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	head := make([]byte, 5)
	_, err = io.ReadFull(idle, head)
	is.NoErr(err)
	// The caller receives the answer a moment before the server counts it as sent.
	for start := time.Now(); s.Active() != 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 10*time.Second) // the answered request is still counted
	}
	_, err = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-begun
	is.Equal(s.Active(), 1)
	stopped := make(chan struct{})
	go func() {
		s.Stop(t.Context())
		close(stopped)
	}()
	_, err = io.ReadAll(idle)
	is.NoErr(err) // the idle connection is closed without a reset
	close(release)
	answer, err := io.ReadAll(busy)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(answer), "whole"))
	is.True(strings.Contains(string(answer), "Connection: close"))
	<-stopped
	is.Equal(s.Connections(), 0)
}
