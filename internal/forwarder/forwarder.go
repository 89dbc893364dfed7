package forwarder

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/streamrecord"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Observer counts events and records measurements; *metrics.Metrics implements it.
type Observer interface {
	Count(event string, reason oriolebend.Reason, organisation string)
	Observe(event string, urgency oriolebend.Urgency, value float64)
}

// Config configures a Forwarder. Dialect and Observer are required.
type Config struct {
	Dialect  Dialect
	Dispatch dispatch.Config
	Pool     backend.PoolConfig
	Observer Observer
	// RefusedRank counts a refused request by its rank; nil counts nothing.
	RefusedRank func(rank int, reason oriolebend.Reason)
	// Repeated counts an arrival of a request at a server of a service, beyond its first; nil counts
	// nothing.
	Repeated func(service string, kind dispatch.RepeatKind)
	Logger   *slog.Logger
	// Places grants placements at model engines; if nil, the forwarder chooses engines itself.
	Places Places
	// Quarantine knows the requests that crash servers; if nil, the forwarder uses a store of its
	// own.
	Quarantine *quarantine.Store
	// Quotas counts the use of quotas by organisations over all forwarders; if nil, no quota is
	// enforced.
	Quotas Quotas
	// Limits counts the requests that are sent to servers with a reported limit, over all
	// forwarders; if nil, the forwarder counts its own requests.
	Limits Limits
	// Streams knows the origins of streams; if nil, the forwarder knows those of its own streams.
	Streams Streams
	// Current reports whether the routing in force was known to be the newest a few seconds ago;
	// nil means that it always is.
	Current func() bool
	// MaxAnswerBytes bounds the part of a plain call's answer that is held; the rest is forwarded
	// as it arrives. Zero means 16 MiB.
	MaxAnswerBytes int64
	// Held accounts for the memory of held answers, together with that of request bodies; nil
	// counts nothing.
	Held *memorybudget.Account
}

const defaultMaxAnswerBytes = 16 << 20

// Forwarder forwards the routed requests of one forwarder process.
type Forwarder struct {
	config Config
	pool   *backend.Pool
	start  time.Time

	// table is stored with routingMutex held.
	table        atomic.Pointer[routing.Table]
	routingMutex sync.Mutex
	// routed is closed when the first routing is applied.
	routed     chan struct{}
	routedOnce sync.Once

	mutex sync.Mutex
	state *dispatch.State
	// serversAt counts the servers at each address, addresses holds the address of each server
	// instance.
	serversAt map[string]int
	addresses map[string]string

	retries  retryDetector
	crashes  crashDetector
	inflight inflightBytes

	background sync.WaitGroup
}

// New returns a forwarder without routes and servers.
func New(c Config) *Forwarder {
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(quarantine.Config{SendsRequests: true, Logger: c.Logger})
	}
	if c.Pool.Count == nil {
		c.Pool.Count = func(e backend.Event) { c.Observer.Count(string(e), "", "") }
	}
	if c.Limits == nil {
		c.Limits = newLocalLimits()
	}
	if c.Streams == nil {
		c.Streams = streamrecord.NewClient(streamrecord.Config{})
	}
	return &Forwarder{
		config:    c,
		pool:      backend.NewPool(c.Pool),
		start:     time.Now(),
		state:     dispatch.New(c.Dispatch),
		routed:    make(chan struct{}),
		serversAt: map[string]int{},
		addresses: map[string]string{},
		inflight:  inflightBytes{limit: int64(memorybudget.DefaultPeerShare * float64(c.Held.Limit()))},
	}
}

// now returns the time of the start plus the monotonic time since then: the wall clock can jump,
// and retry budgets and the times for which servers are avoided must not jump with it.
func (f *Forwarder) now() time.Time { return f.start.Add(time.Since(f.start)) }

