package oriolebend

import (
	"fmt"
	"time"
)

// Problem is the typed error of the router: what a caller or operator is told
// when a request is refused or fails.
type Problem struct {
	// Reason is the stable word for what happened.
	Reason Reason
	// Ran says whether the request was executed.
	Ran Ran
	// Detail is one sentence for a person.
	Detail string
	// RequestID names the request, if it got that far.
	RequestID string
	// RetryAfter is when to come back; zero means that a retry does not help.
	RetryAfter time.Duration
	// Cause is the error beneath, if any; it is logged and not sent.
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

// Unwrap returns the error beneath.
func (p *Problem) Unwrap() error {
	return p.Cause
}
