package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeServer answers each request with the step that script returns for the number of
// the request, counted from 1 over all connections.
type fakeServer struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// step describes how a server answers one request.
type step struct {
	answer string
	// late is sent 20 ms after the answer.
	late string
	// close closes the connection after the answer, reset resets it.
	close, reset bool
}

func startFake(t *testing.T, script func(n int32) step) *fakeServer {
	t.Helper()
	f := &fakeServer{}
	f.address = http1test.Listen(t, func(conn *net.TCPConn, _ func()) {
		f.connections.Add(1)
		f.serve(conn, script)
	})
	return f
}

func (f *fakeServer) serve(conn *net.TCPConn, script func(n int32) step) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s := script(f.requests.Add(1))
		if _, err := io.WriteString(conn, s.answer); err != nil {
			return
		}
		if s.late != "" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, s.late)
		}
		if s.reset {
			_ = conn.SetLinger(0)
			return
		}
		if s.close {
			return
		}
	}
}

const (
	good = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	// stray is an answer to another request.
	stray = "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 5\r\n\r\nstray"
)

func newRequest() Request {
	return Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Freshness: time.Minute,
		Owner: func(h http.Header) Owner {
			if h.Get("Id") == "a" {
				return OwnerSelf
			}
			return OwnerOther
		},
	}
}

// exchangeOnce sends a request and reads the complete answer.
func exchangeOnce(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	response, err := p.Do(t.Context(), address, newRequest())
	if err != nil {
		return "", err
	}
	body, err := response.ReadBody(1000)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	f := startFake(t, func(int32) step { return step{answer: good} })
	p := NewPool(PoolConfig{})
	for range 3 {
		body, err := exchangeOnce(t, p, f.address)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(f.connections.Load(), int32(1))
	p.Expire(func(string) bool { return false })
	_, err := exchangeOnce(t, p, f.address)
	is.NoErr(err)
	is.Equal(p.Dialled(), uint64(2))
}

// Guards against a request that may run once and whose outcome is lost without need: a
// server closes an idle connection, or sends bytes on it that belong to no request, and
// the next request is written to that connection without a check.
func TestBrokenIdleConnectionIsNotUsed(t *testing.T) {
	for name, first := range map[string]step{
		"closed after its answer":            {answer: good, close: true},
		"a second, late answer":              {answer: good, late: stray},
		"bytes after the answer":             {answer: good + stray},
		"an answer with Connection: close":   {answer: "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		"an answer with Keep-Alive: timeout": {answer: "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", close: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, func(n int32) step {
				if n == 1 {
					return first
				}
				return step{answer: good}
			})
			p := NewPool(PoolConfig{})
			_, err := exchangeOnce(t, p, f.address)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			body, err := exchangeOnce(t, p, f.address)
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(f.connections.Load(), int32(2))
		})
	}
}

// Guards against a caller that gets the answer to another request: a faulty server sends
// a second answer while the next request is written, and answers are matched to requests
// by their order alone.
func TestStrayAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	f := startFake(t, func(int32) step { return step{answer: stray + good} })
	body, err := exchangeOnce(t, NewPool(PoolConfig{}), f.address)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// Checks Ran in the error of a failed exchange: it is "no" only if nothing of the request
// was written.
func TestRanOfAFailedExchange(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok"
	short := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok"
	chunk := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for name, c := range map[string]struct {
		step     step
		complete bool
	}{
		"no answer":                       {step: step{close: true}},
		"reset":                           {step: step{reset: true}},
		"no HTTP":                         {step: step{answer: "what?\r\n\r\n", close: true}},
		"incomplete body":                 {step: step{answer: short, close: true}},
		"chunks without an end":           {step: step{answer: chunk, close: true}},
		"no length, connection closed":    {step: step{answer: unframed, close: true}, complete: true},
		"no length, connection reset":     {step: step{answer: unframed, reset: true}},
		"only answers to another request": {step: step{answer: stray + stray + stray, close: true}},
		"an interim answer first":         {step: step{answer: "HTTP/1.1 102 Processing\r\n\r\n" + good}, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, func(int32) step { return c.step })
			body, err := exchangeOnce(t, NewPool(PoolConfig{}), f.address)
			if c.complete {
				is.NoErr(err)
				is.Equal(body, "ok")
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Ran, oriolebend.RanUnknown)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(listener.Close())
		_, err = exchangeOnce(t, NewPool(PoolConfig{}), listener.Addr().String())
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Ran, oriolebend.RanNo)
	})
}

