package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
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
	// idleSince is when the phase began, if it is phaseIdle.
	idleSince time.Time
}

func newConnection(s *Server, conn net.Conn) *connection {
	return &connection{
		server: s, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes),
		phase: phaseIdle, idleSince: time.Now(),
	}
}

// enter moves the connection on; it returns false if it was closed meanwhile.
func (c *connection) enter(p phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase = p
	if p == phaseIdle {
		c.idleSince = time.Now()
	}
	return true
}

// closeIdle closes a connection between two requests; false means that it is at one.
func (c *connection) closeIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseBusy {
		return false
	}
	c.phase = phaseClosed
	_ = c.conn.Close()
	return true
}

// idle is for how long the connection has lain between two requests, zero if it does not.
func (c *connection) idle() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != phaseIdle {
		return 0
	}
	return time.Since(c.idleSince)
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
	held := c.server.config.Held.Open(heldbytes.Request, heldbytes.PeerOf(c.conn.RemoteAddr().String()))
	body, err := readBody(c.reader, h, limits.MaxBodyBytes, held)
	if err != nil {
		held.Close()
		return nil, false, timeoutError(err, "body")
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	request := &Request{
		Method: h.request.Method, Target: h.target, Host: h.request.Host,
		Header: h.request.Header, Body: body, Received: received, held: held,
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
	defer request.held.Close()
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

// retryHeld is when a caller may come back whose body there was no room for: bodies are
// sent and answered within a few seconds.
const retryHeld = time.Second

// refusal tells how a request that was not read is answered. After a connection that simply
// ended there is nobody to answer, and the status is zero.
func refusal(err error) Refusal {
	if full, ok := errors.AsType[*heldbytes.FullError](err); ok {
		return Refusal{
			Status: http.StatusServiceUnavailable, Reason: oriolebend.ReasonMemoryShort,
			Detail: full.Error(), RetryAfter: retryHeld,
		}
	}
	syntax, ok := errors.AsType[*SyntaxError](err)
	if !ok {
		return Refusal{}
	}
	reason := oriolebend.ReasonMalformed
	switch syntax.Status {
	case http.StatusRequestTimeout:
		reason = oriolebend.ReasonDeadline
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		reason = oriolebend.ReasonTooLarge
	}
	return Refusal{Status: syntax.Status, Reason: reason, Detail: syntax.Detail}
}

// refuse answers a request that was not read.
func (c *connection) refuse(err error) {
	r := refusal(err)
	if r.Status == 0 {
		return
	}
	c.server.config.Refused(r)
	header := http.Header{"Content-Type": {"text/plain"}}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	a := &Answer{conn: c.conn, closing: &c.server.closing}
	a.Whole(r.Status, header, []byte(r.Detail+"\n"))
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
