// Package service speaks to plain services: HTTP servers that stand beside
// the model engines and some of whose calls may not be repeated.
package service

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Service is one plain service.
type Service interface {
	// Call runs one call. If the error is an *engine.Error-like typed error
	// whose Ran is "no", the call certainly did not reach the service.
	Call(ctx context.Context, c message.Call) (message.CallAnswer, error)
	// Status asks for the outcome of an earlier call by its identity.
	Status(ctx context.Context, q message.StatusQuery) (message.CallAnswer, error)
}
