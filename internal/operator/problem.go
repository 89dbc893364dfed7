package operator

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// refusal is a problem with its HTTP status, and the id and the result of the order
// if there is one.
type refusal struct {
	oriolebend.Problem
	status  int
	orderID string
	result  *oriolebend.ChangeResult
}

// Error implements error.
func (r *refusal) Error() string { return r.Problem.Error() }

// Unwrap returns the problem.
func (r *refusal) Unwrap() error { return &r.Problem }

// statuses maps reasons to HTTP statuses. A reason that is not listed has status
// 500.
var statuses = map[oriolebend.Reason]int{
	oriolebend.ReasonMalformed:       http.StatusBadRequest,
	oriolebend.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	oriolebend.ReasonUnauthorized:    http.StatusUnauthorized,
	oriolebend.ReasonUnknownRequest:  http.StatusNotFound,
	oriolebend.ReasonKeyReused:       http.StatusConflict,
	oriolebend.ReasonRevisionRace:    http.StatusConflict,
	oriolebend.ReasonInvalidResource: http.StatusUnprocessableEntity,
	oriolebend.ReasonControlAway:     http.StatusServiceUnavailable,
	oriolebend.ReasonNotLeader:       http.StatusServiceUnavailable,
	oriolebend.ReasonStopping:        http.StatusServiceUnavailable,
	oriolebend.ReasonOverloaded:      http.StatusServiceUnavailable,
	oriolebend.ReasonQueueFull:       http.StatusServiceUnavailable,
	oriolebend.ReasonDiskFull:        http.StatusInsufficientStorage,
	oriolebend.ReasonDeadline:        http.StatusGatewayTimeout,
	oriolebend.ReasonOutcomeLost:     http.StatusGatewayTimeout,
}

// defaultRetryAfter is the Retry-After of a 503 whose problem has none.
const defaultRetryAfter = time.Second

// answerError sends a problem document for a failed request.
func (a *api) answerError(c *echo.Context, err error) {
	r := a.asRefusal(err)
	a.outcomes.WithLabelValues(operation(c), string(r.Reason)).Inc()
	if r.status >= http.StatusInternalServerError && r.Reason == oriolebend.ReasonInternal {
		a.Logger.Error("operator request failed", "path", c.Request().URL.Path, "error", err)
	}
	retryAfter := r.RetryAfter
	if retryAfter == 0 && r.status == http.StatusServiceUnavailable {
		retryAfter = defaultRetryAfter
	}
	header := c.Response().Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	document := oriolebend.OperatorProblem{
		Type: "about:blank", Title: http.StatusText(r.status), Status: r.status,
		Detail: r.Detail, Reason: r.Reason, Ran: r.Ran, OrderID: r.orderID, Result: r.result,
	}
	body, err := json.Marshal(document)
	if err != nil {
		a.Logger.Error("problem document not encoded", "error", err)
		return
	}
	if err := c.Blob(r.status, "application/problem+json", body); err != nil {
		a.Logger.Debug("operator disconnected before the answer was sent", "error", err)
	}
}

// asRefusal converts any error of a handler to a refusal.
func (a *api) asRefusal(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		if r.status == 0 {
			r.status = statusOf(r.Reason)
		}
		return r
	}
	var problem *oriolebend.Problem
	if errors.As(err, &problem) {
		return &refusal{Problem: *problem, status: statusOf(problem.Reason)}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(oriolebend.ReasonTooLarge, "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if status := echo.StatusCode(err); status != 0 {
		r = refuse(oriolebend.ReasonMalformed, "no such path or method")
		r.status = status
		return r
	}
	r = refuse(oriolebend.ReasonInternal, "")
	r.Ran = oriolebend.RanUnknown
	return r
}

func statusOf(reason oriolebend.Reason) int {
	if status, known := statuses[reason]; known {
		return status
	}
	return http.StatusInternalServerError
}

func refuse(reason oriolebend.Reason, detail string) *refusal {
	return &refusal{
		Problem: oriolebend.Problem{Reason: reason, Ran: oriolebend.RanNo, Detail: detail},
		status:  statusOf(reason),
	}
}

// operation returns the method and the route of a request, for counters.
func operation(c *echo.Context) string {
	if path := c.Path(); path != "" {
		return c.Request().Method + " " + path
	}
	return "none"
}

// writeOK counts a successful request under an outcome and sends its answer.
func (a *api) writeOK(c *echo.Context, outcome string, body any) error {
	a.outcomes.WithLabelValues(operation(c), outcome).Inc()
	return c.JSON(http.StatusOK, body)
}
