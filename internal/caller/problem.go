package caller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	typeProblem = "application/problem+json"
	// problemBase is the type URI of a problem without the reason at its end.
	problemBase = "https://oriolebend.github.io/problems/"
)

// Document is a problem as it is sent: a problem document of RFC 9457 with the
// additional members reason, ran, requestID and retryAfterMillis. Error repeats the
// problem in the form that clients of the completions protocol read.
type Document struct {
	Type             string            `json:"type"`
	Title            string            `json:"title"`
	Status           int               `json:"status"`
	Detail           string            `json:"detail,omitempty"`
	Reason           oriolebend.Reason `json:"reason"`
	Ran              oriolebend.Ran    `json:"ran"`
	RequestID        string            `json:"requestID,omitempty"`
	RetryAfterMillis int64             `json:"retryAfterMillis,omitempty"`
	Error            DocumentError     `json:"error"`
}

// DocumentError is the error object of the completions protocol. Param is
// always null here; client libraries expect the member to be present.
type DocumentError struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Code    oriolebend.Reason `json:"code"`
	Param   *string           `json:"param"`
}

func documentOf(p *oriolebend.Problem) Document {
	status, title := statusOf(p.Reason)
	message := title
	if p.Detail != "" {
		message = title + ": " + p.Detail
	}
	return Document{
		Type:             problemBase + string(p.Reason),
		Title:            title,
		Status:           status,
		Detail:           p.Detail,
		Reason:           p.Reason,
		Ran:              p.Ran,
		RequestID:        p.RequestID,
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
		Error: DocumentError{
			Message: message + " (ran: " + string(p.Ran) + ")",
			Type:    errorType(status),
			Code:    p.Reason,
		},
	}
}

func errorType(status int) string {
	const firstServerError = 500
	if status < firstServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// writeProblem answers with a problem document. Its headers tell generic clients
// when to retry, and clients of the completions protocol whether to retry at all.
func (h *handler) writeProblem(c *echo.Context, p *oriolebend.Problem) {
	h.logProblem(c.Request().Context(), p)
	if h.Metrics != nil && p.RequestID == "" {
		h.Metrics.Refused(p.Reason)
	}
	document := documentOf(p)
	header := c.Response().Header()
	if p.RequestID != "" {
		header.Set(HeaderRequestID, p.RequestID)
	}
	setRetry(header.Set, p)
	body, err := json.Marshal(document)
	if err != nil {
		return
	}
	h.extendWriteDeadline(c)
	if err := c.Blob(document.Status, typeProblem, body); err != nil {
		h.Logger.Debug("caller disconnected before the refusal was sent", logging.Reason(p.Reason))
	}
}

// setRetry sets Retry-After, in whole seconds and at least one, if a retry
// helps. Client libraries of the completions protocol retry every status of 500
// and above by themselves unless X-Should-Retry forbids it: without that header
// they would repeat a request that may have run already.
func setRetry(set func(name, value string), p *oriolebend.Problem) {
	if p.RetryAfter <= 0 {
		set("X-Should-Retry", "false")
		return
	}
	seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
	set("Retry-After", strconv.FormatInt(seconds, 10))
	set("Retry-After-Ms", strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	set("X-Should-Retry", strconv.FormatBool(p.Ran == oriolebend.RanNo))
}

func (h *handler) logProblem(ctx context.Context, p *oriolebend.Problem) {
	level := slog.LevelInfo
	if p.Reason == oriolebend.ReasonInternal {
		level = slog.LevelError
	}
	logged := *p
	if errors.Is(p.Cause, context.Canceled) {
		logged.Cause = nil
	}
	h.Logger.LogAttrs(ctx, level, "request refused or failed", logging.Problem(&logged))
}
