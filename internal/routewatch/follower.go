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
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// watchAgainFirst and watchAgainMost bound the pause between two tries to
	// watch a control VM. The first is spread by jitter: after a restart of the
	// whole system all forwarders dial at the same moment.
	watchAgainFirst = 100 * time.Millisecond
	watchAgainMost  = time.Second
	// openWatchWithin bounds the opening of a session.
	openWatchWithin = 2 * time.Second
	// reviewEvery is how often what is known is looked through for what has
	// become too old.
	reviewEvery = time.Second
)

// Sink takes what a Follower learns; *forwarder.Forwarder is one.
type Sink interface {
	// SetRouting brings a routing into force, unless it has a newer one.
	SetRouting(r oriolebend.Routing)
	// ChangeServers takes what has changed of the backend servers, and the number of
	// forwarders.
	ChangeServers(changes registry.Changes, forwarders int)
	// Version is the version of the routing in force.
	Version() uint64
	// Loads returns what was done with model engines since the last call.
	Loads() []message.ServiceLoad
	// Expire drops what is not in use any more.
	Expire()
}

// Follower keeps a forwarder up to date with the routing and the backend
// servers, as every control VM that it can find tells them.
type Follower struct {
	Dialer peer.Dialer
	// Seeds are the control VMs that are known from the start.
	Seeds  []string
	Watch  message.RouteWatch
	Sink   Sink
	Logger *slog.Logger
	// Reports takes what control VMs tell of requests under which servers ended, Found
	// the address of each control VM that is watched from now on. Both may be nil.
	Reports func([]message.CrashReport)
	Found   func(address string)

	mutex   sync.Mutex
	view    *registry.View
	links   map[string]*link
	current []string // the control VMs as one of them told last
	leader  string   // the leader as one of them told last
	peers   []string // some other forwarders, as one of them told last
	ready   atomic.Bool
	// confirmed is when a control VM told of a confirmation last.
	confirmed time.Time
	ctx       context.Context
	group     sync.WaitGroup
	turns     turns
	// first is the first link over which a session was opened.
	first *link
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mutex.Lock()
	f.ctx, f.view, f.links = ctx, registry.NewView(), map[string]*link{}
	f.learn(f.Seeds)
	f.mutex.Unlock()
	for pause.For(ctx, reviewEvery) {
		f.mutex.Lock()
		f.tellServers()
		f.noteLoads(f.Sink.Loads())
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
		f.learn(seeds)
	}
}

// Ready reports whether a routing is known that a quorum had confirmed when it
// was told, together with the servers.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Leader is the peer address of the control VM that led when one told of it
// last, empty if none did.
func (f *Follower) Leader() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader
}

// InTouch reports whether a control VM told of late that a quorum confirmed its state.
func (f *Follower) InTouch() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.inTouch()
}

// inTouch is InTouch. The mutex is held.
func (f *Follower) inTouch() bool { return time.Since(f.confirmed) < newestWithin }

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

// Peers lists some other forwarders.
func (f *Follower) Peers() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.peers)
}

// take takes an update in.
func (f *Follower) take(l *link, s peer.Stream, u message.RouteUpdate) bool {
	if len(u.Routing) > 0 {
		var r oriolebend.Routing
		if err := cbor.Unmarshal(u.Routing, &r); err != nil {
			f.Logger.Error("a routing can't be read", "control", l.address, "version", u.Version, "error", err)
			return false
		}
		f.Sink.SetRouting(r)
		f.tellVersion(l, r.Version)
	}
	if len(u.Reports) > 0 && f.Reports != nil {
		f.Reports(u.Reports)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !l.open() {
		f.Logger.Info("control VM watched", "control", l.address, "version", u.Version, "servers", len(u.Servers))
	}
	l.forwarders, l.stream, l.heard = u.Forwarders, s, u.Number
	if u.Confirmed {
		f.confirmed = time.Now()
	}
	if u.Whole || len(u.Servers) > 0 {
		f.view.Update(time.Now(), l.address, u.Whole, u.Servers)
		f.tellServers()
	}
	if u.Leader != "" {
		f.leader = u.Leader
	}
	if len(u.Peers) > 0 {
		f.peers = u.Peers
	}
	if len(u.Controls) > 0 {
		f.current = u.Controls
		f.learn(u.Controls)
	}
	if u.Confirmed && f.Sink.Version() > 0 && !f.ready.Swap(true) {
		f.Logger.Info("ready", "version", f.Sink.Version())
	}
	return true
}

// tellServers hands what has changed to the sink. The mutex is held.
func (f *Follower) tellServers() {
	forwarders := 0
	for _, l := range f.links {
		if l.open() {
			forwarders = max(forwarders, l.forwarders)
		}
	}
	f.Sink.ChangeServers(f.view.Changes(time.Now()), forwarders)
}
