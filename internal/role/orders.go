package role

import (
	"context"
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/order"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// orderTimeout bounds one order; loading a model waits for the weight store.
const orderTimeout = 10 * time.Minute

// Orders sends orders to a backend server's engine until it is as declared.
type Orders struct {
	// Engine is nil for a plain service, which accepts no orders.
	Engine    engine.Engine
	Announcer *Announcer
	// SetState sets whether the gate accepts new work.
	SetState func(oriolebend.ServerState)
	// Left is called when a server that is declared stopping has no work left.
	Left     func()
	Observer Observer

	post func(reducer.Event)
	ctx  context.Context
}

// Start sends orders until ctx ends; post adds events to the loop of the process.
func (o *Orders) Start(ctx context.Context, post func(reducer.Event)) {
	o.ctx, o.post = ctx, post
	post(order.Started{At: time.Now()})
}

// Tick returns the Tick that triggers the timers of orders in the loop of the
// process.
func (o *Orders) Tick() Tick {
	return Tick{Every: order.TickEvery, Event: func(at time.Time) reducer.Event { return order.Ticked{At: at} }}
}

// ApplyDeclared posts the declared state in force.
func (o *Orders) ApplyDeclared(view declared.View, server oriolebend.Server) {
	event := order.Declared{At: time.Now(), Revision: view.Revision, Target: view.TargetOf(server)}
	if self, ok := view.Servers[server.Name]; ok {
		event.Self = &self
	}
	o.post(event)
}

// Clean posts that no order of an earlier incarnation can still be in flight.
func (o *Orders) Clean() {
	o.post(order.Clean{At: time.Now()})
}

// WorkEnded posts that the gate has no work left.
func (o *Orders) WorkEnded() {
	o.post(order.WorkEnded{At: time.Now()})
}

// Stopping posts that the sidecar was requested to stop.
func (o *Orders) Stopping() {
	o.post(order.Stopping{At: time.Now()})
}

// Perform performs an effect; it is called in the loop of the process.
func (o *Orders) Perform(effect order.Effect) {
	switch f := effect.(type) {
	case order.SetState:
		o.SetState(f.State)
	case order.QueryEngine:
		go o.queryEngine(f.Number)
	case order.Issue:
		go o.issue(f.Order)
	case order.RequestPermit:
		o.Announcer.RequestPermit(f.Permit, o.postPermit)
	case order.Report:
		o.Announcer.SetProgress(f.Progress, f.Detail)
	case order.Left:
		o.Left()
	case order.Count:
		o.Observer.Count("order."+string(f.What), f.Reason, "")
	}
}

func (o *Orders) postPermit(answer *message.Permitted) {
	if answer == nil {
		o.post(order.PermitLost{At: time.Now()})
		return
	}
	o.post(order.PermitAnswered{At: time.Now(), Answer: *answer})
}

func (o *Orders) queryEngine(number uint64) {
	ctx, cancel := context.WithTimeout(o.ctx, engineQueryTimeout)
	defer cancel()
	info, err := o.Engine.Info(ctx)
	if err != nil {
		o.post(order.EngineLost{At: time.Now(), Number: number})
		return
	}
	o.post(order.EngineKnown{At: time.Now(), Number: number, Info: info})
}

func (o *Orders) issue(f engine.Order) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	err := o.Engine.Order(ctx, f)
	ended := order.Finished{At: time.Now()}
	if err != nil {
		ended.Reason, ended.Detail, ended.Unsure = oriolebend.ReasonEngineFailed, err.Error(), true
	}
	var refused *engine.Error
	if errors.As(err, &refused) {
		ended.Reason = refused.Reason
		ended.Unsure = refused.Reason == oriolebend.ReasonServerLost || refused.Reason == oriolebend.ReasonDeadline
	}
	o.post(ended)
}
