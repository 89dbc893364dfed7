// Package routewatch has control VMs tell forwarders, and each other, the routing and the
// backend servers: a Server tells, a Follower takes in what all servers that it can find tell.
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
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// tellEvery is how often a forwarder is told that a control VM is there,
	// and whether its routing is known to be the newest.
	tellEvery = time.Second
	// newestWithin is how old the confirmation of a routing may be that is
	// passed on as confirmed; control VMs confirm every second.
	newestWithin = 2500 * time.Millisecond
	// heardWithin bounds the wait for forwarders to hear that a backend server
	// leaves. Servers wait a second for the answer to an announcement.
	heardWithin = 600 * time.Millisecond
	// registryEvery is how often silent servers are looked for.
	registryEvery = 500 * time.Millisecond
)

// Server tells forwarders the routing and the backend servers that
// announced themselves to this control VM.
type Server struct {
	Store *routing.Store
	// Confirmed tells how long ago a quorum confirmed the state of this control
	// VM; false means never.
	Confirmed func() (time.Duration, bool)
	// NextConfirmed is closed at the next confirmation; nil has forwarders told of it
	// with the next word.
	NextConfirmed func() <-chan struct{}
	// Self is the peer address of this control VM, Controls lists those of all that
	// have the routing.
	Self     string
	Controls func() []string
	// Leader is the peer address of the control VM that leads, empty if none is
	// known.
	Leader func() string
	// InTouch reports whether this control VM is in touch with the leader; nil means
	// that it always is.
	InTouch func() bool
	// Loads takes what forwarders did; nil takes nothing.
	Loads func([]message.ServiceLoad)
	// Reports lists what is known of requests under which servers ended, for those that
	// begin to watch; nil knows of none.
	Reports func() []message.CrashReport
	Logger  *slog.Logger

	mutex   sync.Mutex
	state   *registry.State
	watches map[*watcher]struct{}
	// forwarders counts the watches of forwarders, observers lists where control VMs
	// that watch can be watched themselves.
	forwarders int
	observers  []string
	// listens are where forwarders reach each other, sorted.
	listens []string
}

// Prepare makes the server ready; it must be called before all else.
func (r *Server) Prepare() {
	r.state = registry.New(registry.Config{})
	r.watches = map[*watcher]struct{}{}
}

// Run looks for silent servers until ctx ends.
func (r *Server) Run(ctx context.Context) {
	for pause.For(ctx, registryEvery) {
		r.reduce(registry.Ticked{At: time.Now()})
	}
}

// Servers lists the backend servers that are known here.
func (r *Server) Servers() []message.BackendServer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Servers()
}

// Forwarders counts those that watch.
func (r *Server) Forwarders() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.forwarders
}

// places lists where forwarders can watch: the members, and the control VMs that
// watch this one. The settings may name relays alone as seeds; members know
// themselves from their log, and nobody else would ever find them.
func (r *Server) places() []string {
	places := r.Controls()
	r.mutex.Lock()
	places = append(places, r.observers...)
	r.mutex.Unlock()
	slices.Sort(places)
	return slices.Compact(places)
}

// Announce takes an announcement of a backend server. The error is a
// *oriolebend.Problem if the announcement should go to another control VM.
func (r *Server) Announce(ctx context.Context, server message.BackendServer) error {
	if r.Forwarders() == 0 {
		return unheard("no forwarder watches this control VM")
	}
	announced := registry.Announced{At: time.Now(), Server: server}
	if server.Phase == message.PhaseReady {
		r.reduce(announced)
		return nil
	}
	return r.awaitHeard(ctx, r.tell(announced))
}

// AnnounceTo is the peer address of the control VM that an instance had better announce
// itself to from now on; empty means this one.
//
// A control VM that is cut off from the leader still hears its servers, and tells
// forwarders of them, but the leader, which gives places at engines, does not hear it: in
// a cut of eight seconds in which a third of 180 engines announced themselves to the cut
// off side, those that had crashed and come back stood idle until it healed. Control VMs
// that watch this one and are in touch themselves are reached by it and by the leader.
func (r *Server) AnnounceTo(instance string) string {
	if r.InTouch == nil || r.InTouch() {
		return ""
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	best, most := "", uint64(0)
	for w := range r.watches {
		weight := policy.Rendezvous(instance, w.address)
		if w.address != "" && w.inTouch && (best == "" || weight > most) {
			best, most = w.address, weight
		}
	}
	return best
}

// RoleChanges has forwarders send nothing more to a server that is about to be
// ordered to change its role, and returns once they know. A server that changes
// its role refuses what it has not begun; a prefill whose decode server was
// ordered meanwhile would be computed in vain.
func (r *Server) RoleChanges(ctx context.Context, engine message.BackendServer, away time.Duration) error {
	return r.awaitHeard(ctx, r.tell(registry.RoleChangeOrdered{
		Instance: engine.Instance, Incarnation: engine.Incarnation, Until: time.Now().Add(away),
	}))
}

// Withdraw takes the last word of a backend server; incarnation is the start that
// leaves, zero if it did not say.
func (r *Server) Withdraw(ctx context.Context, instance string, incarnation uint64) error {
	return r.awaitHeard(ctx, r.tell(registry.Withdrawn{At: time.Now(), Instance: instance, Incarnation: incarnation}))
}

func unheard(detail string) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: detail, RetryAfter: retryUnheard,
	}
}

// retryUnheard is how long forwarders take to find a control VM that has just
// started.
const retryUnheard = time.Second

// reduce feeds the registry and has its changes told.
func (r *Server) reduce(e registry.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(e)
}

// tell is reduce, and returns the updates that carry the changes to forwarders.
func (r *Server) tell(e registry.Event) map[*watcher]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(e)
	told := make(map[*watcher]uint64, r.forwarders)
	for w := range r.watches {
		if w.observes {
			continue
		}
		if told[w] = w.number; len(w.pending) > 0 {
			told[w]++
		}
	}
	return told
}

// apply is reduce. The mutex is held.
func (r *Server) apply(e registry.Event) {
	for _, effect := range reducer.Reduce(&reducer.State{Registry: r.state}, e) {
		changed, ok := effect.(registry.Changed)
		if !ok {
			continue
		}
		s := changed.Server
		r.Logger.Info("backend server", "instance", s.Instance, "address", s.Address, "service", s.Service,
			"phase", s.Phase, "role", s.Role, "silent", s.Silent, "sequence", s.Sequence, "incarnation", s.Incarnation)
		for w := range r.watches {
			w.pending[s.Instance] = s
			if s.Phase != message.PhaseReady || s.Changing {
				signal(w.urgent) // requests are sent there until it is known
			} else {
				signal(w.wake)
			}
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
	go r.hear(s, w)
	f := &feed{server: r, watch: w, stream: s}
	f.run(ctx)
}

// gatherFor is for how long news that can wait is gathered.
func (r *Server) gatherFor() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(len(r.watches)) * gatherEach
}

// nextConfirmed is closed at the next confirmation. Forwarders are ready only once they
// have a confirmed routing: told with the next regular word, they would be so up to a
// second later than need be after all VMs lost power.
func (r *Server) nextConfirmed() <-chan struct{} {
	if r.NextConfirmed == nil {
		return nil
	}
	return r.NextConfirmed()
}
