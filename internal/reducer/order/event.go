// Package order is the reducer that brings the engine of a backend server to its
// declared model, version, adapters and pool role. It runs next to the gate in
// the sidecar, and nothing else issues orders to the engine.
package order

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event is an input of the reducer. The field At of an event is its time by the
// sidecar's clock.
type Event interface{ orderEvent() }

// Started is the first event; the process of the sidecar has started.
type Started struct{ At time.Time }

// Declared reports the declared state that is in force in the sidecar.
type Declared struct {
	At       time.Time
	Revision uint64
	Target   declared.Target
	// Self is this server's member entry in the declared state; nil if the server
	// is not a member.
	Self *oriolebend.Server
}

// EngineKnown is the engine's answer to the QueryEngine with that number.
type EngineKnown struct {
	At     time.Time
	Number uint64
	Info   engine.Info
}

// EngineLost reports that the engine did not answer the QueryEngine with that
// number.
type EngineLost struct {
	At     time.Time
	Number uint64
}

// Clean reports that the leader answered an announcement of this incarnation of
// the sidecar with Clean: no order of an earlier incarnation can be in flight.
type Clean struct{ At time.Time }

// WorkEnded reports that the gate refuses new work and has no work in progress.
type WorkEnded struct{ At time.Time }

// Finished reports the outcome of the order in flight.
type Finished struct {
	At time.Time
	// Reason is empty if the engine executed the order.
	Reason oriolebend.Reason
	// Unsure is true if the engine did not answer, so that the order may
	// still act.
	Unsure bool
	Detail string
}

// PermitAnswered is the leader's answer to the last RequestPermit.
type PermitAnswered struct {
	At     time.Time
	Answer message.Permitted
}

// PermitLost reports that the last RequestPermit got no answer.
type PermitLost struct{ At time.Time }

// Stopping reports that the sidecar is stopping. No further order is issued.
type Stopping struct{ At time.Time }

// Ticked advances the time. It must arrive at least every TickEvery.
type Ticked struct{ At time.Time }

func (Started) orderEvent()        {}
func (Declared) orderEvent()       {}
func (EngineKnown) orderEvent()    {}
func (EngineLost) orderEvent()     {}
func (Clean) orderEvent()          {}
func (WorkEnded) orderEvent()      {}
func (Finished) orderEvent()       {}
func (PermitAnswered) orderEvent() {}
func (PermitLost) orderEvent()     {}
func (Stopping) orderEvent()       {}
func (Ticked) orderEvent()         {}

// Effect is an action that the sidecar performs. Effects are performed in order.
type Effect interface{ orderEffect() }

// SetState sets the state of the gate, which decides whether it accepts new
// work, and reports the state to the control VMs.
type SetState struct{ State oriolebend.ServerState }

// QueryEngine queries the engine's Info. EngineKnown or EngineLost with the same
// number follows.
type QueryEngine struct{ Number uint64 }

// Issue sends an order to the engine once. The adapter must not send it again
// by itself. Exactly one Finished follows.
type Issue struct{ Order engine.Order }

// RequestPermit sends a permit request to the leader. PermitAnswered or PermitLost
// follows.
type RequestPermit struct{ Permit message.Permit }

// Report reports the progress of the server to the control VMs with its next
// announcement.
type Report struct {
	Progress message.Progress
	Detail   string
}

// Left reports that a server that is declared stopping has no work in progress.
// The sidecar then stops.
type Left struct{}

// Count increments the counter of orders that failed or were not issued.
type Count struct {
	What   CountName
	Reason oriolebend.Reason
}

// CountName is the name of a counter.
type CountName string

// Counters of orders.
const (
	// CountRefused counts orders that the engine refused or failed to execute.
	CountRefused CountName = "refused"
	// CountUnsure counts orders that the engine did not answer.
	CountUnsure CountName = "unsure"
	// CountGivenUp counts permits that ended before any order was issued, so that
	// the server went back to work.
	CountGivenUp CountName = "givenUp"
)

func (SetState) orderEffect()      {}
func (QueryEngine) orderEffect()   {}
func (Issue) orderEffect()         {}
func (RequestPermit) orderEffect() {}
func (Report) orderEffect()        {}
func (Left) orderEffect()          {}
func (Count) orderEffect()         {}
