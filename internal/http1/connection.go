package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// readerBytes is the size of the read buffer of a connection. Longer header lines and
// bodies are read in several steps; an idle connection holds only this buffer.
const readerBytes = 2 << 10

// CallerDisconnectedError is the cause with which the context of a request is cancelled when
// the connection of its caller ends.
type CallerDisconnectedError struct{ Cause error }

// Error implements error.
func (e *CallerDisconnectedError) Error() string { return "caller disconnected: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Cause }

// phase is the state of a connection: between requests, while a request is read, until it is answered,
// or closed.
type phase string

const (
	phaseIdle    phase = "idle"
	phaseReading phase = "reading"
	phaseBusy    phase = "busy"
	phaseClosed  phase = "closed"
)

// connection is one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// peer is the IP of the caller.
	peer string

	mutex sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
}

func newConnection(s *Server, conn net.Conn) *connection {
	return &connection{
		server: s, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes),
		peer:  memorybudget.PeerOf(conn.RemoteAddr().String()),
		phase: phaseIdle, since: time.Now(),
	}
}

// setPhase sets the phase of the connection; it returns false if the connection was
// closed.
func (c *connection) setPhase(p phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	c.phase, c.since = p, time.Now()
	return true
}

// closeIdle closes the connection unless a request has begun to arrive.
func (c *connection) closeIdle() { c.closeIn(phaseIdle) }

// closeWaiting closes the connection unless it serves a complete request; it reports whether the
// connection is closed.
func (c *connection) closeWaiting() bool { return c.closeIn(phaseIdle, phaseReading) }

// closeIn closes the connection in some phases; it reports whether the connection is closed.
func (c *connection) closeIn(phases ...phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseClosed || !slices.Contains(phases, c.phase) {
		return c.phase == phaseClosed
	}
	c.phase = phaseClosed
	_ = c.conn.Close()
	return true
}

// Peer implements connlimit.Conn.
func (c *connection) Peer() string { return c.peer }

// WaitingSince implements connlimit.Conn.
func (c *connection) WaitingSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.since, c.phase == phaseIdle || c.phase == phaseReading
}

// serve answers requests until the connection ends.
func (c *connection) serve() {
	defer c.server.unregister(c)
	defer c.conn.Close()
	waiting := c.awaitData()
	for {
		limits := c.server.config.Limits().Or(DefaultLimits)
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if err := <-waiting; err != nil {
			return
		}
		if !c.setPhase(phaseReading) {
			return
		}
		request, keepAlive, err := c.read(limits)
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.setPhase(phaseBusy) {
			request.held.Close()
			return
		}
		var reusable bool
		reusable, waiting = c.answer(request, keepAlive)
		if !reusable || !c.setPhase(phaseIdle) {
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

// read reads one complete request. The boolean is false if the connection must be
// closed after the answer.
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
	if h.expectsContinue && h.length <= limits.MaxBodyBytes {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, false, err
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	held := c.server.config.Held.Open(memorybudget.Request, c.peer)
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
	return request, keepsAlive(h.request), nil
}

// keepsAlive reports whether the caller keeps the connection after the answer.
func keepsAlive(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && !r.Close
}

// timeoutError returns the error of a part that did not arrive in time, or err if it is
// not a timeout.
func timeoutError(err error, part string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &SyntaxError{Status: http.StatusRequestTimeout, Detail: "the " + part + " did not arrive in time", Cause: err}
	}
	return err
}

// answer calls the handler for a request. It reports whether the connection can be used
// for another request. While the handler runs, the connection is read, since only a read
// detects that the caller has disconnected: a backend server would otherwise continue to
// work on a cancelled request and hold its memory.
func (c *connection) answer(request *Request, keepAlive bool) (bool, <-chan error) {
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
			cancel(&CallerDisconnectedError{Cause: err})
		}
		waiting <- err
	}()
	a := &Answer{conn: c.conn, keepAlive: keepAlive, headOnly: request.Method == http.MethodHead, closing: c.server.closes}
	c.server.config.Handler(ctx, request, a)
	return a.finish(), waiting
}

// lingerTimeout bounds how long the rest of a refused request is read. Closing a
// connection with unread bytes resets it, and the refusal could be lost.
const lingerTimeout = 200 * time.Millisecond

// memoryRetryAfter is the retry delay of a request for whose body there is no memory. Bodies
// are sent and answered within a few seconds.
const memoryRetryAfter = time.Second

// refusalOf returns how a request that was not read is answered. The status is zero if the
// connection ended, since there is no caller to answer.
func refusalOf(err error) Refusal {
	if full, ok := errors.AsType[*memorybudget.FullError](err); ok {
		return Refusal{
			Status: http.StatusServiceUnavailable, Reason: oriolebend.ReasonMemoryShort,
			Detail: full.Error(), RetryAfter: memoryRetryAfter,
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
	r := refusalOf(err)
	if r.Status == 0 {
		return
	}
	c.server.config.Refused(r)
	header := http.Header{"Content-Type": {"text/plain"}}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	a := &Answer{conn: c.conn, closing: c.server.closes}
	a.SendBytes(r.Status, header, []byte(r.Detail+"\n"))
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader)
}

// hopByHop holds the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the end-to-end headers, without the hop-by-hop headers and without
// the headers that the Connection header names.
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
