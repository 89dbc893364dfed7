// Package gate is the reducer of the sidecar. It alone decides which work its
// backend server is given. It is pure: it uses no clock, socket or randomness.
//
// In its comments, pings are urgent requests, and briefs are long patient ones.
package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SessionID identifies a session that an entry opened. It is never reused.
type SessionID string

// Event is an input of the gate. Its field At is the time at which it occurred,
// by the clock of the sidecar's own process.
type Event interface{ occurred() time.Time }

// Received is a message that arrived over a session.
type Received struct {
	At      time.Time
	Session SessionID
	Message message.Message
}

// Renewed reports activity of the peer of a session. It renews the lease of the
// session's reservation.
type Renewed struct {
	At      time.Time
	Session SessionID
}

// Closed reports that a session ended: either side closed it, or its connection
// ended.
type Closed struct {
	At      time.Time
	Session SessionID
}

// EnginePrefilled reports that a prefill completed.
type EnginePrefilled struct {
	At      time.Time
	Attempt message.Attempt
	Result  engine.PrefillResult
}

// EnginePart is a part of a decode's output. The part with Finish set is the
// last one.
type EnginePart struct {
	At   time.Time
	Part message.Part
}

// WorkFailed reports that a prefill, decode or call ended without a result.
type WorkFailed struct {
	At      time.Time
	Attempt message.Attempt
	Phase   message.Phase
	Reason  oriolebend.Reason
	// Ran is "no" only if the work certainly did not reach the server.
	Ran    oriolebend.Ran
	Detail string
}

// ServiceAnswered is the complete answer of a plain service.
type ServiceAnswered struct {
	At     time.Time
	Answer message.CallAnswer
}

// Cancelled reports that the engine confirmed the end of an attempt's work, or
// that the cancellation failed.
type Cancelled struct {
	At      time.Time
	Attempt message.Attempt
	// Failed is true if the engine did not confirm. The gate then repeats the
	// cancellation.
	Failed bool
}

// LoadReported is the engine's load report, which lags behind.
type LoadReported struct {
	At     time.Time
	Report engine.LoadReport
}

// WorkListed is the engine's list of the attempts that hold memory.
type WorkListed struct {
	At   time.Time
	Work []engine.Work
	// Failed is true if the list could not be read. The gate then requests it
	// again.
	Failed bool
}

// CacheChanged carries cache events in the order in which they were read.
type CacheChanged struct {
	At     time.Time
	Events []engine.CacheEvent
}

// CacheListed is the complete cache index, read to repair a gap in the events.
type CacheListed struct {
	At    time.Time
	Index engine.CacheIndex
}

// EngineKnown reports the engine's role, models and capacity. It comes at
// start, after the engine's answer to an order, and when the engine answers
// again after a restart.
type EngineKnown struct {
	At   time.Time
	Info engine.Info
}

// EngineLost reports that the engine does not answer.
type EngineLost struct{ At time.Time }

// Declared reports the state that the operators declared for this server.
type Declared struct {
	At    time.Time
	State oriolebend.ServerState
}

// Stopping reports that the sidecar was asked to stop gracefully.
type Stopping struct{ At time.Time }

// Ticked reports that time passed. It comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (e Received) occurred() time.Time        { return e.At }
func (e Renewed) occurred() time.Time         { return e.At }
func (e Closed) occurred() time.Time          { return e.At }
func (e EnginePrefilled) occurred() time.Time { return e.At }
func (e EnginePart) occurred() time.Time      { return e.At }
func (e WorkFailed) occurred() time.Time      { return e.At }
func (e ServiceAnswered) occurred() time.Time { return e.At }
func (e Cancelled) occurred() time.Time       { return e.At }
func (e LoadReported) occurred() time.Time    { return e.At }
func (e WorkListed) occurred() time.Time      { return e.At }
func (e CacheChanged) occurred() time.Time    { return e.At }
func (e CacheListed) occurred() time.Time     { return e.At }
func (e EngineKnown) occurred() time.Time     { return e.At }
func (e EngineLost) occurred() time.Time      { return e.At }
func (e Declared) occurred() time.Time        { return e.At }
func (e Stopping) occurred() time.Time        { return e.At }
func (e Ticked) occurred() time.Time          { return e.At }
