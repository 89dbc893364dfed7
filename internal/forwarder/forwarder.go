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
	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Observer counts and measures; *metrics.Metrics is one.
type Observer interface {
	Count(what string, reason oriolebend.Reason, organisation string)
	Observe(what string, urgency oriolebend.Urgency, value float64)
}

// Config sets up a Forwarder. Dialect and Observer are required.
type Config struct {
	Dialect  Dialect
	Dispatch dispatch.Config
	Pool     backend.PoolConfig
	Observer Observer
	Logger   *slog.Logger
	// Places gives places at model engines; nil has the forwarder look for them
	// itself.
	Places Places
	// Quarantine knows the requests that crash servers; nil has the forwarder keep one
	// for itself.
	Quarantine *quarantine.Store
	// Quotas counts what organisations ask for, over all forwarders; nil has no quota
	// enforced.
	Quotas Quotas
	// Limits counts what is sent to servers that have named a limit, over all forwarders;
	// nil has the forwarder count for itself.
	Limits Limits
	// Current reports whether the routing in force is known to be the newest, as of a few
	// seconds ago; nil means that it always is.
	Current func() bool
	// MaxAnswerBytes bounds what is held of the answer of a plain call; the rest is passed on
	// as it comes. Zero means 16 MiB.
	MaxAnswerBytes int64
	// Held counts the answers that are held, beside the bodies of requests; nil counts nothing.
	Held *heldbytes.Account
}

const defaultMaxAnswerBytes = 16 << 20

// Forwarder carries routed requests of one forwarder.
type Forwarder struct {
	config Config
	pool   *backend.Pool
	start  time.Time

	table atomic.Pointer[routing.Table]
	// routed is closed once there is a routing.
	routed     chan struct{}
	routedOnce sync.Once

	mutex sync.Mutex
	state *dispatch.State
	// known counts the servers at each address, addresses names that of each.
	known     map[string]int
	addresses map[string]string

	patience patience
	endings  endings
	crowds   crowds

	background sync.WaitGroup
}

// New returns a forwarder that knows neither routes nor servers.
func New(c Config) *Forwarder {
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(quarantine.Config{SendsRequests: true, Logger: c.Logger})
	}
	if c.Limits == nil {
		c.Limits = newOwnLimits()
	}
	return &Forwarder{
		config:    c,
		pool:      backend.NewPool(c.Pool),
		start:     time.Now(),
		state:     dispatch.New(c.Dispatch),
		routed:    make(chan struct{}),
		known:     map[string]int{},
		addresses: map[string]string{},
		crowds:    crowds{most: int64(heldbytes.DefaultPeerShare * float64(c.Held.Limit()))},
	}
}

// now is the time since the start on the steady clock, as a time: the time of
// day can jump, and a budget or an avoidance must not jump with it.
func (f *Forwarder) now() time.Time { return f.start.Add(time.Since(f.start)) }

// SetRouting brings a routing into force. An older one is ignored.
func (f *Forwarder) SetRouting(r oriolebend.Routing) {
	if held := f.table.Load(); held != nil && held.Routing.Version >= r.Version {
		return
	}
	table := routing.NewTable(r)
	table.After(f.table.Load())
	f.table.Store(table)
	f.reduce(dispatch.Services{Services: r.Services})
	f.routedOnce.Do(func() { close(f.routed) })
	f.config.Logger.Info("routing in force", "version", r.Version, "routes", len(r.Routes), "services", len(r.Services))
}

// Version is the version of the routing in force; zero means none.
func (f *Forwarder) Version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Routing.Version
	}
	return 0
}

// Limits returns the bounds in force for callers.
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

// ChangeServers takes what has changed of the backend servers, and how many
// forwarders there are.
func (f *Forwarder) ChangeServers(changes registry.Changes, forwarders int) {
	f.mutex.Lock()
	for _, s := range changes.Servers {
		f.locate(s.Instance, s.Address)
	}
	for _, name := range changes.Left {
		f.locate(name, "")
	}
	f.mutex.Unlock()
	f.reduce(dispatch.FleetChanged{At: f.now(), Servers: changes.Servers, Left: changes.Left, Forwarders: forwarders})
}

// locate notes the address of an instance, empty if it has left. The mutex is held.
func (f *Forwarder) locate(instance, address string) {
	if before, known := f.addresses[instance]; known {
		if f.known[before]--; f.known[before] == 0 {
			delete(f.known, before)
		}
		delete(f.addresses, instance)
	}
	if address != "" {
		f.known[address]++
		f.addresses[instance] = address
	}
}

// Loads returns what was done with model engines since the last call.
func (f *Forwarder) Loads() []message.ServiceLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Loads()
}

