// Package quota has control VMs count what organisations ask for, and forwarders ask them.
package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/steady"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config states by how much quotas may be exceeded.
type Config = quota.Config

// Keeper counts in one control VM.
type Keeper struct {
	Config Config
	// Routing holds the declared organisations.
	Routing *routing.Store
	// Self names this control VM, Leader the one that leads, empty if none is known. This
	// one names itself only while its lease runs.
	Self   string
	Leader func() string
	// Members is how many control VMs there are.
	Members func() int
	Logger  *slog.Logger

	mutex sync.Mutex
	state *quota.State
	start time.Time
	clock steady.Drift
}

// Prepare makes the keeper ready; it must be called before all else.
func (k *Keeper) Prepare() {
	k.state = quota.New(k.Config)
	k.start = time.Now()
}

// lookEvery is how often it is looked who leads: a bucket is filled from when this control
// VM began to lead, and not from the first question.
const lookEvery = 100 * time.Millisecond

// Run takes up the declared organisations, and who leads, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		current, changed := k.Routing.Current()
		k.take(current)
		if !k.watch(ctx, changed, ticker.C) {
			return
		}
	}
}

// watch looks who leads until the routing changes; false means that ctx has ended.
func (k *Keeper) watch(ctx context.Context, changed <-chan struct{}, ticks <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-ticks:
			k.mutex.Lock()
			k.look()
			k.mutex.Unlock()
		}
	}
}

func (k *Keeper) take(current routing.InForce) {
	if current.Version == 0 {
		return
	}
	var r oriolebend.Routing
	if err := cbor.Unmarshal(current.Encoded, &r); err != nil {
		k.Logger.Error("quotas not taken up, the routing can't be read", "version", current.Version, "error", err)
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.look() // a reserve is this control VM's part of all of them
	k.reduce(quota.Declared{At: time.Now(), Organisations: r.Organisations})
}

// reduce feeds the reducer. The mutex is held.
func (k *Keeper) reduce(e quota.Event) []reducer.Effect {
	return reducer.Reduce(&reducer.State{Quota: k.state}, e)
}

// Serve is the peer.Handler for forwarders. A session carries any number of questions.
func (k *Keeper) Serve(ctx context.Context, s peer.Stream) {
	peer.ServeRequests(ctx, s, func(asked message.QuotaAsk) (message.QuotaAnswer, bool) {
		if asked.Return {
			k.returned(asked)
			return message.QuotaAnswer{}, false
		}
		return k.answer(asked), true
	})
}

func (k *Keeper) returned(asked message.QuotaAsk) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.look()
	k.reduce(quota.Returned{At: time.Now(), Organisation: asked.Organisation, Cost: asked.Cost})
}

func (k *Keeper) answer(asked message.QuotaAsk) message.QuotaAnswer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.look()
	effects := k.reduce(quota.Asked{
		At: time.Now(), Organisation: asked.Organisation, Cost: asked.Cost, Call: asked.Call, Late: asked.Late,
	})
	a, _ := effects[0].(quota.Answer)
	return message.QuotaAnswer{ID: asked.ID, Granted: a.Granted, Known: a.Known, RetryAfter: a.After, Left: a.Left, Since: a.Since}
}

// look takes up who leads. The mutex is held.
func (k *Keeper) look() {
	now := time.Now()
	leader := k.Leader()
	k.reduce(quota.Leads{At: now, Lead: leader == k.Self, Leader: leader, Members: k.Members()})
	if k.clock.Moved(now.Sub(k.start), now) {
		k.reduce(quota.Doubted{At: now})
		k.Logger.Warn("quotas are counted anew, time has passed that the clock did not count")
	}
}
