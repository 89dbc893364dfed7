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
	// judgeEvery is how often the pools are judged.
	evaluateInterval = time.Second
	// roleOrderWithin bounds one order.
	roleOrderTimeout = 2 * time.Second
)

// EngineOrders gives orders to model engines.
type EngineOrders interface {
	// ChangeRole asks an engine to change its role. accepted is false if it
	// refused; an error other than a NotOrderedError means that the order may
	// still be carried out.
	ChangeRole(ctx context.Context, o pools.Order, holder string) (accepted bool, err error)
}

// NotOrderedError means that an order was not sent.
type NotOrderedError struct {
	Cause error
	// Rest is for how long the engine wants to be left alone; zero means that it does not say.
	Rest time.Duration
}

// Error implements error.
func (e *NotOrderedError) Error() string { return fmt.Sprintf("order not sent: %v", e.Cause) }

// Unwrap returns the error beneath.
func (e *NotOrderedError) Unwrap() error { return e.Cause }

// PoolKeeper divides model engines between prefill and decode while its control
// VM leads. It follows what all control VMs know of the engines.
type PoolController struct {
	Self   string
	Orders EngineOrders
	// Announce tells forwarders that an engine is about to change its role.
	Announce func(ctx context.Context, engine message.BackendServer, away time.Duration) error
	// Status tells whether this control VM leads as of its last tick, Leads
	// whether its lease runs at this moment.
	Status func() replica.Status
	Leads  func() bool
	// Limited reports whether an engine has named a limit: for as long it does the work of
	// no engine, and the others have to do.
	Limited func(message.BackendServer) bool
	Logger  *slog.Logger

	mutex   sync.Mutex
	state   *reducer.State
	routing oriolebend.Routing
	servers registry.Servers
}

var _ routewatch.Sink = (*PoolController)(nil)

// Prepare makes the keeper ready; it must be called before all else.
func (k *PoolController) Prepare() {
	k.state = &reducer.State{Pools: pools.New()}
	k.servers = registry.Servers{}
}

// Run judges the pools until ctx ends.
func (k *PoolController) Run(ctx context.Context) {
	for wait(ctx, evaluateInterval); ctx.Err() == nil; wait(ctx, evaluateInterval) {
		status := k.Status()
		k.updateEngines()
		k.reduce(pools.Leads{At: time.Now(), Term: status.Term, Lead: status.Role == agreement.Leader})
		var giving sync.WaitGroup
		for _, order := range k.reduce(pools.Ticked{At: time.Now()}) {
			giving.Go(func() { k.issue(ctx, order) })
		}
		giving.Wait()
	}
}

func (k *PoolController) reduce(e pools.Event) []pools.Order {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var orders []pools.Order
	for _, effect := range reducer.Reduce(k.state, e) {
		if order, ok := effect.(pools.Order); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (k *PoolController) issue(ctx context.Context, o pools.Order) {
	ctx, cancel := context.WithTimeout(ctx, roleOrderTimeout)
	defer cancel()
	accepted, err := k.send(ctx, o)
	k.Logger.Info("engine ordered to change its role", "instance", o.Engine.Instance, "address", o.Engine.Address,
		"role", o.Role, "fencing", o.Fencing, "accepted", accepted, "error", err,
		"prefillEngines", o.Grounds.PrefillEngines, "decodeEngines", o.Grounds.DecodeEngines,
		"prefillWork", o.Grounds.PrefillWork, "decodeWork", o.Grounds.DecodeWork, "wantedPrefill", o.Grounds.Wanted)
	answered := pools.Answered{At: time.Now(), Order: o, Accepted: accepted}
	notSent, known := errors.AsType[*NotOrderedError](err)
	if known {
		answered.Rest = notSent.Rest
	}
	answered.Unsure = err != nil && !known
	k.reduce(answered)
}

// order announces an order and sends it, unless another control VM may lead by
// then: a process that was paused in between would otherwise send it among the
// orders of its successor.
func (k *PoolController) send(ctx context.Context, o pools.Order) (bool, error) {
	if err := k.Announce(ctx, o.Engine, o.Away); err != nil {
		return false, &NotOrderedError{Cause: err}
	}
	if !k.Leads() {
		return false, &NotOrderedError{Cause: &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}}
	}
	return k.Orders.ChangeRole(ctx, o, k.Self)
}

// Heard takes what a forwarder did.
func (k *PoolController) ApplyLoads(loads []message.ServiceLoad) { k.reduce(pools.Heard{Loads: loads}) }

// SetRouting implements routewatch.Sink.
func (k *PoolController) SetRouting(r oriolebend.Routing) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if r.Version > k.routing.Version {
		k.routing = r
	}
}

// ChangeServers implements routewatch.Sink.
func (k *PoolController) ChangeServers(changes registry.Changes, _ int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.servers.Apply(changes)
}

// tell tells the reducer of all engines. It is called before each judgement, and not
// for each change: while hundreds of engines start, each of them is one.
func (k *PoolController) updateEngines() {
	k.mutex.Lock()
	known := pools.Engines{Services: k.routing.Services, Servers: k.servers.List()}
	k.mutex.Unlock()
	known.Servers = slices.DeleteFunc(known.Servers, k.Limited)
	k.reduce(known)
}

// Version implements routewatch.Sink.
func (k *PoolController) Version() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.routing.Version
}

// Loads implements routewatch.Sink; a control VM puts no load on engines.
func (k *PoolController) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (k *PoolController) Expire() {}
