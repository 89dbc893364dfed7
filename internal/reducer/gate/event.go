// Package gate is the reducer of the sidecar: the one authority over what its
// backend server may be given. It is pure: no clock, socket or randomness.
package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SessionID names one session that an entry opened; it is never used again.
type SessionID string

// Event is something that happened to the gate. At is when, by the clock of
// the sidecar's own process.
type Event interface{ occurred() time.Time }

// Received is a message that came over a session.
type Received struct {
	At      time.Time
	Session SessionID
	Message message.Message
}

// Renewed tells that the peer of a session was heard of; it renews the lease
// of the session's reservation.
type Renewed struct {
	At      time.Time
	Session SessionID
}

// Closed tells that a session ended, by either side or with its connection.
type Closed struct {
	At      time.Time
	Session SessionID
}

// EnginePrefilled tells that a prefill ended well.
type EnginePrefilled struct {
	At      time.Time
	Attempt message.Attempt
	Result  engine.PrefillResult
}

// EnginePart is output of a decode; the one with Finish set is the last.
type EnginePart struct {
	At   time.Time
	Part message.Part
}

// WorkFailed tells that a prefill, decode or call ended without its result.
type WorkFailed struct {
	At      time.Time
	Attempt message.Attempt
	Phase   message.Phase
	Reason  oriolebend.Reason
	// Ran is "no" only if the work certainly did not reach the server.
	Ran    oriolebend.Ran
	Detail string
}

// ServiceAnswered is the whole answer of a plain service.
type ServiceAnswered struct {
	At     time.Time
	Answer message.CallAnswer
}

// Cancelled tells that the engine confirmed the end of an attempt's work.
type Cancelled struct {
	At      time.Time
	Attempt message.Attempt
	// Failed is true if the engine did not confirm; the gate asks again.
	Failed bool
}

// LoadReported is the engine's lagging load report.
type LoadReported struct {
	At     time.Time
	Report engine.LoadReport
}

// WorkListed is the engine's list of attempts that hold memory.
type WorkListed struct {
	At   time.Time
	Work []engine.Work
	// Failed is true if the engine did not tell; the gate asks again.
	Failed bool
}

// CacheChanged carries cache events in the order in which they were read.
type CacheChanged struct {
	At     time.Time
	Events []engine.CacheEvent
}

// CacheListed is the whole cache index, read to repair a gap.
type CacheListed struct {
	At    time.Time
	Index engine.CacheIndex
}

// EngineKnown tells what the engine is and holds; it comes at start and
// whenever the engine answers after an order or its own restart.
type EngineKnown struct {
	At   time.Time
	Info engine.Info
}

// EngineLost tells that the engine does not answer.
type EngineLost struct{ At time.Time }

// Declared tells which state the operators declared for this server.
type Declared struct {
	At    time.Time
	State oriolebend.ServerState
}

// Stopping tells that the sidecar was asked to stop gracefully.
type Stopping struct{ At time.Time }

// Ticked passes time; it comes at least every TickEvery.
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
