package pools

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event changes a State.
type Event interface{ isPoolsEvent() }

// LeadershipReported reports whether this control VM leads, and in which term.
type LeadershipReported struct {
	At   time.Time
	Term uint64
	Lead bool
}

// Engines replaces the lists of services and their engines.
type Engines struct {
	Services []oriolebend.RouteService
	Servers  []message.BackendServer
}

// LoadsReported reports the work of one forwarder within about a second.
type LoadsReported struct{ Loads []message.ServiceLoad }

// Ticked reports that a second has passed.
type Ticked struct{ At time.Time }

// OrderAnswered reports the result of an order.
type OrderAnswered struct {
	At       time.Time
	Order    Order
	Accepted bool
	// OutcomeUnknown is set if the order may still be carried out.
	OutcomeUnknown bool
	// Backoff is the backoff period that the engine has requested.
	Backoff time.Duration
}

func (LeadershipReported) isPoolsEvent() {}

func (Engines) isPoolsEvent() {}

func (LoadsReported) isPoolsEvent() {}

func (Ticked) isPoolsEvent() {}

func (OrderAnswered) isPoolsEvent() {}

// Order is an order to an engine to change its role. It is the only effect.
type Order struct {
	Service string
	Engine  message.BackendServer
	Role    oriolebend.PoolRole
	// Fencing increases with each order, across all leaders.
	Fencing uint64
	// UnavailableFor is how long the engine accepts no work during the change.
	UnavailableFor time.Duration
	// Grounds is the basis of the decision.
	Grounds Grounds
}

// Grounds is the basis of a decision about the pools of a service.
type Grounds struct {
	// PrefillEngines and DecodeEngines are the sizes of the pools at the decision.
	PrefillEngines, DecodeEngines int
	// PrefillWork and DecodeWork are the recent work of the pools; only their
	// ratio counts.
	PrefillWork, DecodeWork float64
	// Wanted is the number of prefill engines that the work requires.
	Wanted float64
}
