package role

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/placement"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// placeEvery is how often requests that wait are looked through: an engine
	// that was found full is asked again after a tenth of a second.
	placeEvery = 50 * time.Millisecond
	// summaryEvery is how often the places are logged while they are short.
	summaryEvery = time.Second
)

// Placer gives forwarders places at model engines while its control VM leads.
//
// Each forwarder sees only its own share of an engine's work. While many look for
// the last free memory on their own, most tries meet a full engine, memory lies
// idle for as long as it takes to find it, and requests that are late already
// take it from those that could be in time. One process that knows all places
// finds it at once, and in the right order. Its word is no more than a hint: the
// engine's own reservation decides, and without a leader forwarders look for
// themselves.
type Placer struct {
	// Leads reports whether this control VM leads, Replaced whether another one is
	// known to.
	Leads, Replaced func() bool
	Logger          *slog.Logger

	mutex    sync.Mutex
	state    *reducer.State
	sessions map[uint64]placeSession
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

var _ routewatch.Sink = (*Placer)(nil)

// placeSession is a session of a forwarder.
type placeSession struct {
	*peer.Outbox
	// failureDomain is where the forwarder stands.
	failureDomain string
}

// Prepare makes the placer ready; it must be called before all else.
func (p *Placer) Prepare() {
	p.sessions, p.nodes = map[uint64]placeSession{}, map[string]uint64{}
	p.servers = registry.Servers{}
	p.reset()
}

// reset forgets all places. The mutex is held, or nobody else knows p yet.
func (p *Placer) reset() {
	p.state = &reducer.State{Placement: placement.New(newIncarnation())}
	p.reduce(p.fleet())
}

// Run serves those that wait until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	told := time.Now()
	for wait(ctx, placeEvery); ctx.Err() == nil; wait(ctx, placeEvery) {
		leads, replaced := p.Leads(), p.Replaced()
		p.mutex.Lock()
		if p.giving && time.Since(told) >= summaryEvery {
			told = time.Now()
			p.summarize(told)
		}
		if p.giving && !leads && replaced {
			p.abdicate()
		}
		p.giving = leads || p.giving && !replaced
		p.reduce(placement.Ticked{At: time.Now()})
		p.mutex.Unlock()
	}
}

// summarize logs what the places are, while anybody waits. The mutex is held.
func (p *Placer) summarize(at time.Time) {
	s := p.state.Placement.Summarize(at)
	if s.Waiting == 0 && s.Full == 0 {
		return
	}
	for service, free := range s.FreeShare {
		p.Logger.Info("places are short", "service", service, "freeShare", free, "waiting", s.Waiting,
			"places", s.Places, "granted", s.Granted, "full", s.Full, "hopeless", s.Hopeless, "returned", s.Returned)
	}
}

// abdicate ends all sessions; the next leader gives the places. The mutex is
// held.
func (p *Placer) abdicate() {
	for _, o := range p.sessions {
		o.End()
	}
	p.reset()
	p.Logger.Info("gives no more places, another control VM leads")
}