// SetRouting applies a routing, unless the routing in force is as new or newer. Several control VMs
// may send routings at the same time.
func (f *Forwarder) SetRouting(r oriolebend.Routing) {
	f.routingMutex.Lock()
	defer f.routingMutex.Unlock()
	if current := f.table.Load(); current != nil && current.Routing.Version >= r.Version {
		return
	}
	table := routing.NewTable(r)
	table.RecordRevoked(f.table.Load())
	f.table.Store(table)
	f.reduce(dispatch.Services{Services: r.Services})
	f.routedOnce.Do(func() { close(f.routed) })
	f.config.Logger.Info("routing in force", "version", r.Version, "routes", len(r.Routes), "services", len(r.Services))
}

// Version returns the version of the routing in force; zero means that there is none.
func (f *Forwarder) Version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Routing.Version
	}
	return 0
}

// Limits returns the limits in force for callers' requests and connections.
func (f *Forwarder) Limits() http1.Limits {
	t := f.table.Load()
	if t == nil {
		return http1.Limits{}
	}
	l := t.Routing.Limits
	return http1.Limits{
		MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes,
		HeaderTimeout: time.Duration(l.HeaderTimeout), IdleTimeout: time.Duration(l.IdleTimeout),
	}
}

// ChangeServers applies changes to the set of backend servers, and the number of forwarders.
func (f *Forwarder) ChangeServers(changes registry.Changes, forwarders int) {
	f.mutex.Lock()
	for _, s := range changes.Servers {
		f.setAddress(s.Instance, s.Address)
	}
	for _, name := range changes.Left {
		f.setAddress(name, "")
	}
	f.mutex.Unlock()
	f.reduce(dispatch.FleetChanged{At: f.now(), Servers: changes.Servers, Left: changes.Left, Forwarders: forwarders})
}

// setAddress records the address of an instance; an empty address removes the instance. The mutex
// must be held.
func (f *Forwarder) setAddress(instance, address string) {
	if before, known := f.addresses[instance]; known {
		if f.serversAt[before]--; f.serversAt[before] == 0 {
			delete(f.serversAt, before)
		}
		delete(f.addresses, instance)
	}
	if address != "" {
		f.serversAt[address]++
		f.addresses[instance] = address
	}
}

// Loads returns the work that was done with model engines since the last call.
func (f *Forwarder) Loads() []message.ServiceLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Loads()
}

// EngineSpeeds returns how fast model engines wrote for this forwarder recently.
func (f *Forwarder) EngineSpeeds() []message.EngineSpeed {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return dispatch.EngineSpeeds(f.state, f.now())
}

// Expire drops outdated load history, and closes connections that were idle for too long or lead to
// addresses without a known server.
func (f *Forwarder) Expire() {
	f.inflight.expire()
	f.pool.Expire(func(address string) bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.serversAt[address] > 0
	})
}

// Dialled returns the number of connections to servers opened so far.
func (f *Forwarder) Dialled() uint64 { return f.pool.Dialled() }

// Wait returns when all background work of answered requests has finished.
func (f *Forwarder) Wait() { f.background.Wait() }

func (f *Forwarder) reduce(e dispatch.Event) []reducer.Effect {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return reducer.Reduce(&reducer.State{Dispatch: f.state}, e)
}

// choose asks the reducer for a server for a request.
func (f *Forwarder) choose(n dispatch.Need) (dispatch.Grant, *refusal) {
	effects := f.reduce(dispatch.PlacementRequested{At: f.now(), Need: n})
	switch e := effects[0].(type) {
	case dispatch.Granted:
		return e.Grant, nil
	case dispatch.Refused:
		return dispatch.Grant{}, &refusal{reason: e.Reason, after: e.RetryAfter}
	}
	return dispatch.Grant{}, &refusal{reason: oriolebend.ReasonInternal}
}

