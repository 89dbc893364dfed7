package routewatch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/discovery"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// watchBackoffBase and watchBackoffMax bound the backoff between two attempts to
	// watch a control VM. Jitter spreads the first retry: after a restart of the
	// whole system all forwarders dial at the same moment.
	watchBackoffBase = 100 * time.Millisecond
	watchBackoffMax  = time.Second
	// formerBackoffMax bounds it for a control VM that is no longer listed and may be gone for good.
	formerBackoffMax = 2 * time.Second
	// openTimeout is the timeout for opening a session.
	openTimeout = 2 * time.Second
	// reviewInterval is how often the known servers are checked for entries that have
	// become too old, and loads are collected.
	reviewInterval = time.Second
)

// Sink receives the routing and the backend servers from a Follower;
// *forwarder.Forwarder is one.
type Sink interface {
	// SetRouting brings a routing into force, unless the sink has a newer one.
	SetRouting(r oriolebend.Routing)
	// ChangeServers applies changes of the backend servers; forwarders is the number of
	// forwarders.
	ChangeServers(changes registry.Changes, forwarders int)
	// Version returns the version of the routing in force.
	Version() uint64
	// Loads returns the load on model engines since the last call.
	Loads() []message.ServiceLoad
	// Expire drops state that is no longer in use.
	Expire()
}

// Follower watches every known control VM and passes the routing and the backend
// servers that they send to a Sink.
type Follower struct {
	Dialer peer.Dialer
	// Seeds are the control VMs that are known from the start.
	Seeds []string
	// Former are the control VMs that an earlier process knew. MaxFormer bounds those that are watched
	// on when no control VM lists them any more; zero means none. Changed is called when the known
	// control VMs have changed; it may be nil.
	Former    []string
	MaxFormer int
	Changed   func()
	// Observers lists the control VMs that watch this process; nil means none.
	Observers func() []string

	Watch  message.RouteWatch
	Sink   Sink
	Logger *slog.Logger
	// Reports receives the crash reports that control VMs send. Found is called with the
	// address of each control VM once its first update was applied. Both may be nil.
	Reports func([]message.CrashReport)
	Found   func(address string)

	mutex    sync.Mutex
	view     *registry.View
	links    map[string]*link
	controls discovery.Controls
	leader   knownLeader
	peers    []string // some other forwarders, by the last update that listed them
	ready    atomic.Bool
	// confirmed is when the last update with a confirmation was received.
	confirmed time.Time
	ctx       context.Context
	group     sync.WaitGroup
	openings  openQueue
	// first is the link whose session counts as the first one, nil once that session has
	// ended; see isFirst.
	first *link
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mutex.Lock()
	f.ctx, f.view, f.links = ctx, registry.NewView(), map[string]*link{}
	f.controls.MaxFormer = f.MaxFormer
	f.controls.SetSeeds(f.Seeds)
	f.controls.Restore(f.Former)
	f.watchNew()
	f.mutex.Unlock()
	for pause.For(ctx, reviewInterval) {
		f.mutex.Lock()
		f.updateObservers()
		f.updateServers()
		f.storeLoads(f.Sink.Loads())
		f.mutex.Unlock()
		f.Sink.Expire()
	}
	f.group.Wait()
}

// SetSeeds replaces the control VMs that are known from the start.
func (f *Follower) SetSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Seeds = seeds
	if f.links != nil {
		f.controls.SetSeeds(seeds)
		f.watchNew()
	}
}

// Ready reports whether a routing was received that a quorum had confirmed when it
// was sent, together with the servers.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Leader returns the peer address of the leading control VM, empty if no update has named one.
func (f *Follower) Leader() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader.address
}

// LeaderTerm returns the term of Leader, zero if it is not known.
func (f *Follower) LeaderTerm() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader.term
}

// Connected reports whether a control VM recently reported that a quorum confirmed its
// state.
func (f *Follower) Connected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected()
}

// connected is Connected. The mutex is held.
func (f *Follower) connected() bool { return time.Since(f.confirmed) < confirmationMaxAge }

// Links counts the control VMs that are watched now.
func (f *Follower) Links() int { return len(f.Open()) }

// Open lists the control VMs that are watched now.
func (f *Follower) Open() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var open []string
	for address, l := range f.links {
		if l.open() {
			open = append(open, address)
		}
	}
	return open
}

// Known returns the number of control VMs, as far as it is known.
func (f *Follower) Known() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.controls.Count()
}

// Addresses lists the control VMs that are known, also those that are down or no longer listed.
func (f *Follower) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.controls.Addresses()
}

// Peers lists some other forwarders.
func (f *Follower) Peers() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.peers)
}

// applyUpdate applies an update. It returns false if its routing can't be decoded.
//
// Crash reports are applied before the first routing, with which a forwarder begins to send requests.
func (f *Follower) applyUpdate(l *link, s peer.Stream, u message.RouteUpdate) bool {
	if len(u.Reports) > 0 && f.Reports != nil {
		f.Reports(u.Reports)
	}
	if len(u.Routing) > 0 {
		var r oriolebend.Routing
		if err := cbor.Unmarshal(u.Routing, &r); err != nil {
			f.Logger.Error("routing can't be decoded", "control", l.address, "version", u.Version, "error", err)
			return false
		}
		f.Sink.SetRouting(r)
		f.sendVersion(l, r.Version)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !l.open() {
		f.Logger.Info("control VM watched", "control", l.address, "version", u.Version, "servers", len(u.Servers))
	}
	l.forwarders, l.stream, l.received = u.Forwarders, s, u.Number
	if u.Confirmed {
		f.confirmed = time.Now()
	}
	if u.Whole || len(u.Servers) > 0 {
		f.view.Update(time.Now(), l.address, u.Whole, u.Servers)
		f.updateServers()
	}
	f.leader.update(time.Now(), u.Leader, u.LeaderTerm)
	if len(u.Peers) > 0 {
		f.peers = u.Peers
	}
	if len(u.Controls) > 0 {
		f.controls.List(l.address, u.Controls)
		f.watchNew()
	}
	if u.Confirmed && f.Sink.Version() > 0 && !f.ready.Swap(true) {
		f.Logger.Info("ready", "version", f.Sink.Version())
	}
	return true
}

// updateObservers starts watching the control VMs that watch this process. The mutex is held.
func (f *Follower) updateObservers() {
	if f.Observers != nil {
		f.controls.SetObservers(f.Observers())
		f.watchNew()
	}
}

// updateServers passes changed servers to the sink. The mutex is held.
func (f *Follower) updateServers() {
	forwarders := 0
	for _, l := range f.links {
		if l.open() {
			forwarders = max(forwarders, l.forwarders)
		}
	}
	f.Sink.ChangeServers(f.view.Changes(time.Now()), forwarders)
}
