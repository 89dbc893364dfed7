package logging

import (
	"log/slog"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Names of the attributes that lines of every role share.
const (
	KeyRequestID = "requestID"
	KeyAttempt   = "attempt"
	KeyReason    = "reason"
	KeyRan       = "ran"
	KeyServer    = "server"
	KeyCause     = "cause"
)

// RequestID names the request that a line is about.
func RequestID(id string) slog.Attr { return slog.String(KeyRequestID, id) }

// Attempt names the attempt that a line is about.
func Attempt(a message.Attempt) slog.Attr {
	return slog.Group("", RequestID(a.RequestID), slog.Uint64(KeyAttempt, uint64(a.Number)))
}

// Reason says why.
func Reason(r oriolebend.Reason) slog.Attr { return slog.String(KeyReason, string(r)) }

// Ran says whether the request ran.
func Ran(r oriolebend.Ran) slog.Attr { return slog.String(KeyRan, string(r)) }

// Server names a backend server.
func Server(name string) slog.Attr { return slog.String(KeyServer, name) }

// Cause is the error beneath; nil leaves the attribute out.
func Cause(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.String(KeyCause, err.Error())
}

// Problem says what a problem says, without its detail for the caller.
func Problem(p *oriolebend.Problem) slog.Attr {
	return slog.Group("", RequestID(p.RequestID), Reason(p.Reason), Ran(p.Ran), Cause(p.Cause))
}
