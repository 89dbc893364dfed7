package oriolebend

import (
	"fmt"
	"time"
)

// Problem is the typed error of the router. It describes to a caller or operator
// why a request was refused or failed.
type Problem struct {
	// Reason is the machine-readable cause.
	Reason Reason
	// Ran reports whether the request was executed.
	Ran Ran
	// Detail is a human-readable sentence.
	Detail string
	// RequestID is the id of the request, empty if the request failed before it
	// got one.
	RequestID string
	// RetryAfter is how long to wait before a retry; zero means that a retry does
	// not help.
	RetryAfter time.Duration
	// Cause is the underlying error, if any; it is logged and never sent.
	Cause error
}

// Error implements error.
func (p *Problem) Error() string {
	text := fmt.Sprintf("%s (ran: %s)", p.Reason, p.Ran)
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if p.Cause != nil {
		text += ": " + p.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (p *Problem) Unwrap() error {
	return p.Cause
}
