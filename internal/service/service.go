// Package service speaks to plain services: HTTP servers that stand beside
// the model engines and some of whose calls may not be repeated.
package service

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Service is one plain service. Errors are *Error values.
type Service interface {
	// Call runs one call. If the error's Ran is "no", the call certainly did
	// not reach the service; else it may have run. An answer of the service
	// is no error, whatever its status.
	Call(ctx context.Context, c message.Call) (message.CallAnswer, error)
	// Status asks for the outcome of an earlier call by its identity. It never
	// runs the call.
	Status(ctx context.Context, q message.StatusQuery) (message.CallAnswer, error)
}

// Error is a call of a plain service that brought no whole answer.
type Error struct {
	Reason oriolebend.Reason
	// Ran is "no" only if nothing of the call reached the service.
	Ran    oriolebend.Ran
	Detail string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	text := "service: " + string(e.Reason) + " (ran: " + string(e.Ran) + ")"
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.Cause }
