package pools

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event changes a State.
type Event interface{ isPoolsEvent() }

// Leads tells whether this control VM leads, and in which term.
type Leads struct {
	At   time.Time
	Term uint64
	Lead bool
}

// Engines replaces what is known of the services and their engines.
type Engines struct {
	Services []oriolebend.RouteService
	Servers  []message.BackendServer
}

// Heard is what one forwarder did within about a second.
type Heard struct{ Loads []message.ServiceLoad }

// Ticked passes a second.
type Ticked struct{ At time.Time }

// Answered tells what became of an order.
type Answered struct {
	At       time.Time
	Order    Order
	Accepted bool
	// Unsure is set if the order may still be carried out.
	Unsure bool
	// Rest is for how long the engine wants to be left alone.
	Rest time.Duration
}

func (Leads) isPoolsEvent() {}

func (Engines) isPoolsEvent() {}

func (Heard) isPoolsEvent() {}

func (Ticked) isPoolsEvent() {}

func (Answered) isPoolsEvent() {}

// Order asks an engine to change its role. It is the only effect.
type Order struct {
	Service string
	Engine  message.BackendServer
	Role    oriolebend.PoolRole
	// Fencing grows with each order, over all leaders.
	Fencing uint64
	// Away is how long the engine takes no work.
	Away time.Duration
	// Grounds is what decided it.
	Grounds Grounds
}

// Grounds is what a decision on a service's pools was made from.
type Grounds struct {
	// PrefillEngines and DecodeEngines are the pools as they were known.
	PrefillEngines, DecodeEngines int
	// PrefillWork and DecodeWork are measures of the work of late; only their
	// ratio counts.
	PrefillWork, DecodeWork float64
	// Wanted is how many prefill engines that asks for.
	Wanted float64
}
