package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeServer answers each request on each connection with what script returns
// for its number, counted from 1 over all connections.
type fakeServer struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// step is what a server does with one request.
type step struct {
	answer string
	// late is sent a little after the answer.
	late string
	// close ends the connection, reset ends it with a reset.
	close, reset bool
}

func startFake(t *testing.T, script func(n int32) step) *fakeServer {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	f := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.connections.Add(1)
			go f.serve(conn.(*net.TCPConn), script)
		}
	}()
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

func ask() Request {
	return Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Freshness: time.Minute,
		Matches:   func(h http.Header) bool { return h.Get("Id") == "a" },
	}
}

// exchangeOnce sends a request and reads the whole answer.
func exchangeOnce(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	response, err := p.Do(t.Context(), address, ask())
	if err != nil {
		return "", err
	}
	body, err := response.Whole(1000)
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

// Symptom: a request that may run once is lost for no cause that a caller could
// see. Sequence: a server closes a kept connection, or sends bytes on it that
// belong to no request, and the next request is written to it. Cause: a kept
// connection that is used without a look at it.
func TestSpoiltConnectionIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]step{
		"closed after its answer":      {answer: good, close: true},
		"a second answer comes late":   {answer: good, late: stray},
		"bytes behind the answer":      {answer: good + stray},
		"an answer that closes":        {answer: "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		"an answer that tells seconds": {answer: "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", close: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, func(n int32) step {
				if n == 1 {
					return spoil
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

// Symptom: a caller gets the answer to another request. Sequence: a faulty
// server sends a second answer just as the next request is written. Cause:
// answers that are told apart by their order alone.
func TestStrayAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := startFake(t, func(int32) step { return step{answer: stray + good} })
	body, err := exchangeOnce(t, NewPool(PoolConfig{}), f.address)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// What a failed exchange tells of its request: "not run" only if nothing of it
// was written.
func TestWhatAFailureTells(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok"
	short := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok"
	chunk := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for name, c := range map[string]struct {
		step  step
		whole bool
	}{
		"no answer":                        {step: step{close: true}},
		"reset":                            {step: step{reset: true}},
		"no HTTP":                          {step: step{answer: "what?\r\n\r\n", close: true}},
		"half a body":                      {step: step{answer: short, close: true}},
		"chunks without an end":            {step: step{answer: chunk, close: true}},
		"no length, closed properly":       {step: step{answer: unframed, close: true}, whole: true},
		"no length, reset on the way":      {step: step{answer: unframed, reset: true}},
		"only answers to another request":  {step: step{answer: stray + stray + stray, close: true}},
		"an interim answer before the one": {step: step{answer: "HTTP/1.1 102 Processing\r\n\r\n" + good}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, func(int32) step { return c.step })
			body, err := exchangeOnce(t, NewPool(PoolConfig{}), f.address)
			if c.whole {
				is.NoErr(err)
				is.Equal(body, "ok")
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Ran, oriolebend.RanUnknown)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
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

// Symptom: a server works on for a caller that has left. Sequence: the context
// of a request ends while its server works. Cause: a connection that stays open.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	gone := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			gone <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		close(received)
		_, _ = io.Copy(io.Discard, reader)
		gone <- nil
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err = NewPool(PoolConfig{}).Do(ctx, listener.Addr().String(), ask())
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Reason, oriolebend.ReasonCallerCancelled)
	is.Equal(e.Ran, oriolebend.RanUnknown)
	is.NoErr(<-gone)
}

// Guards against a server that does not read its request and has this process hold it until
// the caller's time is over.
func TestServerThatReadsNothingIsGivenUp(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	pool := NewPool(PoolConfig{})
	began := time.Now()
	_, err = pool.Do(t.Context(), listener.Addr().String(), Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20), Freshness: time.Second,
	})
	var lost *Error
	is.True(errors.As(err, &lost))
	is.Equal(lost.Ran, oriolebend.RanUnknown)
	is.True(time.Since(began) < takesWithin+time.Second)
}

// Guards against an answer that came before its request was read to the end, and that is
// thrown away with it.
func TestEarlyAnswerToALongRequestIsTaken(t *testing.T) {
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
