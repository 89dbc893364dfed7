package role

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/pools"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/replica"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// evaluateInterval is how often the pools are evaluated.
	evaluateInterval = time.Second
	// roleOrderTimeout bounds the announcement and sending of one order.
	roleOrderTimeout = 2 * time.Second
)

// EngineOrders sends orders to model engines.
type EngineOrders interface {
	// ChangeRole orders an engine to change its role. accepted is false if the
	// engine refused. An error other than a NotOrderedError means that the engine
	// may still execute the order.
	ChangeRole(ctx context.Context, o pools.Order, holder string) (accepted bool, err error)
}

// NotOrderedError reports an order that was not sent.
type NotOrderedError struct {
	Cause error
	// Rest is the backoff period that the engine reported; zero means that it reported
	// none.
	Rest time.Duration
}

// Error implements error.
func (e *NotOrderedError) Error() string { return fmt.Sprintf("order not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotOrderedError) Unwrap() error { return e.Cause }

// PoolController divides model engines between prefill and decode while its control
// VM leads. It follows the state of the engines that all control VMs know.
type PoolController struct {
	Self   string
	Orders EngineOrders
	// Announce notifies forwarders that an engine is about to change its role and
	// accepts no work for a time.
	Announce func(ctx context.Context, engine message.BackendServer, away time.Duration) error
	// Status reports whether this control VM led at its last tick, Leads whether
	// its lease runs at this moment.
	Status func() replica.Status
	Leads  func() bool
	// Limited reports whether an engine has reported a limit. While it is limited it does
	// not count as an engine, and the other engines must suffice.
	Limited func(message.BackendServer) bool
	Logger  *slog.Logger

	mutex   sync.Mutex
	state   *reducer.State
	routing oriolebend.Routing
	servers registry.Servers
}

var _ routewatch.Sink = (*PoolController)(nil)

// Prepare initializes the PoolController; it must be called before any other method.
func (c *PoolController) Prepare() {
	c.state = &reducer.State{Pools: pools.New()}
	c.servers = registry.Servers{}
}

// Run evaluates the pools until ctx ends.
func (c *PoolController) Run(ctx context.Context) {
	for wait(ctx, evaluateInterval); ctx.Err() == nil; wait(ctx, evaluateInterval) {
		status := c.Status()
		c.updateEngines()
		c.reduce(pools.LeadershipReported{At: time.Now(), Term: status.Term, Lead: status.Role == agreement.Leader})
		var issuing sync.WaitGroup
		for _, order := range c.reduce(pools.Ticked{At: time.Now()}) {
			issuing.Go(func() { c.issue(ctx, order) })
		}
		issuing.Wait()
	}
}

func (c *PoolController) reduce(e pools.Event) []pools.Order {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var orders []pools.Order
	for _, effect := range reducer.Reduce(c.state, e) {
		if order, ok := effect.(pools.Order); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// issue sends an order, logs it and reports its outcome to the reducer.
func (c *PoolController) issue(ctx context.Context, o pools.Order) {
	ctx, cancel := context.WithTimeout(ctx, roleOrderTimeout)
	defer cancel()
	accepted, err := c.send(ctx, o)
	c.Logger.Info("engine ordered to change its role", "instance", o.Engine.Instance, "address", o.Engine.Address,
		"role", o.Role, "fencing", o.Fencing, "accepted", accepted, "error", err,
		"prefillEngines", o.Grounds.PrefillEngines, "decodeEngines", o.Grounds.DecodeEngines,
		"prefillWork", o.Grounds.PrefillWork, "decodeWork", o.Grounds.DecodeWork, "wantedPrefill", o.Grounds.Wanted)
	answered := pools.OrderAnswered{At: time.Now(), Order: o, Accepted: accepted}
	notSent, known := errors.AsType[*NotOrderedError](err)
	if known {
		answered.Backoff = notSent.Rest
	}
	answered.OutcomeUnknown = err != nil && !known
	c.reduce(answered)
}

// send announces an order and sends it, unless another control VM may lead by
// then. Otherwise a process that was paused in between would send its order after
// its successor has begun to send orders.
func (c *PoolController) send(ctx context.Context, o pools.Order) (bool, error) {
	if err := c.Announce(ctx, o.Engine, o.UnavailableFor); err != nil {
		return false, &NotOrderedError{Cause: err}
	}
	if !c.Leads() {
		return false, &NotOrderedError{Cause: &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}}
	}
	return c.Orders.ChangeRole(ctx, o, c.Self)
}

// ApplyLoads applies the loads that a forwarder reported.
func (c *PoolController) ApplyLoads(loads []message.ServiceLoad) {
	c.reduce(pools.LoadsReported{Loads: loads})
}

// SetRouting implements routewatch.Sink.
func (c *PoolController) SetRouting(r oriolebend.Routing) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.Version > c.routing.Version {
		c.routing = r
	}
}

// ChangeServers implements routewatch.Sink.
func (c *PoolController) ChangeServers(changes registry.Changes, _ int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.servers.Apply(changes)
}

// updateEngines passes the state of all engines to the reducer. It is called before
// each evaluation and not for each change, as hundreds of engines may start at once.
func (c *PoolController) updateEngines() {
	c.mutex.Lock()
	known := pools.Engines{Services: c.routing.Services, Servers: c.servers.List()}
	c.mutex.Unlock()
	known.Servers = slices.DeleteFunc(known.Servers, c.Limited)
	c.reduce(known)
}

// Version implements routewatch.Sink.
func (c *PoolController) Version() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.routing.Version
}

// Loads implements routewatch.Sink; a control VM sends no requests to engines.
func (c *PoolController) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (c *PoolController) Expire() {}
