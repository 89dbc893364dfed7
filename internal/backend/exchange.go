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

// Request is one request as it goes to a backend server.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer with this header belongs to the request;
	// nil takes every answer.
	Matches func(http.Header) bool
	// Freshness is the longest that a connection may have lain unused; zero
	// opens a new one.
	Freshness time.Duration
}

// Error is an exchange that brought no whole answer.
type Error struct {
	Reason oriolebend.Reason
	// Ran is "no" only if nothing of the request was written.
	Ran oriolebend.Ran
	// Reused is set if the connection had carried a request before.
	Reused bool
	// Opened is when the connection was opened, zero if there was none.
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

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.Cause }

// Response is the head of an answer, and its body to be read to the end.
type Response struct {
	Status int
	Header http.Header
	// Took is the time from the sending to the head.
	Took time.Duration

	exchange *exchange
	body     io.ReadCloser
	closes   bool
	// length is that of the body, negative if the server does not tell it.
	length int64
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *connection
	ctx  context.Context
	// release ends the watch over the context.
	release func() bool
	written bool
}

// Do sends a request to a server and reads the head of its answer. The answer's
// body must be read to its end, or the answer closed. Once ctx ends the
// connection is closed, which has the server drop the request.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	conn, err := p.take(ctx, address, r.Freshness)
	if err != nil {
		return nil, failure(ctx, &Error{Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanNo, Detail: "connect", Cause: err})
	}
	x := &exchange{pool: p, conn: conn, ctx: ctx}
	x.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	began := time.Now()
	response, err := x.send(r)
	if err != nil {
		x.drop()
		return nil, failure(ctx, err)
	}
	response.Took = time.Since(began)
	return response, nil
}

// failure names the caller's own reasons where they are the cause.
func failure(ctx context.Context, err error) error {
	var e *Error
	if !errors.As(err, &e) || ctx.Err() == nil {
		return err
	}
	e.Reason = ReasonOfEnd(ctx)
	return e
}

// ReasonOfEnd tells why the context of a request ended.
func ReasonOfEnd(ctx context.Context) oriolebend.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return oriolebend.ReasonDeadline
	}
	return oriolebend.ReasonCallerCancelled
}

func (x *exchange) send(r Request) (*Response, error) {
	err := x.write(r)
	if err != nil && !x.written {
		return nil, x.lost(oriolebend.RanNo, "write", err)
	}
	// A server may answer before it has read the whole request, so a failed
	// write is no reason not to read. One that does not read on answers now or never.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = x.conn.SetReadDeadline(time.Now().Add(answersWithin))
	}
	response, readErr := x.read(r)
	if readErr != nil {
		return nil, x.lost(oriolebend.RanUnknown, "read the answer", errors.Join(err, readErr))
	}
	if err != nil {
		response.closes = true
	}
	return response, nil
}

const (
	// onePieceBytes is the longest body that is written together with its head, which needs
	// a copy of it.
	onePieceBytes = 16 << 10
	// sendPieceBytes is the most of a body that is written at a time.
	sendPieceBytes = 32 << 10
	// takesWithin bounds the writing of a piece. A server that takes less holds the memory of
	// this process for a request that it will not answer in time.
	takesWithin = 2 * time.Second
	// answersWithin is for how long the answer of a server is waited for that has not taken
	// its request in time: a round trip between failure domains.
	answersWithin = 100 * time.Millisecond
)

// write writes the request. A long body is not copied, and its server has to take it at a
// pace.
func (x *exchange) write(r Request) error {
	body := r.Body
	if len(body) <= onePieceBytes {
		n, err := x.conn.Write(append(encodeHead(r), body...))
		x.written = n > 0
		return err
	}
	n, err := x.conn.Write(encodeHead(r))
	x.written = n > 0
	for piece := range slices.Chunk(body, sendPieceBytes) {
		if err != nil {
			return err
		}
		_ = x.conn.SetWriteDeadline(time.Now().Add(takesWithin))
		_, err = x.conn.Write(piece)
	}
	return err
}

func (x *exchange) lost(ran oriolebend.Ran, detail string, cause error) *Error {
	return &Error{Reason: oriolebend.ReasonOutcomeLost, Ran: ran, Reused: x.conn.reused, Opened: x.conn.opened, Detail: detail, Cause: cause}
}

// maxStrayAnswers bounds the answers to other requests that are passed over.
const maxStrayAnswers = 2

// StrayAnswerError is an answer that belongs to another request.
type StrayAnswerError struct{ Status int }

// Error implements error.
func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("an answer with status %d belongs to another request", e.Status)
}

// read reads the head of the request's answer. A faulty server may have sent a
// second answer to the request before; it is passed over, and the connection is
// not used again.
func (x *exchange) read(r Request) (*Response, error) {
	strays := 0
	for {
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if r.Matches == nil || r.Matches(answer.Header) {
			x.learnIdle(answer.Header)
			return &Response{
				Status: answer.StatusCode, Header: answer.Header, exchange: x,
				body: answer.Body, closes: answer.Close || strays > 0 || unframed(answer),
				length: bodyLength(r.Method, answer),
			}, nil
		}
		strays++
		if unframed(answer) || strays > maxStrayAnswers {
			return nil, &StrayAnswerError{Status: answer.StatusCode}
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
	}
}

// unframed reports whether the answer ends with its connection.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// bodyLength is the length of the body that follows a head, negative if it is not known.
func bodyLength(method string, answer *http.Response) int64 {
	if method == http.MethodHead {
		return 0
	}
	return answer.ContentLength
}

// learnIdle takes how long the server keeps unused connections, less a margin
// for the way there.
func (x *exchange) learnIdle(h http.Header) {
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

// encodeHead writes all of the request but its body.
func encodeHead(r Request) []byte {
	var out bytes.Buffer
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&out) // a buffer takes every write
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// Read implements io.Reader on the body. At its proper end the connection is
// kept, if the server keeps it too.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.end()
	}
	return n, err
}

// end gives the connection back after a whole answer. Bytes behind it belong to
// no request.
func (r *Response) end() {
	x := r.exchange
	if x.release == nil {
		return
	}
	stopped := x.release()
	x.release = nil
	if r.closes || !stopped || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.give(x.conn)
}

// Close drops the rest of the answer; the server sees the connection end.
func (r *Response) Close() { r.exchange.drop() }

func (x *exchange) drop() {
	if x.release == nil {
		return
	}
	x.release()
	x.release = nil
	_ = x.conn.Close()
}

// TooLongError is an answer that is longer than can be held.
type TooLongError struct{ Most int64 }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("answer over %d bytes", e.Most) }

// Whole reads the whole body.
func (r *Response) Whole(most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(body)) > most {
		err = &TooLongError{Most: most}
	}
	if err != nil {
		r.Close()
		return nil, r.Lost("read the body", err)
	}
	return body, nil
}

// Lost makes the error of an answer whose body can't be read to its end.
func (r *Response) Lost(detail string, cause error) error {
	return failure(r.exchange.ctx, r.exchange.lost(oriolebend.RanUnknown, detail, cause))
}
