package backend

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

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
