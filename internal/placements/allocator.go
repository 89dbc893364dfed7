// Package placements connects forwarders with the control VM that grants placements at model
// engines: an Allocator runs in each control VM, a Client in each forwarder. The reducer of package
// placement decides which requests get a placement.
package placements

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/placement"
	"github.com/oriolebend/oriolebend/internal/reducer/ranks"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// tickInterval is how often waiting requests are reconsidered: an engine that was found full is
	// tried again half a second later, or earlier if work ends there.
	tickInterval = 50 * time.Millisecond
	// summaryInterval is how often a summary is logged while placements are short.
	summaryInterval = time.Second
)

// Allocator grants forwarders placements at model engines while its control VM leads.
//
// Each forwarder sees only its own share of an engine's work. If many forwarders search for the
// last free memory on their own, most tries meet a full engine, memory stays idle until it is
// found, and requests that are already late take it from requests that could be in time. One
// process that knows all placements finds free memory immediately and assigns it in the right
// order. A placement is only a hint: the engine's own reservation decides, and without a leader
// forwarders choose engines themselves.
type Allocator struct {
	// Leads reports whether this control VM leads, Replaced whether another one is known to lead.
	Leads, Replaced func() bool
	Logger          *slog.Logger
	// IgnoreSpeeds makes no difference between fast and slow engines.
	IgnoreSpeeds bool
	// Count counts an event for the metrics; nil counts nothing.
	Count func(event string)
	// DisableRanks lets ranks only order the waiting requests.
	DisableRanks bool

	mutex    sync.Mutex
	state    *reducer.State
	sessions map[uint64]session
	// nodes holds the session of each forwarder.
	nodes       map[string]uint64
	lastSession uint64
	routing     oriolebend.Routing
	servers     registry.Servers
	// active is set while placements are granted: from when this control VM leads until another one
	// is known to lead. Placements are hints, so that two allocators may be active for a moment. A
	// group without a quorum elects no leader for as long as it is partitioned; if no placements
	// were granted during that time, each forwarder would search for the last free memory on its
	// own.
	active bool
	// speedsLogged is when the speeds of the engines were last logged.
	speedsLogged time.Time
}

var _ routewatch.Sink = (*Allocator)(nil)

// session is a session with a forwarder.
type session struct {
	*peer.Outbox
	// failureDomain is the failure domain of the forwarder.
	failureDomain string
}

// Prepare initializes the allocator; it must be called before any other method.
func (a *Allocator) Prepare() {
	a.sessions, a.nodes = map[uint64]session{}, map[string]uint64{}
	a.servers = registry.Servers{}
	a.reset()
}

// reset discards all placements. The mutex must be held, unless no other goroutine can use the
// allocator yet.
func (a *Allocator) reset() {
	a.state = &reducer.State{Placement: placement.New(uint64(time.Now().UnixNano()))}
	if a.IgnoreSpeeds {
		a.state.Placement.IgnoreSpeeds()
	}
	a.reduce(placement.Configured{DisableRanks: a.DisableRanks})
	a.reduce(a.fleet())
}

// Run serves waiting requests until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	summarized := time.Now()
	for pause.For(ctx, tickInterval) {
		leads, replaced := a.Leads(), a.Replaced()
		a.mutex.Lock()
		if a.active && time.Since(summarized) >= summaryInterval {
			summarized = time.Now()
			a.summarize(summarized)
			a.logSpeeds(summarized)
		}
		if a.active && !leads && replaced {
			a.stepDown()
		}
		a.active = leads || a.active && !replaced
		a.reduce(placement.Ticked{At: time.Now()})
		a.mutex.Unlock()
	}
}

// summarize logs the state of the placements if requests wait or engines were found full. The mutex
// must be held.
func (a *Allocator) summarize(at time.Time) {
	s := a.state.Placement.Summarize(at)
	if s.Waiting == 0 && s.Full == 0 {
		return
	}
	for service, free := range s.FreeShare {
		a.Logger.Info("places are short", "service", service, "freeShare", free, "waiting", s.Waiting,
			"places", s.Placements, "granted", s.Granted, "full", s.Full, "hopeless", s.Unservable, "returned", s.Returned,
			"refusedByRank", rankCounts(s.RefusedByRank), "reserved", s.Reserved)
	}
}

// stepDown ends all sessions; the next leader grants placements. The mutex must be held.
func (a *Allocator) stepDown() {
	for _, o := range a.sessions {
		o.End()
	}
	a.reset()
	a.Logger.Info("placement allocator stopped, another control VM leads")
}

// reduce passes an event to the reducer and sends the resulting answers. The mutex must be held.
func (a *Allocator) reduce(e placement.Event) {
	for _, effect := range reducer.Reduce(a.state, e) {
		answer, ok := effect.(placement.Answer)
		if !ok {
			continue
		}
		if session, open := a.sessions[answer.Key.Session]; open {
			session.Put(answerMessage(answer))
		}
	}
}

func answerMessage(a placement.Answer) message.PlaceAnswer {
	m := message.PlaceAnswer{ID: a.Key.ID}
	if a.Refused != nil {
		m.Reason, m.RetryAfter = a.Refused.Reason, a.Refused.RetryAfter
		return m
	}
	server := a.Grant.Server
	m.Server, m.Prefill, m.Ahead = &server, a.Grant.Prefill, a.Grant.Ahead
	return m
}

