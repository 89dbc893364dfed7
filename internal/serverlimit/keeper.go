// Package serverlimit has the leading control VM count what all forwarders send to backend
// servers that have named a limit, and forwarders ask it.
package serverlimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/serverlimit"
	"github.com/oriolebend/oriolebend/internal/steady"
)

// Keeper counts in one control VM, while it leads.
type Keeper struct {
	// Leads reports whether this control VM's lease runs, and Term numbers the times that
	// control VMs began to lead.
	Leads  func() bool
	Term   func() uint64
	Logger *slog.Logger

	mutex sync.Mutex
	state *serverlimit.State
	start time.Time
	clock steady.Drift
}

// Prepare makes the keeper ready; it must be called before all else.
func (k *Keeper) Prepare() {
	k.state = serverlimit.New()
	k.start = time.Now()
}

// summaryEvery is how often what was counted is logged, if anybody asked.
const summaryEvery = time.Second

// Run logs what is counted until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for pause.For(ctx, summaryEvery) {
		k.mutex.Lock()
		k.look()
		list := k.state.Summarize()
		k.mutex.Unlock()
		for _, s := range list {
			k.Logger.Info("server limited", "server", s.Server.Instance, "perSecond", s.PerSecond, "granted", s.Granted, "refused", s.Refused)
		}
	}
}

// Serve is the peer.Handler for forwarders. A session carries any number of questions.
func (k *Keeper) Serve(ctx context.Context, s peer.Stream) { peer.ServeRequests(ctx, s, k.take) }

// take feeds one step of a forwarder to the reducer.
func (k *Keeper) take(m message.LimitAsk) (message.LimitAnswer, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.look()
	now := time.Now()
	switch m.Step {
	case message.LimitReturned:
		k.reduce(serverlimit.Returned{At: now, Server: m.Server})
		return message.LimitAnswer{}, false
	case message.LimitEnded:
		k.reduce(serverlimit.Ended{At: now, Server: m.Server, Sent: now.Add(-m.Age)})
		return message.LimitAnswer{}, false
	}
	effects := k.reduce(serverlimit.Asked{At: now, Server: m.Server, PerSecond: m.PerSecond, Named: now.Add(-m.Age)})
	a, _ := effects[0].(serverlimit.Answer)
	return message.LimitAnswer{ID: m.ID, Counted: a.Counted, Granted: a.Granted, Ended: a.Ended, After: a.After}, true
}

// Limited reports whether a server has a limit, as far as this control VM counts.
func (k *Keeper) Limited(server message.BackendServer) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.Limited(time.Now(), server.Start())
}

// look takes up whether this control VM leads. The mutex is held.
func (k *Keeper) look() {
	now := time.Now()
	doubted := k.clock.Moved(now.Sub(k.start), now)
	k.reduce(serverlimit.Leads{At: now, Lead: k.Leads(), Term: k.Term(), Doubted: doubted})
}

// reduce feeds the reducer. The mutex is held.
func (k *Keeper) reduce(e serverlimit.Event) []reducer.Effect {
	return reducer.Reduce(&reducer.State{ServerLimit: k.state}, e)
}
