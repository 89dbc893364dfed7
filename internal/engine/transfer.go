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

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxErrorBytes bounds the body of an answer that is an error.
const maxErrorBytes = 64 << 10

// errSilent is the cause of a long call that ended because the engine brought
// nothing for too long.
var errSilent = fmt.Errorf("no line within the bound: %w", context.DeadlineExceeded)

// stream runs one long call and hands each line to take, until take says that
// the line was the last.
//
// A frozen engine keeps its connections open and sends nothing: the call
// would wait for ever and hold the caller's place. A line, if only an empty
// one, must therefore come within SilenceWithin; else the call ends as
// serverLost.
func (c *Client) stream(ctx context.Context, path string, body any, take func(Line) (bool, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.config.SilenceWithin, func() { cancel(errSilent) })
	defer silence.Stop()
	response, err := c.send(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, c.config.MaxLineBytes)
	for lines.Scan() {
		silence.Reset(c.config.SilenceWithin)
		last, err := takeLine(lines.Bytes(), take)
		if err != nil || last {
			return err
		}
	}
	return broken(ctx, lines.Err())
}

// takeLine reads one line; an empty one is passed over.
func takeLine(text []byte, take func(Line) (bool, error)) (bool, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return false, nil
	}
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		return false, &Error{Reason: oriolebend.ReasonEngineFailed, Detail: "unreadable line", Cause: err}
	}
	if line.Error != nil {
		return false, reported(line.Error)
	}
	return take(line)
}

// broken types the end of a stream that came before its last line.
func broken(ctx context.Context, err error) *Error {
	if errors.Is(err, bufio.ErrTooLong) {
		return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: "line over its bound", Cause: err}
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return lost(ctx, err)
}

// call runs one short call and decodes its answer into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.config.CallWithin, errSilent)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if out == nil {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBodyBytes+1))
	if err != nil {
		return lost(ctx, err)
	}
	if int64(len(text)) > c.config.MaxBodyBytes {
		return failed("answer over %d bytes", c.config.MaxBodyBytes)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: "unreadable answer", Cause: err}
	}
	return nil
}

// send starts one request and returns its response if the status is 2xx.
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
		return nil, lost(ctx, err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, refused(response)
}

// refused reads the typed error of an answer that is not 2xx.
func refused(r *http.Response) *Error {
	var e Error
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	if json.Unmarshal(text, &e) != nil || e.Reason == "" {
		return failed("answered %s", r.Status)
	}
	return reported(&e)
}

// lost types an error of the connection. A caller that left is told from an
// engine that is gone by the cause of the context's end.
func lost(ctx context.Context, err error) *Error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return &Error{Reason: oriolebend.ReasonServerLost, Cause: err}
	case errors.Is(cause, errSilent):
		return &Error{Reason: oriolebend.ReasonServerLost, Cause: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return &Error{Reason: oriolebend.ReasonDeadline, Cause: cause}
	default:
		return &Error{Reason: oriolebend.ReasonCallerCancelled, Cause: cause}
	}
}

// failed returns an engineFailed error.
func failed(format string, args ...any) *Error {
	return &Error{Reason: oriolebend.ReasonEngineFailed, Detail: fmt.Sprintf(format, args...)}
}

// unexpected types a line of a kind that the call does not bring.
func unexpected(Line) *Error {
	return failed("line of another call")
}
