package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// readerBytes is the read buffer of a connection. Longer header lines and
// bodies are read in several steps; idle connections hold only this.
const readerBytes = 2 << 10

// CallerLeftError is the cause with which the context of a request ends when
// its caller closes the connection.
type CallerLeftError struct{ Cause error }

// Error implements error.
func (e *CallerLeftError) Error() string { return "the caller has left: " + e.Cause.Error() }

// Unwrap returns the error beneath.
func (e *CallerLeftError) Unwrap() error { return e.Cause }

// phase is what a connection is doing.
type phase string

const (
	phaseIdle   phase = "idle"
	phaseBusy   phase = "busy"
	phaseClosed phase = "closed"
)

// connection is one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader

	mutex sync.Mutex
	phase phase
}

func newConnection(s *Server, conn net.Conn) *connection {
	return &connection{server: s, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes), phase: phaseIdle}
}

// enter moves the connection on; it returns false if it was closed meanwhile.
func (c *connection) enter(p phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase = p
	return true
}

// closeIdle closes a connection between two requests.
func (c *connection) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseClosed
		_ = c.conn.Close()
	}
}

// serve answers requests until the connection ends.
func (c *connection) serve() {
	defer c.server.forget(c)
	defer c.conn.Close()
	waiting := c.awaitData()
	for {
		limits := c.server.config.Limits().Or(DefaultLimits)
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if err := <-waiting; err != nil {
			return
		}
		if !c.enter(phaseBusy) {
			return
		}
		request, keep, err := c.read(limits)
		if err != nil {
			c.refuse(err)
			return
		}
		var again bool
		again, waiting = c.answer(request, keep)
		if !again || !c.enter(phaseIdle) {
			return
		}
		if c.server.stopping.Load() {
			c.closeIdle()
			return
		}
	}
}

// awaitData waits in the background for the first byte of the next request, or
// for the end of the connection.
func (c *connection) awaitData() <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		result <- err
	}()
	return result
}

// read reads one whole request; keep is false if the caller wants the
// connection to end with it.
func (c *connection) read(limits Limits) (*Request, bool, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	raw, err := readHead(c.reader, limits.MaxHeaderBytes)
	received := time.Now()
	if err != nil {
		return nil, false, timeoutError(err, "header")
	}
	h, err := parseHead(raw)
	if err != nil {
		return nil, false, err
	}
	if h.expects && h.length <= limits.MaxBodyBytes {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, false, err
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	body, err := readBody(c.reader, h, limits.MaxBodyBytes)
	if err != nil {
		return nil, false, timeoutError(err, "body")
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	request := &Request{
		Method: h.request.Method, Target: h.target, Host: h.request.Host,
		Header: h.request.Header, Body: body, Received: received,
	}
	return request, keeps(h.request), nil
}

// keeps reports whether the caller keeps the connection.
func keeps(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && !r.Close
}

func timeoutError(err error, part string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &SyntaxError{Status: http.StatusRequestTimeout, Detail: "the " + part + " did not arrive in time", Cause: err}
	}
	return err
}

// answer has the handler answer a request. While it does, the connection is
// read, since only that shows that the caller has left: a backend server would
// otherwise work on for nobody, and its memory would be held.
func (c *connection) answer(request *Request, keep bool) (bool, <-chan error) {
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancelCause(c.server.ctx)
	defer cancel(nil)
	waiting := make(chan error, 1)
	arrived := c.awaitData()
	go func() {
		err := <-arrived
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(&CallerLeftError{Cause: err})
		}
		waiting <- err
	}()
	a := &Answer{conn: c.conn, keep: keep, head: request.Method == http.MethodHead, closing: &c.server.closing}
	c.server.config.Handler(ctx, request, a)
	return a.finish(), waiting
}

// lingerFor bounds how long the rest of a refused request is read: a close with
// unread bytes resets the connection, and the refusal could be lost with it.
const lingerFor = 200 * time.Millisecond

// refuse answers a request that can't be read. After a connection that simply
// ended there is nobody to answer.
func (c *connection) refuse(err error) {
	var syntax *SyntaxError
	if !errors.As(err, &syntax) {
		return
	}
	c.server.config.Refused(syntax.Status, syntax.Detail)
	a := &Answer{conn: c.conn, closing: &c.server.closing}
	a.Whole(syntax.Status, http.Header{"Content-Type": {"text/plain"}}, []byte(syntax.Detail+"\n"))
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerFor))
	_, _ = io.Copy(io.Discard, c.reader)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the headers that concern more than one connection. Those
// that the Connection header names are left out with it.
func EndToEnd(from http.Header) http.Header {
	named := map[string]bool{}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
	return to
}
