// Package http1 is the HTTP/1.1 server with which a forwarder serves callers of routes.
// It does not use net/http's server, because routed requests depend on properties which
// that server hides: a request that two parsers could read differently is refused, the
// end of a caller's connection cancels its request at once, a connection is closed only
// between requests, and an answer that ends early can't look complete. It parses messages
// with net/http.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// Request is one complete request of a caller.
type Request struct {
	Method string
	// Target is the path and query as they were sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the header had been read.
	Received time.Time

	// held accounts for the memory of the body.
	held *memorybudget.Holding
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// SyntaxError is the error of a request that can't be read, and the status with which
// it is answered.
type SyntaxError struct {
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("http1: %s: %v", e.Detail, e.Cause)
	}
	return "http1: " + e.Detail
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

func malformed(detail string, cause error) error {
	return &SyntaxError{Status: http.StatusBadRequest, Detail: detail, Cause: cause}
}

// head is a request without its body.
type head struct {
	request *http.Request
	target  string
	length  int64 // -1 for chunks
	// expectsContinue is true if the caller waits for 100 Continue before it sends the
	// body.
	expectsContinue bool
}

// readHead reads up to the empty line after the header.
func readHead(r *bufio.Reader, limit int) ([]byte, error) {
	var raw []byte
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, &SyntaxError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: fmt.Sprintf("header over %d bytes", limit)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return raw, err
		}
		if len(raw) == len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			raw = raw[:0] // empty lines before a request are skipped
			continue
		}
		if bytes.HasSuffix(raw, []byte("\n\r\n")) || bytes.HasSuffix(raw, []byte("\n\n")) {
			return raw, nil
		}
	}
}

// parseHead parses a header strictly.
//
// A request that gives its length in two ways allows request smuggling: bytes that
// one parser reads as the body are the next request for another parser, and a backend
// server would run a request that no caller sent. Such requests are refused and their
// connection is closed.
func parseHead(raw []byte) (head, error) {
	target, err := requestTarget(raw)
	if err != nil {
		return head{}, err
	}
	if err := checkLines(raw); err != nil {
		return head{}, err
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	if err != nil {
		return head{}, malformed("header", err)
	}
	h := head{request: request, target: target, length: request.ContentLength}
	if len(request.TransferEncoding) > 0 {
		h.length = -1
	}
	h.expectsContinue = strings.EqualFold(request.Header.Get("Expect"), "100-continue")
	return h, nil
}

// readBody reads the complete body.
func readBody(r *bufio.Reader, h head, limit int64, held *memorybudget.Holding) ([]byte, error) {
	if h.length > limit {
		return nil, tooLarge(limit)
	}
	if h.length >= 0 {
		return held.Read(r, h.length)
	}
	body, err := held.Read(io.LimitReader(httputil.NewChunkedReader(r), limit+1), -1)
	if err != nil {
		if _, full := errors.AsType[*memorybudget.FullError](err); full || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, err
		}
		return nil, malformed("chunks", err)
	}
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return body, readTrailer(r)
}

func tooLarge(limit int64) error {
	return &SyntaxError{Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("body over %d bytes", limit)}
}
