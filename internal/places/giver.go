// Package places carries what forwarders ask of whoever gives places at model engines, and
// the answers: a Giver in each control VM, a Client in each forwarder.
package places

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
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// giveEvery is how often requests that wait are looked through: an engine
	// that was found full is asked again after a tenth of a second.
	giveEvery = 50 * time.Millisecond
	// summaryEvery is how often the places are logged while they are short.
	summaryEvery = time.Second
)

// Giver gives forwarders places at model engines while its control VM leads.
//
// Each forwarder sees only its own share of an engine's work. While many look for
// the last free memory on their own, most tries meet a full engine, memory lies
// idle for as long as it takes to find it, and requests that are late already
// take it from those that could be in time. One process that knows all places
// finds it at once, and in the right order. Its word is no more than a hint: the
// engine's own reservation decides, and without a leader forwarders look for
// themselves.
type Giver struct {
	// Leads reports whether this control VM leads, Replaced whether another one is
	// known to.
	Leads, Replaced func() bool
	Logger          *slog.Logger

	mutex    sync.Mutex
	state    *reducer.State
	sessions map[uint64]session
	// nodes holds the session of each forwarder.
	nodes   map[string]uint64
	last    uint64
	routing oriolebend.Routing
	servers registry.Servers
	// giving is set while places are given: from when this control VM leads until
	// another one is known to. Places are hints, so that two who give them for a
	// moment break nothing. A group without a quorum elects nobody for as long as it
	// is cut in two; were there no places meanwhile, each forwarder would look for
	// the last free memory on its own.
	giving bool
}

var _ routewatch.Sink = (*Giver)(nil)

// session is a session of a forwarder.
type session struct {
	*peer.Outbox
	// failureDomain is where the forwarder stands.
	failureDomain string
}

// Prepare makes the giver ready; it must be called before all else.
func (g *Giver) Prepare() {
	g.sessions, g.nodes = map[uint64]session{}, map[string]uint64{}
	g.servers = registry.Servers{}
	g.reset()
}

// reset forgets all places. The mutex is held, or nobody else knows p yet.
func (g *Giver) reset() {
	g.state = &reducer.State{Placement: placement.New(uint64(time.Now().UnixNano()))}
	g.reduce(g.fleet())
}

// Run serves those that wait until ctx ends.
func (g *Giver) Run(ctx context.Context) {
	told := time.Now()
	for pause.For(ctx, giveEvery) {
		leads, replaced := g.Leads(), g.Replaced()
		g.mutex.Lock()
		if g.giving && time.Since(told) >= summaryEvery {
			told = time.Now()
			g.summarize(told)
		}
		if g.giving && !leads && replaced {
			g.abdicate()
		}
		g.giving = leads || g.giving && !replaced
		g.reduce(placement.Ticked{At: time.Now()})
		g.mutex.Unlock()
	}
}

// summarize logs what the places are, while anybody waits. The mutex is held.
func (g *Giver) summarize(at time.Time) {
	s := g.state.Placement.Summarize(at)
	if s.Waiting == 0 && s.Full == 0 {
		return
	}
	for service, free := range s.FreeShare {
		g.Logger.Info("places are short", "service", service, "freeShare", free, "waiting", s.Waiting,
			"places", s.Placements, "granted", s.Granted, "full", s.Full, "hopeless", s.Unservable, "returned", s.Returned)
	}
}

// abdicate ends all sessions; the next leader gives the places. The mutex is
// held.
func (g *Giver) abdicate() {
	for _, o := range g.sessions {
		o.End()
	}
	g.reset()
	g.Logger.Info("gives no more places, another control VM leads")
}