// Serve is the peer.Handler for forwarders that request placements.
func (a *Allocator) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	open, ok := first.(message.PlaceOpen)
	if err != nil || !ok || !a.isActive() {
		return
	}
	o := peer.NewOutbox(s)
	session := a.startSession(o, open)
	defer a.endSession(session)
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	go o.Write()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		event, ok := m.(message.PlaceEvent)
		if !ok {
			return
		}
		a.applyEvent(session, event)
	}
}

// isActive reports whether placements are granted here. A control VM that has just started and
// already leads may not know the services yet; it would refuse requests for unknown services,
// although forwarders can choose engines for them.
func (a *Allocator) isActive() bool {
	leads := a.Leads()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.routing.Version > 0 && (leads || a.active)
}

func (a *Allocator) startSession(o *peer.Outbox, open message.PlaceOpen) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if earlier := a.nodes[open.Node]; earlier != 0 {
		// The new session reports all placements that the forwarder still uses. Those of an earlier
		// process of the forwarder ended with that process.
		a.closeSession(earlier)
		a.reduce(placement.SessionLost{At: time.Now(), Session: earlier})
	}
	a.lastSession++
	a.sessions[a.lastSession] = session{Outbox: o, failureDomain: open.FailureDomain}
	a.nodes[open.Node] = a.lastSession
	a.reduce(placement.SpeedsReported{At: time.Now(), Speeds: open.Speeds})
	for _, q := range open.Held {
		a.reduce(placement.Resumed{
			At: time.Now().Add(-q.Age), Key: placement.Key{Session: a.lastSession, ID: q.ID}, Need: needOf(q),
			Server:  message.ServerStart{Instance: q.Server, Incarnation: q.ServerStart},
			Prefill: message.ServerStart{Instance: q.Prefill, Incarnation: q.PrefillStart},
		})
	}
	a.Logger.Info("placement allocator serves a forwarder", "forwarder", open.Node, "held", len(open.Held), "forwarders", len(a.sessions))
	return a.lastSession
}

func (a *Allocator) endSession(session uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closeSession(session)
}

// closeSession ends a session; its placements are kept for a while. The mutex must be held.
func (a *Allocator) closeSession(session uint64) {
	if s, open := a.sessions[session]; open {
		delete(a.sessions, session)
		s.End()
		a.reduce(placement.SessionDisconnected{At: time.Now(), Session: session})
	}
}

func needOf(q message.PlacementRequest) dispatch.Need {
	return dispatch.Need{
		Service: q.Service, Prompt: q.Prompt, Output: q.Output, Tried: q.Tried, Excluded: q.Excluded,
		FirstWithin: q.FirstWithin, PauseWithin: q.PauseWithin, Origin: q.Origin,
	}
}

// applyEvent passes one step of a placement request to the reducer.
func (a *Allocator) applyEvent(session uint64, m message.PlaceEvent) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	key := placement.Key{Session: session, ID: m.ID}
	switch m.Step {
	case message.PlaceAsked:
		if q := m.Request; q != nil {
			need := needOf(*q)
			need.FailureDomain = a.sessions[session].failureDomain
			if m.Remaining > 0 {
				need.Deadline = now.Add(m.Remaining)
			}
			a.reduce(placement.Requested{
				At: now, Key: key, Need: need, Rank: ranks.Combine(q.Rank, q.RouteRank), Call: q.Call, InTime: now.Add(q.InTime), Until: now.Add(q.Within),
			})
		}
	case message.PlaceProbed:
		if s, open := a.sessions[session]; open {
			s.Put(message.PlaceAnswer{})
		}
	case message.PlaceWithdrawn:
		a.reduce(placement.Withdrawn{At: now, Key: key})
	case message.PlaceRead:
		a.reduce(placement.PrefillEnded{At: now, Key: key, Took: m.Took, Failed: m.Failed, Unused: m.Unused})
	case message.PlaceEnded:
		a.reduce(placement.Ended{
			At: now, Key: key, Outcome: dispatch.Outcome(m.Outcome), Took: m.Took, Writing: m.Writing, Events: m.Events,
		})
	}
}

// fleet returns the known services and engines. The mutex must be held.
func (a *Allocator) fleet() placement.Fleet {
	return placement.Fleet{
		Services: dispatch.Services{Services: a.routing.Services},
		Servers:  dispatch.Fleet{At: time.Now(), Servers: a.servers.List(), Forwarders: 1},
	}
}

// SetRouting implements routewatch.Sink.
func (a *Allocator) SetRouting(r oriolebend.Routing) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if r.Version > a.routing.Version {
		a.routing = r
		a.reduce(a.fleet())
	}
}

// ChangeServers implements routewatch.Sink.
func (a *Allocator) ChangeServers(changes registry.Changes, _ int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.servers.Apply(changes)
	a.reduce(placement.FleetChanged{At: time.Now(), Servers: changes.Servers, Left: changes.Left, Forwarders: 1})
}

// Version implements routewatch.Sink.
func (a *Allocator) Version() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.routing.Version
}

// Loads implements routewatch.Sink; a control VM causes no load on engines.
func (a *Allocator) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (a *Allocator) Expire() {}
