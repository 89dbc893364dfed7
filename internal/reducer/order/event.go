// Package order is the reducer that makes a backend server's engine become
// what is declared for it: model, version, adapters and pool role. It runs
// beside the gate in the sidecar and is the only one that orders the engine.
package order

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event is something that happened. At is when, by the sidecar's clock.
type Event interface{ orderEvent() }

// Started begins; the sidecar's process just started.
type Started struct{ At time.Time }

// Declared tells of the declared state that is in force in the sidecar.
type Declared struct {
	At       time.Time
	Revision uint64
	Target   declared.Target
	// Self is this server as the declared state holds it; nil if it is no
	// member.
	Self *oriolebend.Server
}

// EngineKnown answers the AskEngine of that number: what the engine is and
// holds.
type EngineKnown struct {
	At     time.Time
	Number uint64
	Info   engine.Info
}

// EngineLost tells that the engine did not answer the AskEngine of that
// number.
type EngineLost struct {
	At     time.Time
	Number uint64
}

// Clean tells that the leader answered an announcement of this start of the
// sidecar with Clean: no order of an earlier start can be on its way.
type Clean struct{ At time.Time }

// WorkEnded tells that the gate refuses new work and has none left.
type WorkEnded struct{ At time.Time }

// Ended tells how the order in flight did.
type Ended struct {
	At time.Time
	// Reason is empty if the engine carried the order out.
	Reason oriolebend.Reason
	// Unsure is true if the engine did not answer, so that the order may
	// still act.
	Unsure bool
	Detail string
}

// PermitAnswered is the leader's answer to the last AskPermit.
type PermitAnswered struct {
	At     time.Time
	Answer message.Permitted
}

// PermitLost tells that the last AskPermit got no answer.
type PermitLost struct{ At time.Time }

// Stopping tells that the sidecar was asked to stop: no new order is begun.
type Stopping struct{ At time.Time }

// Ticked passes time; it comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (Started) orderEvent()        {}
func (Declared) orderEvent()       {}
func (EngineKnown) orderEvent()    {}
func (EngineLost) orderEvent()     {}
func (Clean) orderEvent()          {}
func (WorkEnded) orderEvent()      {}
func (Ended) orderEvent()          {}
func (PermitAnswered) orderEvent() {}
func (PermitLost) orderEvent()     {}
func (Stopping) orderEvent()       {}
func (Ticked) orderEvent()         {}

// Effect is something that the sidecar is to do, in order.
type Effect interface{ orderEffect() }

// SetState tells the gate whether to take new work, and has control told.
type SetState struct{ State oriolebend.ServerState }

// AskEngine reads the engine's Info; EngineKnown or EngineLost of the same
// number follows.
type AskEngine struct{ Number uint64 }

// Issue gives the engine an order, once: the adapter must not send it again
// by itself. Ended follows, once.
type Issue struct{ Order engine.Order }

// AskPermit sends a message to the leader; PermitAnswered or PermitLost
// follows.
type AskPermit struct{ Permit message.Permit }

// Report has control told how far the server is, with its next announcement.
type Report struct {
	Progress message.Progress
	Detail   string
}

// Left tells that a server that is declared stopping has no work left: the
// sidecar is to end.
type Left struct{}

// Count adds one to the counter of orders that did not go well.
type Count struct {
	What   CountName
	Reason oriolebend.Reason
}

// CountName names what is counted.
type CountName string

// What is counted.
const (
	// CountRefused: the engine refused an order or failed at it.
	CountRefused CountName = "refused"
	// CountUnsure: the engine did not answer an order.
	CountUnsure CountName = "unsure"
	// CountGivenUp: the server went back to work before any order, since the
	// permit ended meanwhile.
	CountGivenUp CountName = "givenUp"
)

func (SetState) orderEffect()  {}
func (AskEngine) orderEffect() {}
func (Issue) orderEffect()     {}
func (AskPermit) orderEffect() {}
func (Report) orderEffect()    {}
func (Left) orderEffect()      {}
func (Count) orderEffect()     {}
