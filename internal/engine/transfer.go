package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 64 << 10

// errIdleTimeout is the cancellation cause of a call that ended because the engine
// sent nothing within the timeout.
var errIdleTimeout = fmt.Errorf("no line within the bound: %w", context.DeadlineExceeded)

// stream runs one long call and passes each line to handle until handle reports
// that the line was the last.
//
// A frozen engine keeps its connections open and sends nothing, so that the call
// would wait forever and hold the placement of its request. A line, which may be empty,
// must therefore arrive within IdleTimeout. Otherwise the call fails with serverLost.
func (c *Client) stream(ctx context.Context, path string, body any, handle func(Line) (bool, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.config.IdleTimeout, func() { cancel(errIdleTimeout) })
	defer idle.Stop()
	response, err := c.send(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := &bodyReader{Reader: response.Body, cut: unframed(response)}
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, c.config.MaxLineBytes)
	for lines.Scan() {
		idle.Reset(c.config.IdleTimeout)
		line, err := decodeLine(lines.Bytes())
		if err != nil {
			return reader.decodeError(ctx, "unreadable line", lines.Bytes(), err)
		}
		if line == nil {
			continue
		}
		last, err := handleLine(*line, handle)
		if err != nil || last {
			return err
		}
	}
	return streamError(ctx, lines.Err())
}

// decodeLine decodes one line; it returns nil for an empty one.
func decodeLine(text []byte) (*Line, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return nil, nil
	}
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, err
	}
	return &line, nil
}

// handleLine passes one line to handle, unless it has an error.
func handleLine(line Line, handle func(Line) (bool, error)) (bool, error) {
	if line.Error != nil {
		return false, restrictReason(line.Error)
	}
	return handle(line)
}

// bodyReader reads the body of a response, and records whether it may have ended before its end.
type bodyReader struct {
	io.Reader
	ended error
	// cut is set from the start if the end of the body is the end of the connection.
	cut bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.ended = err
	}
	return n, err
}

// decodeError returns the error of a part of the body that can't be decoded. The last part of a body that
// was broken off is that of an engine that was lost, not of a faulty one.
func (b *bodyReader) decodeError(ctx context.Context, detail string, text []byte, err error) *Error {
	brokenOff := b.ended != nil && (b.cut || !errors.Is(b.ended, io.EOF))
	if brokenOff && truncated(text, err) {
		return connectionError(ctx, io.ErrUnexpectedEOF)
	}
	return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: detail, Cause: err}
}

// truncated reports whether a JSON text is valid as far as it goes.
func truncated(text []byte, err error) bool {
	syntax, ok := errors.AsType[*json.SyntaxError](err)
	return ok && syntax.Offset >= int64(len(text))
}

// unframed reports whether the end of a response is the end of its connection.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// streamError returns the typed error of a stream that ended before its last line.
func streamError(ctx context.Context, err error) *Error {
	if errors.Is(err, bufio.ErrTooLong) {
		return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: "line over its bound", Cause: err}
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return connectionError(ctx, err)
}

// call runs one short call and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.config.CallTimeout, errIdleTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if out == nil {
		return nil
	}
	reader := &bodyReader{Reader: response.Body, cut: unframed(response)}
	text, err := io.ReadAll(io.LimitReader(reader, c.config.MaxBodyBytes+1))
	if err != nil {
		return connectionError(ctx, err)
	}
	if int64(len(text)) > c.config.MaxBodyBytes {
		return engineFailure("answer over %d bytes", c.config.MaxBodyBytes)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return reader.decodeError(ctx, "unreadable answer", text, err)
	}
	return nil
}

// send sends one request and returns the response if its status is 2xx.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, &Error{Reason: oriolebend.ReasonMalformed, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, bytes.NewReader(text))
	if err != nil {
		return nil, &Error{Reason: oriolebend.ReasonInternal, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, connectionError(ctx, err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, responseError(response)
}

// responseError reads the typed error of a response whose status is not 2xx.
func responseError(r *http.Response) *Error {
	var e Error
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	if json.Unmarshal(text, &e) != nil || e.Reason == "" {
		return engineFailure("answered %s", r.Status)
	}
	return restrictReason(&e)
}

// connectionError returns the typed error of a failed connection. The cancellation
// cause of the context distinguishes a caller that cancelled the call from an
// unreachable engine. An engine whose answer is malformed is faulty, not unreachable.
func connectionError(ctx context.Context, err error) *Error {
	cause := context.Cause(ctx)
	_, malformed := errors.AsType[*httpclient.MalformedError](err)
	switch {
	case malformed:
		return &Error{Reason: oriolebend.ReasonEngineFailed, Cause: err}
	case cause == nil:
		return &Error{Reason: oriolebend.ReasonServerLost, Cause: err}
	case errors.Is(cause, errIdleTimeout):
		return &Error{Reason: oriolebend.ReasonServerLost, Cause: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return &Error{Reason: oriolebend.ReasonDeadline, Cause: cause}
	default:
		return &Error{Reason: oriolebend.ReasonCallerCancelled, Cause: cause}
	}
}

// engineFailure returns an engineFailed error with a formatted detail.
func engineFailure(format string, args ...any) *Error {
	return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: fmt.Sprintf(format, args...)}
}

// unexpectedLine returns the error of a line whose kind does not belong to the call.
func unexpectedLine(Line) *Error {
	return engineFailure("line of another call")
}
