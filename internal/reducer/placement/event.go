package placement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// Event changes a State.
type Event interface{ isPlacementEvent() }

// Fleet replaces what is known of engines and services.
type Fleet struct {
	Servers  dispatch.Fleet
	Services dispatch.Services
}

// FleetChanged tells what has changed of the engines.
type FleetChanged dispatch.FleetChanged

// Asked asks for a place.
type Asked struct {
	At   time.Time
	Key  Key
	Need dispatch.Need
	Rank int
	// Call is the same for all tries of a caller at one request; zero means that
	// it is not known.
	Call uint64
	// InTime is until when the request can meet its target, Until how long it
	// may wait at all.
	InTime, Until time.Time
}

// Withdrawn takes a question back.
type Withdrawn struct {
	At  time.Time
	Key Key
}

// Resumed tells of a place that was given by another leader.
type Resumed struct {
	// At is since when the place is held.
	At              time.Time
	Key             Key
	Need            dispatch.Need
	Server, Prefill message.ServerStart
}

// PromptRead tells that the prefill engine of a place is done.
type PromptRead struct {
	At             time.Time
	Key            Key
	Took           time.Duration
	Failed, Unused bool
}

// Ended gives a place back.
type Ended struct {
	At      time.Time
	Key     Key
	Outcome dispatch.Outcome
	Took    time.Duration
}

// SessionSilent tells that a session broke off. Its questions are forgotten; its
// places are kept until they are likely to have ended, or until SessionLost.
type SessionSilent struct {
	At      time.Time
	Session uint64
}

// SessionLost gives back all that came over a session.
type SessionLost struct {
	At      time.Time
	Session uint64
}

// Ticked passes time.
type Ticked struct{ At time.Time }

func (Fleet) isPlacementEvent() {}

func (FleetChanged) isPlacementEvent() {}

func (Asked) isPlacementEvent() {}

func (Withdrawn) isPlacementEvent() {}

func (Resumed) isPlacementEvent() {}

func (PromptRead) isPlacementEvent() {}

func (Ended) isPlacementEvent() {}

func (SessionSilent) isPlacementEvent() {}

func (SessionLost) isPlacementEvent() {}

func (Ticked) isPlacementEvent() {}

// Answer tells a forwarder its place, or why there is none. It is the only
// effect.
type Answer struct {
	Key     Key
	Grant   *dispatch.Grant
	Refused *dispatch.Refused
}