// reduce feeds the reducer and sends its answers. The mutex is held.
func (g *Giver) reduce(e placement.Event) {
	for _, effect := range reducer.Reduce(g.state, e) {
		answer, ok := effect.(placement.Answer)
		if !ok {
			continue
		}
		if session, open := g.sessions[answer.Key.Session]; open {
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

// Serve is the peer.Handler for forwarders that ask for places.
func (g *Giver) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	open, ok := first.(message.PlaceOpen)
	if err != nil || !ok || !g.gives() {
		return
	}
	o := peer.NewOutbox(s)
	session := g.begin(o, open)
	defer g.end(session)
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
		g.take(session, event)
	}
}

// gives reports whether places are given here. One that has just started and leads
// already may not know the services yet; asked for a place, it would refuse what it
// does not know, where forwarders can find one themselves.
func (g *Giver) gives() bool {
	leads := g.Leads()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.routing.Version > 0 && (leads || g.giving)
}

func (g *Giver) begin(o *peer.Outbox, open message.PlaceOpen) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if earlier := g.nodes[open.Node]; earlier != 0 {
		// What it had counts no more: it tells of what it still has, and what a
		// process before it had ended with that.
		g.silence(earlier)
		g.reduce(placement.SessionLost{At: time.Now(), Session: earlier})
	}
	g.last++
	g.sessions[g.last] = session{Outbox: o, failureDomain: open.FailureDomain}
	g.nodes[open.Node] = g.last
	for _, q := range open.Held {
		g.reduce(placement.Resumed{
			At: time.Now().Add(-q.Age), Key: placement.Key{Session: g.last, ID: q.ID}, Need: needOf(q),
			Server:  message.ServerStart{Instance: q.Server, Incarnation: q.ServerStart},
			Prefill: message.ServerStart{Instance: q.Prefill, Incarnation: q.PrefillStart},
		})
	}
	g.Logger.Info("gives places", "forwarder", open.Node, "held", len(open.Held), "forwarders", len(g.sessions))
	return g.last
}

func (g *Giver) end(session uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.silence(session)
}

// silence ends a session; its places are kept for a while. The mutex is held.
func (g *Giver) silence(session uint64) {
	if s, open := g.sessions[session]; open {
		delete(g.sessions, session)
		s.End()
		g.reduce(placement.SessionDisconnected{At: time.Now(), Session: session})
	}
}

func needOf(q message.PlaceQuestion) dispatch.Need {
	return dispatch.Need{
		Service: q.Service, Prompt: q.Prompt, Output: q.Output, Tried: q.Tried, Excluded: q.Excluded,
		FirstWithin: q.FirstWithin, PauseWithin: q.PauseWithin,
	}
}

// take feeds one step of a question to the reducer.
func (g *Giver) take(session uint64, m message.PlaceEvent) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	key := placement.Key{Session: session, ID: m.ID}
	switch m.Step {
	case message.PlaceAsked:
		if q := m.Question; q != nil {
			need := needOf(*q)
			need.FailureDomain = g.sessions[session].failureDomain
			g.reduce(placement.Requested{
				At: now, Key: key, Need: need, Rank: q.Rank, Call: q.Call, InTime: now.Add(q.InTime), Until: now.Add(q.Within),
			})
		}
	case message.PlaceProbed:
		if s, open := g.sessions[session]; open {
			s.Put(message.PlaceAnswer{})
		}
	case message.PlaceWithdrawn:
		g.reduce(placement.Withdrawn{At: now, Key: key})
	case message.PlaceRead:
		g.reduce(placement.PrefillEnded{At: now, Key: key, Took: m.Took, Failed: m.Failed, Unused: m.Unused})
	case message.PlaceEnded:
		g.reduce(placement.Ended{At: now, Key: key, Outcome: dispatch.Outcome(m.Outcome), Took: m.Took})
	}
}

// fleet is what is known of engines. The mutex is held.
func (g *Giver) fleet() placement.Fleet {
	return placement.Fleet{
		Services: dispatch.Services{Services: g.routing.Services},
		Servers:  dispatch.Fleet{At: time.Now(), Servers: g.servers.List(), Forwarders: 1},
	}
}

// SetRouting implements routewatch.Sink.
func (g *Giver) SetRouting(r oriolebend.Routing) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.Version > g.routing.Version {
		g.routing = r
		g.reduce(g.fleet())
	}
}

// ChangeServers implements routewatch.Sink.
func (g *Giver) ChangeServers(changes registry.Changes, _ int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.servers.Apply(changes)
	g.reduce(placement.FleetChanged{At: time.Now(), Servers: changes.Servers, Left: changes.Left, Forwarders: 1})
}

// Version implements routewatch.Sink.
func (g *Giver) Version() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.routing.Version
}

// Loads implements routewatch.Sink; a control VM puts no load on engines.
func (g *Giver) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (g *Giver) Expire() {}
