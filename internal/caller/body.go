package caller

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	defaultBodyTimeout = 30 * time.Second
	// memoryRetryAfter is the retry delay of a request for whose body there was no
	// memory.
	memoryRetryAfter = time.Second
)

// readBody returns the complete body of a request. It refuses a body over the
// limit without reading it, and a body that does not arrive in time: callers that
// send slowly would otherwise hold a connection and its memory forever.
func (h *handler) readBody(c *echo.Context) ([]byte, error) {
	r := c.Request()
	limit := h.Caller.MaxBodyBytes
	limited := http.MaxBytesReader(c.Response(), r.Body, limit)
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(c.Response())
	h.logDeadlineError(control.SetReadDeadline(time.Now().Add(h.Caller.BodyTimeout.Or(defaultBodyTimeout))))
	held, _ := c.Get(heldKey).(*memorybudget.Holding)
	body, err := held.Read(limited, r.ContentLength)
	if err != nil {
		return nil, bodyProblem(r, err, limit)
	}
	// The deadline must be removed once the body is read. While the answer is
	// written, the server still reads to detect a caller that disconnects, and it
	// would take an expired deadline for a disconnect.
	h.logDeadlineError(control.SetReadDeadline(time.Time{}))
	return body, nil
}

// heldKey is the context key of the memory held for a request's body.
const heldKey = "held"

// holdBody bounds the memory of all bodies together. A body counts from before it
// is read until its answer ends. Without this bound, callers that each stay within
// the limit of one body could together use up the memory of the entry, and every
// request in progress would be lost with it.
func (h *handler) holdBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		held := h.Held.Open(memorybudget.Request, memorybudget.PeerOf(c.Request().RemoteAddr))
		defer held.Close()
		c.Set(heldKey, held)
		return next(c)
	}
}

// noBodyMemory returns the problem of a request for whose body there is no memory.
// If the request has an idempotency key of its caller's own, Ran is "unknown": it
// may be a retry of a request that ran, and its record was not looked up.
func noBodyMemory(r *http.Request) error {
	problem := refuse(oriolebend.ReasonOverloaded, "the bodies of requests in progress take all memory set aside")
	problem.RetryAfter = memoryRetryAfter
	if r.Header.Get(HeaderKey) != "" {
		problem.Ran = oriolebend.RanUnknown
	}
	return problem
}

// logDeadlineError logs an error of setting a connection's deadline. Recorders in
// tests do not support deadlines. On a real connection the error means that the
// caller has disconnected, and the next read or write fails too.
func (h *handler) logDeadlineError(err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Logger.Debug("setting the deadline of a caller's connection failed", logging.Cause(err))
	}
}

func bodyProblem(r *http.Request, err error, limit int64) error {
	if _, full := errors.AsType[*memorybudget.FullError](err); full {
		return noBodyMemory(r)
	}
	var overLimit *http.MaxBytesError
	if errors.As(err, &overLimit) {
		return tooLarge(limit)
	}
	problem := refuse(oriolebend.ReasonMalformed, "the body ended early")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		problem = refuse(oriolebend.ReasonDeadline, "the body came too slowly")
	}
	problem.Cause = err
	return problem
}

func tooLarge(limit int64) error {
	return refuse(oriolebend.ReasonTooLarge, fmt.Sprintf("the body is over %d bytes", limit))
}

// extendWriteDeadline sets the deadline of the next write. If the caller does not
// read the output in time, the write fails and the request is cancelled.
func (h *handler) extendWriteDeadline(c *echo.Context) {
	control := http.NewResponseController(c.Response())
	h.logDeadlineError(control.SetWriteDeadline(time.Now().Add(h.WriteTimeout)))
}
