package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
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

// Response is the head of an answer, and its body, which must be read to the end or
// closed.
type Response struct {
	Status int
	Header http.Header
	// Took is the time from the start of the write until the head was read.
	Took  time.Duration
	Trace Trace
	// Unframed is true if the end of the answer is the end of its connection: it has neither a
	// length nor chunks.
	Unframed bool

	exchange *exchange
	// closes is true if the connection can't be used again after the body.
	closes bool
	// trailing is set if bytes came together with the end of the answer.
	trailing bool
	paced    pacedBody
	// length is the length of the body, negative if it is not known.
	length int64
}

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

const (
	// maxStrayAnswers bounds the answers to other requests that are skipped, maxStrayBytes the body of
	// each that has no known end.
	maxStrayAnswers = 2
	maxStrayBytes   = 64 << 10
	// maxInterimAnswers bounds the interim answers before the answer to a request.
	maxInterimAnswers = 16
)

// InterimAnswersError is the error of an exchange with too many interim answers.
type InterimAnswersError struct{ Limit int }

// Error implements error.
func (e *InterimAnswersError) Error() string {
	return fmt.Sprintf("more than %d interim answers", e.Limit)
}

// StrayAnswerError is an answer that belongs to another request.
type StrayAnswerError struct{ Status int }

// Error implements error.
func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("an answer with status %d belongs to another request", e.Status)
}

// read reads the head of the request's answer. A faulty server may have sent a
// second answer to an earlier request; that answer is skipped, and the connection is
// not used again.
func (x *exchange) read(r Request) (*Response, error) {
	for interim := 0; ; {
		x.conn.head.expect()
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if tooLong := x.conn.head.ended(); tooLong != nil {
			return nil, tooLong // the parser's error holds the whole head
		}
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, &InterimAnswersError{Limit: maxInterimAnswers}
			}
			continue
		}
		if splicedHead(answer) {
			x.pool.count(StrayEnded)
			return nil, &SplicedHeadError{Status: answer.Status}
		}
		if x.owns(r, answer.Header) {
			x.applyKeepAlive(answer.Header)
			return &Response{
				Status: answer.StatusCode, Header: answer.Header, exchange: x, Trace: x.trace,
				closes: answer.Close || x.trace.Skipped > 0 || unframed(answer),
				length: bodyLength(r.Method, answer), Unframed: r.Method != http.MethodHead && unframed(answer),
				paced: x.pacedBody(answer, bodyLength(r.Method, answer)),
			}, nil
		}
		if unframed(answer) || answer.Close || x.trace.Skipped == maxStrayAnswers {
			x.pool.count(StrayEnded)
			return nil, &StrayAnswerError{Status: answer.StatusCode}
		}
		x.trace.Skipped++
		x.pool.count(StraySkipped)
		if err := x.skip(answer); err != nil {
			return nil, errors.Join(&StrayAnswerError{Status: answer.StatusCode}, err)
		}
	}
}

// skip reads the body of a stray answer.
func (x *exchange) skip(answer *http.Response) error {
	body := x.pacedBody(answer, answer.ContentLength)
	if !unbounded(answer.ContentLength) {
		_, err := io.Copy(io.Discard, &body)
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(&body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		err = &TooLongError{Limit: maxStrayBytes}
	}
	return err
}

// owns reports whether an answer is taken for the answer to the request. An answer that names no
// request is stray if the server has named the requests of earlier answers on the connection.
func (x *exchange) owns(r Request, answer http.Header) bool {
	x.trace.Owner = OwnerUnnamed
	if r.Owner != nil {
		x.trace.Owner = r.Owner(answer)
	}
	switch x.trace.Owner {
	case OwnerSelf:
		x.conn.names = true
		return true
	case OwnerUnnamed:
		return !r.Named || !x.conn.names
	}
	return false
}

// unframed reports whether the end of the answer is the end of its connection: it has
// neither a length nor chunks.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// bodyLength returns the length of the body that follows a head, negative if it is not
// known.
func bodyLength(method string, answer *http.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return answer.ContentLength
}

// applyKeepAlive reads how long the server keeps idle connections from the header
// Keep-Alive. The connection is kept for a shorter time, since a request takes time
// to reach the server.
func (x *exchange) applyKeepAlive(h http.Header) {
	_, value, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds <= 0 {
		return
	}
	const margin = 0.7
	x.conn.idleFor = time.Duration(float64(seconds) * margin * float64(time.Second))
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

// Read implements io.Reader for the body. At the end of the body the connection is
// kept, if the server keeps it too.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.paced.Read(p)
	if err == io.EOF {
		r.finish()
	}
	return n, err
}

// finish returns the connection to the pool after a complete answer, or closes it if it
// can't be reused. Bytes after the answer belong to no request and prevent the reuse.
func (r *Response) finish() {
	x := r.exchange
	if x.unwatch == nil {
		return
	}
	stopped := x.unwatch()
	x.unwatch = nil
	r.trailing = x.conn.reader.Buffered() > 0
	if r.trailing {
		x.pool.count(StrayTrailing)
	}
	if r.closes || !stopped || r.trailing {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn)
}

// Trailing reports whether bytes that belong to no request came together with the end of the answer.
// It is valid once the body has been read to its end.
func (r *Response) Trailing() bool { return r.trailing }

// CountForwarded counts further bytes that forwarding the answer takes, such as the headers of packets
// of short parts.
func (r *Response) CountForwarded(n int) { r.paced.count(n) }

// Close discards the rest of the answer by closing the connection. It does nothing
// after the end of the body.
func (r *Response) Close() { r.exchange.abort() }

// abort closes the connection, unless the exchange has ended.
func (x *exchange) abort() {
	if x.unwatch == nil {
		return
	}
	x.unwatch()
	x.unwatch = nil
	_ = x.conn.Close()
}

// TooLongError is the error of an answer that is over its limit.
type TooLongError struct{ Limit int64 }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("answer over %d bytes", e.Limit) }

// ReadBody reads the complete body, which may have up to limit bytes.
func (r *Response) ReadBody(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &TooLongError{Limit: limit}
	}
	if err != nil {
		r.Close()
		return nil, r.BodyError("read the body", err)
	}
	return body, nil
}

// BodyError returns the error of an answer whose body can't be read to its end.
func (r *Response) BodyError(detail string, cause error) error {
	return withContextReason(r.exchange.ctx, r.exchange.outcomeLost(oriolebend.RanUnknown, detail, cause))
}
