// Package routewatch distributes the routing and the backend servers from control VMs to
// forwarders, and between control VMs: a Server sends changes to its watchers, a Follower
// watches the Server of every control VM that it can find.
package routewatch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/peak"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// updateInterval is the longest time between two updates to a watcher. An update without
	// changes shows that the control VM is alive, and whether its routing is known to be the
	// newest.
	updateInterval = time.Second
	// confirmationMaxAge is the highest age of a confirmation at which a routing is sent as
	// confirmed; control VMs confirm every second.
	confirmationMaxAge = 2500 * time.Millisecond
	// acknowledgeTimeout is the timeout for forwarders to acknowledge that a backend server
	// leaves. Servers wait a second for the answer to an announcement.
	acknowledgeTimeout = 600 * time.Millisecond
	// registryInterval is how often servers are checked for missing announcements.
	registryInterval = 500 * time.Millisecond
)

// Server sends its watchers the routing and the backend servers that announced
// themselves to this control VM.
type Server struct {
	Store *routing.Store
	// Confirmed returns how long ago a quorum confirmed the state of this control
	// VM; false means never.
	Confirmed func() (time.Duration, bool)
	// NextConfirmed returns a channel that is closed at the next confirmation. If it is
	// nil, a confirmation is sent with the next regular update.
	NextConfirmed func() <-chan struct{}
	// Self is the peer address of this control VM, Controls lists those of all that
	// have the routing.
	Self     string
	Controls func() []string
	// Leader returns the peer address of the leading control VM, empty if none is
	// known.
	Leader func() string
	// Term returns the term of the leader; nil means that it is not known.
	Term func() uint64
	// Connected reports whether this control VM is connected to the leader; nil means
	// always.
	Connected func() bool
	// Loads receives the loads that forwarders report; nil discards them.
	Loads func([]message.ServiceLoad)
	// Reports lists the known crash reports, which are sent to each new watcher; nil
	// means that there are none.
	Reports func() []message.CrashReport
	Logger  *slog.Logger

	mutex   sync.Mutex
	state   *registry.State
	watches map[*watcher]struct{}
	// forwarders counts the forwarders that watch, observers lists the addresses at
	// which the watchers that are control VMs can be watched themselves.
	forwarders int
	// highestForwarders is the number that forwarders receive.
	highestForwarders peak.Peak[int]
	observers         []string
	// listens are the addresses at which forwarders reach each other, sorted.
	listens []string
	// restored counts the restored servers, dropped those that did not announce themselves to any
	// control VM. restoredAt is when they were restored, fromOthers names those that had last
	// announced themselves to another control VM.
	restored, dropped int
	restoredAt        time.Time
	fromOthers        map[string]struct{}
}

// Prepare initializes the server; it must be called before any other method.
func (r *Server) Prepare() {
	r.state = registry.New(registry.Config{})
	r.watches = map[*watcher]struct{}{}
	r.highestForwarders.Period = message.ForwardersPeriod
}

// Run checks servers for missing announcements until ctx ends.
func (r *Server) Run(ctx context.Context) {
	for pause.For(ctx, registryInterval) {
		r.reduce(registry.Ticked{At: time.Now()})
	}
}

// Servers lists the backend servers that are known to this control VM.
func (r *Server) Servers() []message.BackendServer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Servers()
}

// Forwarders returns the number of forwarders that watch this control VM.
func (r *Server) Forwarders() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.forwarders
}

// Observers lists the peer addresses of the control VMs that watch this one.
func (r *Server) Observers() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.observers)
}