// Guards against a server that continues to work on a cancelled request, because its
// connection stays open when the context of the request ends.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	closed := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		close(received)
		_, _ = io.Copy(io.Discard, reader)
		closed <- nil
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err = NewPool(PoolConfig{}).Do(ctx, listener.Addr().String(), newRequest())
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Reason, oriolebend.ReasonCallerCancelled)
	is.Equal(e.Ran, oriolebend.RanUnknown)
	is.NoErr(<-closed)
}

// Guards against a server that does not read its request, so that this process holds the
// request until the caller's deadline.
func TestServerThatReadsNothingTimesOut(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	pool := NewPool(PoolConfig{})
	began := time.Now()
	_, err = pool.Do(t.Context(), listener.Addr().String(), Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20), Freshness: time.Second,
	})
	var failed *Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Ran, oriolebend.RanUnknown)
	is.True(time.Since(began) < pieceWriteTimeout+time.Second)
}

// Guards against an answer that is discarded because the server sent it before it had read
// the complete request.
func TestEarlyAnswerToALongRequestIsRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-t.Context().Done()
		_ = conn.Close()
	}()
	response, err := NewPool(PoolConfig{}).Do(t.Context(), listener.Addr().String(), Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20), Freshness: time.Second,
	})
	is.NoErr(err)
	is.Equal(response.Status, http.StatusRequestEntityTooLarge)
	response.Close()
}

// Guards against servers whose bytes fill the memory of this process: what stands in place of an
// answer has no line end, or its head has lines without end.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for _, test := range []struct{ name, start, piece string }{
		{name: "no line end", piece: "x"},
		{name: "lines without end", start: "HTTP/1.1 200 OK\r\n", piece: "X-A: b\r\n"},
		{name: "one long line", start: "HTTP/1.1 200 OK\r\nX-A: ", piece: "b"},
		{name: "after an interim answer", start: "HTTP/1.1 103 Early Hints\r\n\r\n", piece: "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, func(int32) step {
				return step{answer: test.start + strings.Repeat(test.piece, 8<<20/len(test.piece)), close: true}
			})
			pool := NewPool(PoolConfig{})
			_, err := pool.Do(t.Context(), f.address, Request{Method: http.MethodGet, Target: "/", Host: "h"})
			var tooLong *HeadTooLongError
			is.True(errors.As(err, &tooLong))
			var failed *Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Ran, oriolebend.RanUnknown)
		})
	}
}

// Guards against answers whose body has another length for the caller than for the server.
func TestMalformedHeadIsRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 2",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 2",
		"HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2",
		"HTTP/2.0 200 OK\r\nId: a\r\nContent-Length: 2",
		"HTTP/1.7 200 OK\r\nId: a\r\nContent-Length: 2",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			_, err := exchangeOnPipe(t, head+"\r\n\r\nok")
			_, malformed := errors.AsType[*httpclient.MalformedError](err)
			is.True(malformed)
		})
	}
}

// A head of usual length, and a body that is longer than a head may be, are read whole.
func TestBodyMayBeLongerThanAHead(t *testing.T) {
	is := is.New(t)
	const length = 4 * maxHeadBytes
	f := startFake(t, func(int32) step {
		return step{answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: %s\r\nContent-Length: %d\r\n\r\n%s",
			strings.Repeat("a", maxHeadBytes/2), length, strings.Repeat("b", length))}
	})
	pool := NewPool(PoolConfig{})
	for range 2 {
		response, err := pool.Do(t.Context(), f.address, Request{Method: http.MethodGet, Target: "/", Host: "h", Freshness: time.Minute})
		is.NoErr(err)
		body, err := response.ReadBody(2 * length)
		is.NoErr(err)
		is.Equal(len(body), length)
	}
}

// Guards against servers that refuse requests because their length is stated twice.
func TestLengthIsStatedOnce(t *testing.T) {
	is := is.New(t)
	head := string(encodeHead(Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("body"),
		Header: http.Header{"Content-Length": {"4"}, "Host": {"other"}, "X-A": {"b"}},
	}))
	is.Equal(head, "POST / HTTP/1.1\r\nHost: h\r\nX-A: b\r\nContent-Length: 4\r\n\r\n")
}
