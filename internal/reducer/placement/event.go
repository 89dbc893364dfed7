package placement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// Event changes a State.
type Event interface{ isPlacementEvent() }

// Configured sets which decisions are in use; at first all are.
type Configured struct {
	// DisableRanks lets ranks only order the waiting requests, and reserves nothing.
	DisableRanks bool
}

// Fleet replaces the lists of engines and services.
type Fleet struct {
	Servers  dispatch.Fleet
	Services dispatch.Services
}

// FleetChanged reports changes to the list of engines.
type FleetChanged dispatch.FleetChanged

// Requested is a placement request.
type Requested struct {
	At   time.Time
	Key  Key
	Need dispatch.Need
	Rank int
	// Call is the same for all attempts of a caller at one request; zero means that
	// it is unknown.
	Call uint64
	// InTime is until when the request can meet its target, Until how long it
	// may wait at all.
	InTime, Until time.Time
}

// Withdrawn withdraws a placement request.
type Withdrawn struct {
	At  time.Time
	Key Key
}

// Resumed reports a placement that an earlier leader granted.
type Resumed struct {
	// At is since when the placement is held.
	At              time.Time
	Key             Key
	Need            dispatch.Need
	Server, Prefill message.ServerStart
}

// PrefillEnded reports that the prefill engine of a placement is done.
type PrefillEnded struct {
	At             time.Time
	Key            Key
	Took           time.Duration
	Failed, Unused bool
}

// Ended reports how the send of a placement ended, and ends the placement. With
// dispatch.OutcomeCut the placement is retained until its work is likely to have ended.
type Ended struct {
	At      time.Time
	Key     Key
	Outcome dispatch.Outcome
	Took    time.Duration
	// Writing is the time from the first to the last event of a stream, Events their number.
	Writing time.Duration
	Events  int
}

// SessionDisconnected reports that a session broke off. Its placement requests are dropped; its
// placements are retained until their work is likely to have ended, or until SessionLost.
type SessionDisconnected struct {
	At      time.Time
	Session uint64
}

// SessionLost ends all placements and placement requests of a session.
type SessionLost struct {
	At      time.Time
	Session uint64
}

// SpeedsReported reports how fast engines wrote for a forwarder.
type SpeedsReported dispatch.SpeedsReported

// Ticked reports the current time.
type Ticked struct{ At time.Time }

func (Configured) isPlacementEvent() {}

func (Fleet) isPlacementEvent() {}

func (FleetChanged) isPlacementEvent() {}

func (Requested) isPlacementEvent() {}

func (Withdrawn) isPlacementEvent() {}

func (Resumed) isPlacementEvent() {}

func (PrefillEnded) isPlacementEvent() {}

func (Ended) isPlacementEvent() {}

func (SessionDisconnected) isPlacementEvent() {}

func (SessionLost) isPlacementEvent() {}

func (SpeedsReported) isPlacementEvent() {}

func (Ticked) isPlacementEvent() {}

// Answer sends a forwarder its placement, or the reason for a refusal. It is the only
// effect.
type Answer struct {
	Key     Key
	Grant   *dispatch.Grant
	Refused *dispatch.Refused
}