// reduce feeds the reducer and sends its answers. The mutex is held.
func (p *Placer) reduce(e placement.Event) {
	for _, effect := range reducer.Reduce(p.state, e) {
		answer, ok := effect.(placement.Answer)
		if !ok {
			continue
		}
		if session, open := p.sessions[answer.Key.Session]; open {
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
func (p *Placer) Serve(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	open, ok := first.(message.PlaceOpen)
	if err != nil || !ok || !p.gives() {
		return
	}
	o := peer.NewOutbox(s)
	session := p.begin(o, open)
	defer p.end(session)
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
		p.take(session, event)
	}
}

// gives reports whether places are given here. One that has just started and leads
// already may not know the services yet; asked for a place, it would refuse what it
// does not know, where forwarders can find one themselves.
func (p *Placer) gives() bool {
	leads := p.Leads()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.routing.Version > 0 && (leads || p.giving)
}

func (p *Placer) begin(o *peer.Outbox, open message.PlaceOpen) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if earlier := p.nodes[open.Node]; earlier != 0 {
		// What it had counts no more: it tells of what it still has, and what a
		// process before it had ended with that.
		p.silence(earlier)
		p.reduce(placement.SessionLost{At: time.Now(), Session: earlier})
	}
	p.last++
	p.sessions[p.last] = placeSession{Outbox: o, failureDomain: open.FailureDomain}
	p.nodes[open.Node] = p.last
	for _, q := range open.Held {
		p.reduce(placement.Resumed{
			At: time.Now().Add(-q.Age), Key: placement.Key{Session: p.last, ID: q.ID}, Need: needOf(q),
			Server:  dispatch.Engine{Instance: q.Server, Incarnation: q.ServerStart},
			Prefill: dispatch.Engine{Instance: q.Prefill, Incarnation: q.PrefillStart},
		})
	}
	p.Logger.Info("gives places", "forwarder", open.Node, "held", len(open.Held), "forwarders", len(p.sessions))
	return p.last
}

func (p *Placer) end(session uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silence(session)
}

// silence ends a session; its places are kept for a while. The mutex is held.
func (p *Placer) silence(session uint64) {
	if s, open := p.sessions[session]; open {
		delete(p.sessions, session)
		s.End()
		p.reduce(placement.SessionSilent{At: time.Now(), Session: session})
	}
}

func needOf(q message.PlaceQuestion) dispatch.Need {
	return dispatch.Need{
		Service: q.Service, Prompt: q.Prompt, Output: q.Output, Tried: q.Tried,
		FirstWithin: q.FirstWithin, PauseWithin: q.PauseWithin,
	}
}

// take feeds one step of a question to the reducer.
func (p *Placer) take(session uint64, m message.PlaceEvent) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	key := placement.Key{Session: session, ID: m.ID}
	switch m.Step {
	case message.PlaceAsked:
		if q := m.Question; q != nil {
			need := needOf(*q)
			need.FailureDomain = p.sessions[session].failureDomain
			p.reduce(placement.Asked{
				At: now, Key: key, Need: need, Rank: q.Rank, Call: q.Call, InTime: now.Add(q.InTime), Until: now.Add(q.Within),
			})
		}
	case message.PlaceProbed:
		if s, open := p.sessions[session]; open {
			s.Put(message.PlaceAnswer{})
		}
	case message.PlaceWithdrawn:
		p.reduce(placement.Withdrawn{At: now, Key: key})
	case message.PlaceRead:
		p.reduce(placement.PromptRead{At: now, Key: key, Took: m.Took, Failed: m.Failed, Unused: m.Unused})
	case message.PlaceEnded:
		p.reduce(placement.Ended{At: now, Key: key, Outcome: dispatch.Outcome(m.Outcome), Took: m.Took})
	}
}

// fleet is what is known of engines. The mutex is held.
func (p *Placer) fleet() placement.Fleet {
	return placement.Fleet{
		Services: dispatch.Services{Services: p.routing.Services},
		Servers:  dispatch.Fleet{At: time.Now(), Servers: p.servers.List(), Forwarders: 1},
	}
}

// SetRouting implements routewatch.Sink.
func (p *Placer) SetRouting(r oriolebend.Routing) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r.Version > p.routing.Version {
		p.routing = r
		p.reduce(p.fleet())
	}
}

// ChangeServers implements routewatch.Sink.
func (p *Placer) ChangeServers(changes registry.Changes, _ int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers.Apply(changes)
	p.reduce(placement.FleetChanged{At: time.Now(), Servers: changes.Servers, Left: changes.Left, Forwarders: 1})
}

// Version implements routewatch.Sink.
func (p *Placer) Version() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.routing.Version
}

// Loads implements routewatch.Sink; a control VM puts no load on engines.
func (p *Placer) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (p *Placer) Expire() {}
