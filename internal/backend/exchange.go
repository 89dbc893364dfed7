package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Owner returns the request that an answer with this header names; nil means that answers name
	// none.
	Owner func(http.Header) Owner
	// Named is set if answers to the request name it, from servers that name requests at all.
	Named bool
	// Freshness bounds how long a reused connection may have been idle; zero means a
	// new connection.
	Freshness time.Duration
}

// Error is the error of an exchange that gave no complete answer.
type Error struct {
	Reason oriolebend.Reason
	// Ran is "no" only if nothing of the request was written.
	Ran   oriolebend.Ran
	Trace Trace
	// Opened is when the connection was opened, zero if there is none.
	Opened time.Time
	Detail string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("backend: %s (ran: %s): %s", e.Reason, e.Ran, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *connection
	ctx  context.Context
	// unwatch cancels the function that closes the connection when the context ends. It is
	// nil once the exchange has ended.
	unwatch func() bool
	trace   Trace
}

// Do sends a request to a server and reads the head of its answer. The body must be
// read to its end, or the response closed. When ctx ends, the connection is closed,
// so that the server can cancel the request.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	conn, err := p.get(ctx, address, r.Freshness)
	if err != nil {
		return nil, withContextReason(ctx, &Error{Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanNo, Detail: "connect", Cause: err})
	}
	conn.requests++
	x := &exchange{pool: p, conn: conn, ctx: ctx, trace: Trace{Requests: conn.requests}}
	x.unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	began := time.Now()
	response, err := x.send(r)
	if err != nil {
		x.abort()
		return nil, withContextReason(ctx, err)
	}
	response.Took = time.Since(began)
	return response, nil
}

// withContextReason sets the reason of an error to the reason of ctx if ctx has ended.
func withContextReason(ctx context.Context, err error) error {
	var e *Error
	if !errors.As(err, &e) || ctx.Err() == nil {
		return err
	}
	e.Reason = ContextReason(ctx)
	return e
}

// CancelError is the cause of a context that the router itself cancelled.
type CancelError struct{ Reason oriolebend.Reason }

// Error implements error.
func (e *CancelError) Error() string { return "backend: cancelled: " + string(e.Reason) }

// ContextReason returns the reason for which the context of a request ended: its
// deadline, a caller that cancelled, or the reason for which the router cancelled it.
func ContextReason(ctx context.Context) oriolebend.Reason {
	if cancelled, ok := errors.AsType[*CancelError](context.Cause(ctx)); ok {
		return cancelled.Reason
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return oriolebend.ReasonDeadline
	}
	return oriolebend.ReasonCallerCancelled
}

// send writes the request and reads the head of its answer.
func (x *exchange) send(r Request) (*Response, error) {
	err := x.write(r)
	if err != nil && x.trace.Written == 0 {
		return nil, x.outcomeLost(oriolebend.RanNo, "write", err)
	}
	// A server may answer before it has read the complete request, so the answer is
	// read even if the write failed. If the write timed out, the server answers
	// at once or not at all.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = x.conn.SetReadDeadline(time.Now().Add(earlyAnswerTimeout))
	}
	response, readErr := x.read(r)
	if readErr != nil {
		return nil, x.outcomeLost(oriolebend.RanUnknown, "read the answer", errors.Join(err, readErr))
	}
	if err != nil {
		response.closes = true
	}
	return response, nil
}

const (
	// maxJoinedBytes is the longest body that is written together with its head. Joining
	// them copies the body.
	maxJoinedBytes = 16 << 10
	// writePieceBytes is the most of a body that is written at a time.
	writePieceBytes = 32 << 10
	// pieceWriteTimeout bounds the write of one piece. A server that reads more slowly holds
	// memory of this process for a request that it will not answer in time.
	pieceWriteTimeout = 2 * time.Second
	// earlyAnswerTimeout bounds the wait for the answer of a server that has not read its
	// request in time. It is a round trip between failure domains.
	earlyAnswerTimeout = 100 * time.Millisecond
)

// write writes the request. A long body is not copied, and each of its pieces must be
// written within pieceWriteTimeout.
func (x *exchange) write(r Request) error {
	body := r.Body
	if len(body) <= maxJoinedBytes {
		return x.writeBytes(append(encodeHead(r), body...))
	}
	err := x.writeBytes(encodeHead(r))
	for piece := range slices.Chunk(body, writePieceBytes) {
		if err != nil {
			return err
		}
		_ = x.conn.SetWriteDeadline(time.Now().Add(pieceWriteTimeout))
		err = x.writeBytes(piece)
	}
	return err
}

func (x *exchange) writeBytes(data []byte) error {
	n, err := x.conn.Write(data)
	x.trace.Written += n
	return err
}

// outcomeLost returns the error of an exchange that failed after the connection was
// opened.
func (x *exchange) outcomeLost(ran oriolebend.Ran, detail string, cause error) *Error {
	return &Error{Reason: oriolebend.ReasonOutcomeLost, Ran: ran, Trace: x.trace, Opened: x.conn.opened, Detail: detail, Cause: cause}
}

// framing are the headers that encodeHead writes itself. A server may refuse a request that has one of
// them twice.
var framing = map[string]bool{"Content-Length": true, "Host": true, "Transfer-Encoding": true}

// encodeHead returns the request without its body.
func encodeHead(r Request) []byte {
	var out bytes.Buffer
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.WriteSubset(&out, framing) // writes to a buffer do not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// abort closes the connection, unless the exchange has ended.
func (x *exchange) abort() {
	if x.unwatch == nil {
		return
	}
	x.unwatch()
	x.unwatch = nil
	_ = x.conn.Close()
}
