package caller

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	defaultBodyTimeout = 30 * time.Second
	// retryHeld is when a caller comes back that found no memory for its body.
	retryHeld = time.Second
)

// readBody returns the whole body of a request. It refuses a body over the
// bound without reading it, and ends a caller that sends too slowly: such
// callers would otherwise hold a connection and its memory for ever.
func (h *handler) readBody(c *echo.Context) ([]byte, error) {
	r := c.Request()
	limit := h.Caller.MaxBodyBytes
	limited := http.MaxBytesReader(c.Response(), r.Body, limit)
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(c.Response())
	h.ignoreUnsupported(control.SetReadDeadline(time.Now().Add(h.Caller.BodyTimeout.Or(defaultBodyTimeout))))
	held, _ := c.Get(heldKey).(*heldbytes.Holding)
	body, err := held.Read(limited, r.ContentLength)
	if err != nil {
		return nil, bodyProblem(r, err, limit)
	}
	// The deadline must go once the body is there: while the answer is written
	// the server still reads, to notice a caller that leaves, and would take a
	// passed deadline for that.
	h.ignoreUnsupported(control.SetReadDeadline(time.Time{}))
	return body, nil
}

// heldKey is where the memory of a request's body stands among the values of its context.
const heldKey = "held"

// holdBody bounds the memory of all bodies together, from before one is read to
// the end of its answer. Without it, callers that each stay within the bound of
// one body could together take all memory of the entry, and every request in
// progress would be lost with it.
func (h *handler) holdBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		held := h.Held.Open(heldbytes.Request, heldbytes.PeerOf(c.Request().RemoteAddr))
		defer held.Close()
		c.Set(heldKey, held)
		return next(c)
	}
}

// overloadedBodies does not say that a request with a key of its caller's own
// did not run: it may be a retry of one that did, and no record was looked at.
func overloadedBodies(r *http.Request) error {
	problem := refuse(oriolebend.ReasonOverloaded, "the bodies of requests in progress take all memory set aside")
	problem.RetryAfter = retryHeld
	if r.Header.Get(HeaderKey) != "" {
		problem.Ran = oriolebend.RanUnknown
	}
	return problem
}

// ignoreUnsupported logs an error of a connection's deadline. Recorders in
// tests have no deadlines; on a real connection it means that the caller left,
// which the next read or write tells too.
func (h *handler) ignoreUnsupported(err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.Logger.Debug("no deadline on a caller's connection", logging.Cause(err))
	}
}

func bodyProblem(r *http.Request, err error, limit int64) error {
	if _, full := errors.AsType[*heldbytes.FullError](err); full {
		return overloadedBodies(r)
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

// extendWrite gives the caller time to take the next write. A caller that
// takes none is noticed by the failed write, and its request then cancelled.
func (h *handler) extendWrite(c *echo.Context) {
	control := http.NewResponseController(c.Response())
	h.ignoreUnsupported(control.SetWriteDeadline(time.Now().Add(h.WriteTimeout)))
}
