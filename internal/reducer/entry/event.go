// Package entry is the reducer of the entry: it carries each request from its
// arrival through claim, reservation, prefill, transfer and decode to one
// complete answer. It is pure: it uses no clock, no socket and no unseeded
// randomness.
package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event is an input of Reduce. The field At of an event is its time by the
// clock of the entry's process.
type Event interface{ when() time.Time }

// Request is one validated request of a caller.
type Request struct {
	ID    string
	Scope message.Scope
	// Generated is true if the entry made Scope.Key because the caller gave
	// none: no earlier request can have used it.
	Generated    bool
	Fingerprint  string
	Urgency      oriolebend.Urgency
	Model        string
	Version      string
	Adapter      string
	Prompt       string
	PromptTokens int
	// Prefix holds one hash for each leading block of the prompt.
	Prefix    []uint64
	MaxTokens int
	// Once is true if the request may run at most once.
	Once bool
	// Call is set for a plain service, and Service names it. The attempt in
	// Call is filled in by the reducer.
	Service string
	Call    *message.Call
	// StatusPath is the path of the service's status call; empty if it has
	// none.
	StatusPath string
	// FirstWithin and BetweenWithin are the two latency targets.
	FirstWithin   time.Duration
	BetweenWithin time.Duration
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// KeepRunning is true if the request continues after its caller left.
	KeepRunning bool
}

// SessionKey identifies one session of an entry with a gate.
type SessionKey struct {
	Attempt message.Attempt
	Phase   message.Phase
	Server  string
}

// Arrived reports a new request.
type Arrived struct {
	At      time.Time
	Request Request
}

// CallerLeft reports that the last caller that followed a request left before
// the end of its answer.
type CallerLeft struct {
	At        time.Time
	RequestID string
}

// Claimed is the answer of the control VMs to a Claim.
type Claimed struct {
	At        time.Time
	RequestID string
	Answer    message.ClaimAnswer
	// Problem is set instead of Answer if no quorum answered.
	Problem *oriolebend.Problem
}

// Settled is the answer of the control VMs to a Settle.
type Settled struct {
	At time.Time
	// RequestID and Attempt are copied from the Settle that is answered.
	RequestID string
	Attempt   uint32
	State     message.RecordState
	Accepted  bool
	// Problem is set instead of State and Accepted if no quorum answered.
	Problem *oriolebend.Problem
}

// Received is a message that a gate sent over a session.
type Received struct {
	At      time.Time
	Session SessionKey
	Message message.Message
}

// SessionLost reports that a session could not be opened, or that the gate or a
// lost connection ended it.
type SessionLost struct {
	At      time.Time
	Session SessionKey
	// Opened is false if nothing of the session reached the gate.
	Opened bool
}

// ServersChanged reports servers that were added, changed or removed.
type ServersChanged struct {
	At      time.Time
	Servers []oriolebend.Server
	// Complete is true if Servers is the complete membership.
	Complete bool
}

// Stopping reports that the entry was asked to stop gracefully.
type Stopping struct{ At time.Time }

// Ticked advances the time; it comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (e Arrived) when() time.Time        { return e.At }
func (e CallerLeft) when() time.Time     { return e.At }
func (e Claimed) when() time.Time        { return e.At }
func (e Settled) when() time.Time        { return e.At }
func (e Received) when() time.Time       { return e.At }
func (e SessionLost) when() time.Time    { return e.At }
func (e ServersChanged) when() time.Time { return e.At }
func (e Stopping) when() time.Time       { return e.At }
func (e Ticked) when() time.Time         { return e.At }
