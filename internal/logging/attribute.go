package logging

import (
	"log/slog"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Keys of the attributes that the log lines of every role share.
const (
	KeyRequestID = "requestID"
	KeyAttempt   = "attempt"
	KeyReason    = "reason"
	KeyRan       = "ran"
	KeyServer    = "server"
	KeyCause     = "cause"
)

// RequestID returns the attribute for the id of a request.
func RequestID(id string) slog.Attr { return slog.String(KeyRequestID, id) }

// Attempt returns the attributes for an attempt: the request id and the number.
func Attempt(a message.Attempt) slog.Attr {
	return slog.Group("", RequestID(a.RequestID), slog.Uint64(KeyAttempt, uint64(a.Number)))
}

// Reason returns the attribute for the reason of a refusal, retry or failure.
func Reason(r oriolebend.Reason) slog.Attr { return slog.String(KeyReason, string(r)) }

// Ran returns the attribute that says whether the request was executed.
func Ran(r oriolebend.Ran) slog.Attr { return slog.String(KeyRan, string(r)) }

// Server returns the attribute for the name of a backend server.
func Server(name string) slog.Attr { return slog.String(KeyServer, name) }

// Cause returns the attribute for the underlying error; for nil it returns an empty
// attribute, which is omitted.
func Cause(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String(KeyCause, err.Error())
}

// Problem returns the attributes for a problem, without the detail for the caller.
func Problem(p *oriolebend.Problem) slog.Attr {
	return slog.Group("", RequestID(p.RequestID), Reason(p.Reason), Ran(p.Ran), Cause(p.Cause))
}
