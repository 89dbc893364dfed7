// Package service is the client with which a sidecar calls its plain service: an HTTP
// server that is not a model engine. Some of the calls may not be repeated.
package service

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Service is one plain service. Errors are *Error values.
type Service interface {
	// Call runs one call. If Ran of the error is "no", the call certainly did not
	// reach the service; otherwise it may have run. An answer of the service is not
	// an error, whatever its status.
	Call(ctx context.Context, c message.Call) (message.CallAnswer, error)
	// Status queries the outcome of an earlier call by its identity. It never runs
	// the call.
	Status(ctx context.Context, q message.StatusQuery) (message.CallAnswer, error)
}

// Error is the error of a call that gave no complete answer.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
