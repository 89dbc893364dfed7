package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/httpclient"
)

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
		if err := checkHead(answer); err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, &InterimAnswersError{Limit: maxInterimAnswers}
			}
			continue
		}
		httpclient.CheckTrailer(answer)
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