// refusalForGrant returns the reason why a request must not be sent any more to the server of its
// grant, empty if it may be sent.
func (f *Forwarder) refusalForGrant(g dispatch.Grant) oriolebend.Reason {
	if r, refused := f.reduce(dispatch.SendRequested{At: f.now(), Grant: g})[0].(dispatch.Refused); refused {
		return r.Reason
	}
	return ""
}

// prefillTime returns how long a prefill engine takes for a prompt.
func (f *Forwarder) prefillTime(service string, prompt int) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.PrefillTime(service, prompt)
}

// overloaded reports whether a route's service is overloaded, as far as this forwarder knows.
func (f *Forwarder) overloaded(service string, target time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Overloaded(f.now(), service, target)
}

// Serve answers one request; it is an http1.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *http1.Request, a *http1.Answer) {
	w := &work{f: f, request: r, answer: a}
	info, err := f.config.Dialect.ParseRequest(r.Header)
	w.info = info
	if err != nil {
		w.reject(http.StatusBadRequest, oriolebend.ReasonMalformed, err)
		return
	}
	table := f.awaitRouting(ctx, info.Within)
	if table == nil {
		w.refuse(refusal{reason: oriolebend.ReasonControlAway, after: retryNotReady})
		return
	}
	w.version = table.Routing.Version
	if !w.admit(table) {
		return
	}
	within := time.Duration(w.route.Timeout)
	if info.Within > 0 {
		within = min(within, info.Within)
	}
	w.deadline = r.Received.Add(within)
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	w.retried = f.retries.isRetry(w.route.Name, info.Within)
	if !w.resolveOrigin(ctx, table) || !w.charge(ctx) {
		return
	}
	if w.route.Stream {
		w.stream(ctx)
		return
	}
	w.call(ctx)
}

// admit finds the route, the organisation and the service of a request. It returns false if it has
// answered the request itself.
func (w *work) admit(table *routing.Table) bool {
	w.route = table.Match(w.request.Host, w.request.Path())
	if w.route == nil {
		w.rejectUnless(http.StatusNotFound, oriolebend.ReasonUnknownService)
		return false
	}
	if reason := w.identify(table); reason != "" {
		w.rejectUnless(http.StatusUnauthorized, reason)
		return false
	}
	w.fingerprint = fingerprintOf(w.request, w.organisationName())
	if !w.setService(table.Service(routing.Target(w.route, rand.Float64()))) {
		w.refuse(refusal{reason: oriolebend.ReasonUnknownService, after: retryNotReady})
		return false
	}
	if hold, held := w.quarantined(); held {
		w.refuse(refusal{reason: oriolebend.ReasonCrashesServers, after: hold.After})
		return false
	}
	return true
}

// setService sets the service of a request. It returns false if there is none.
func (w *work) setService(service *oriolebend.RouteService) bool {
	w.service = service
	if service == nil {
		return false
	}
	w.parts = partFingerprints(service.Name, w.info.Parts)
	return true
}

const (
	// maxRoutingWait bounds how long a request waits for the first routing, and routingWaitShare is
	// the share of its caller's time that it waits at most.
	maxRoutingWait   = time.Second
	routingWaitShare = 0.6
)

// awaitRouting returns the routing table in force, nil if there is none in time.
//
// A forwarder that starts receives a routing as soon as the control VMs have elected a leader, and
// callers connect before that. A caller whose request is refused immediately has used up one try.
// After a power loss of the whole site callers have used another try on forwarders that were
// unreachable, and their requests would be lost.
func (f *Forwarder) awaitRouting(ctx context.Context, within time.Duration) *routing.Table {
	if table := f.table.Load(); table != nil {
		return table
	}
	wait := maxRoutingWait
	if within > 0 {
		wait = min(wait, time.Duration(routingWaitShare*float64(within)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.routed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.table.Load()
}

// retryNotReady is the retry delay for callers of a forwarder that has just started: by then it has
// the routing, or the load balancer no longer sends requests to it.
const retryNotReady = 500 * time.Millisecond