// controlAddresses lists the addresses of the control VMs that forwarders can watch: the members,
// and the control VMs that watch this one. The seeds in the settings may be relays only;
// members know each other from their log, and no other process would find the members.
func (r *Server) controlAddresses() []string {
	addresses := append(r.Controls(), r.Observers()...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Announce applies an announcement of a backend server. The error is a
// *oriolebend.Problem if the server should announce itself to another control VM.
//
// An announcement is applied even while no forwarder watches, though it is not acknowledged
// then: after a restart of the whole system servers announce themselves before the forwarders
// have connected, and the next announcement comes only after a retry delay. Without this, the
// first forwarders find no server for a second.
func (r *Server) Announce(ctx context.Context, server message.BackendServer) error {
	announced := registry.Announced{At: time.Now(), Server: server}
	if server.Phase == message.PhaseReady {
		r.reduce(announced)
		if r.Forwarders() == 0 {
			return notAcknowledged("no forwarder watches this control VM")
		}
		return nil
	}
	return r.awaitAcknowledged(ctx, r.reduceNumbered(announced))
}

// AnnounceTo returns the peer address of the control VM to which an instance should
// announce itself from now on; empty means this one.
//
// A control VM that is partitioned from the leader still receives announcements and sends
// them to forwarders, but not to the leader, which allocates placements. In a partition of
// eight seconds, a third of 180 engines announced themselves to the side without the leader;
// those that had crashed and restarted were idle until the partition ended. Control VMs
// that watch this one and are connected themselves reach both it and the leader.
func (r *Server) AnnounceTo(instance string) string {
	if r.Connected == nil || r.Connected() {
		return ""
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	best, most := "", uint64(0)
	for w := range r.watches {
		weight := policy.Rendezvous(instance, w.address)
		if w.address != "" && w.connected && (best == "" || weight > most) {
			best, most = w.address, weight
		}
	}
	return best
}

// RoleChanges stops forwarders from sending to a server that is about to be ordered to
// change its role, and returns once they have acknowledged it. A server that changes its
// role refuses requests that it has not begun. The work of a prefill would be lost if its
// decode server received such an order meanwhile.
func (r *Server) RoleChanges(ctx context.Context, engine message.BackendServer, away time.Duration) error {
	return r.awaitAcknowledged(ctx, r.reduceNumbered(registry.RoleChangeOrdered{
		Instance: engine.Instance, Incarnation: engine.Incarnation, Until: time.Now().Add(away),
	}))
}

// Withdraw removes a backend server that leaves for good; incarnation is zero if the
// server did not report it.
func (r *Server) Withdraw(ctx context.Context, instance string, incarnation uint64) error {
	return r.awaitAcknowledged(ctx, r.reduceNumbered(registry.Withdrawn{At: time.Now(), Instance: instance, Incarnation: incarnation}))
}

func notAcknowledged(detail string) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: detail, RetryAfter: announceRetryAfter,
	}
}

// announceRetryAfter is the delay after which a server may retry: forwarders take this long to
// find a control VM that has just started.
const announceRetryAfter = time.Second

// reduce applies an event to the registry and queues the changed servers for all watchers.
func (r *Server) reduce(e registry.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(e)
}

// reduceNumbered is reduce, and returns for each forwarder the number of the update that carries
// the changes.
func (r *Server) reduceNumbered(e registry.Event) map[*watcher]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(e)
	numbers := make(map[*watcher]uint64, r.forwarders)
	for w := range r.watches {
		if w.observes {
			continue
		}
		if numbers[w] = w.number; len(w.pending) > 0 {
			numbers[w]++
		}
	}
	return numbers
}

// apply is reduce. The mutex is held.
func (r *Server) apply(e registry.Event) {
	var dropped []string
	for _, effect := range reducer.Reduce(&reducer.State{Registry: r.state}, e) {
		switch effect := effect.(type) {
		case registry.Changed:
			s := effect.Server
			r.Logger.Info("backend server", "instance", s.Instance, "address", s.Address, "service", s.Service,
				"phase", s.Phase, "role", s.Role, "silent", s.Silent, "sequence", s.Sequence, "incarnation", s.Incarnation)
			r.queue(s)
		case registry.Dropped:
			r.queue(effect.Server)
			if !effect.Elsewhere {
				dropped = append(dropped, effect.Server.Instance)
			}
		}
	}
	r.countDropped(dropped)
}

// queue queues a server for all watchers. The mutex is held.
func (r *Server) queue(s message.BackendServer) {
	for w := range r.watches {
		if s.Dropped() && r.withheld(w, s) {
			continue
		}
		w.pending[s.Instance] = s
		if s.Phase != message.PhaseReady || s.Changing || s.Dropped() {
			signal(w.urgent) // forwarders send requests to the server until they receive this
		} else {
			signal(w.wake)
		}
	}
}

// Serve is the peer.Handler for forwarders.
func (r *Server) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	watch, ok := first.(message.RouteWatch)
	if err != nil || !ok {
		return
	}
	w := r.add(watch)
	defer r.remove(w)
	go r.readAcknowledgements(s, w)
	f := &feed{server: r, watch: w, stream: s}
	f.run(ctx)
}

// batchDelay returns how long changes that are not urgent are batched.
func (r *Server) batchDelay() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(len(r.watches)) * batchDelayPerWatcher
}

// nextConfirmed returns a channel that is closed at the next confirmation. Forwarders are
// ready only once they have a confirmed routing. If the confirmation waited for the next
// regular update, they would be ready up to a second later than necessary after a power
// loss of all VMs.
func (r *Server) nextConfirmed() <-chan struct{} {
	if r.NextConfirmed == nil {
		return nil
	}
	return r.NextConfirmed()
}