// Expire closes connections to servers that are not in use.
func (f *Forwarder) Expire() {
	f.crowds.expire()
	f.pool.Expire(func(address string) bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.known[address] > 0
	})
}

// Dialled is how many connections to servers were opened.
func (f *Forwarder) Dialled() uint64 { return f.pool.Dialled() }

// Wait returns once the work that goes on behind answered requests has ended.
func (f *Forwarder) Wait() { f.background.Wait() }

func (f *Forwarder) reduce(e dispatch.Event) []reducer.Effect {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return reducer.Reduce(&reducer.State{Dispatch: f.state}, e)
}

// place asks the reducer where to send a request.
func (f *Forwarder) place(n dispatch.Need) (dispatch.Grant, *refusal) {
	effects := f.reduce(dispatch.Asked{At: f.now(), Need: n})
	switch e := effects[0].(type) {
	case dispatch.Granted:
		return e.Grant, nil
	case dispatch.Refused:
		return dispatch.Grant{}, &refusal{reason: e.Reason, after: e.RetryAfter}
	}
	return dispatch.Grant{}, &refusal{reason: oriolebend.ReasonInternal}
}

// mayRepeatAt asks the reducer whether a request may be sent to the same server
// once more.
func (f *Forwarder) mayRepeatAt(g dispatch.Grant) bool {
	effects := f.reduce(dispatch.AskedSame{At: f.now(), Grant: g})
	_, granted := effects[0].(dispatch.Granted)
	return granted
}

// refusesStill is why the server of a grant is not sent its request any more, empty if it is.
func (f *Forwarder) refusesStill(g dispatch.Grant) oriolebend.Reason {
	if r, refused := f.reduce(dispatch.AskedStill{At: f.now(), Grant: g})[0].(dispatch.Refused); refused {
		return r.Reason
	}
	return ""
}

// readTime is how long a prefill engine takes for a prompt.
func (f *Forwarder) readTime(service string, prompt int) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.ReadTime(service, prompt)
}

// loaded reports whether a route's service is overloaded, as far as this forwarder
// sees.
func (f *Forwarder) loaded(service string, target time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Loaded(f.now(), service, target)
}

// Serve answers one request; it is an http1.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *http1.Request, a *http1.Answer) {
	w := &work{f: f, request: r, answer: a}
	ask, err := f.config.Dialect.Ask(r.Header)
	w.ask = ask
	if err != nil {
		w.reject(http.StatusBadRequest, oriolebend.ReasonMalformed, err)
		return
	}
	table := f.awaitRouting(ctx, ask.Within)
	if table == nil {
		w.refuse(refusal{reason: oriolebend.ReasonControlAway, after: retryUnready})
		return
	}
	w.version = table.Routing.Version
	if !w.admit(table) {
		return
	}
	within := time.Duration(w.route.Timeout)
	if ask.Within > 0 {
		within = min(within, ask.Within)
	}
	w.deadline = r.Received.Add(within)
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	w.returned = f.patience.returned(w.route.Name, ask.Within)
	if !w.charge(ctx) {
		return
	}
	if w.route.Stream {
		w.stream(ctx)
		return
	}
	w.call(ctx)
}

// admit finds the route, organisation and service of a request; false means that it has
// been answered.
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
	w.service = table.Service(routing.Target(w.route, rand.Float64()))
	if w.service == nil {
		w.refuse(refusal{reason: oriolebend.ReasonUnknownService, after: retryUnready})
		return false
	}
	if left, held := w.f.config.Quarantine.Quarantined(w.fingerprint); held {
		w.refuse(refusal{reason: oriolebend.ReasonCrashesServers, after: left})
		return false
	}
	return true
}

const (
	// unroutedMost is for how long a request waits for the first routing at most, and
	// unroutedShare the part of its caller's time that it waits.
	unroutedMost  = time.Second
	unroutedShare = 0.6
)

// awaitRouting returns the routes in force, nil if there are none yet.
//
// A forwarder that starts has a routing as soon as control VMs have elected a leader, and
// callers come before that. Who is told at once to come back has spent a try on it: after a
// power loss of everything callers have spent another one on forwarders that were away, and
// what they asked for is lost.
func (f *Forwarder) awaitRouting(ctx context.Context, within time.Duration) *routing.Table {
	if table := f.table.Load(); table != nil {
		return table
	}
	wait := unroutedMost
	if within > 0 {
		wait = min(wait, time.Duration(unroutedShare*float64(within)))
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

// retryUnready is when a caller may come back to a forwarder that has just
// started: it has the routing by then, or the balancer has looked away.
const retryUnready = 500 * time.Millisecond
