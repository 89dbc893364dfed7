package member

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TickEvery is how often Ticked comes at least.
const TickEvery = 200 * time.Millisecond

// Config sets times and bounds; zero fields take the defaults named.
type Config struct {
	// LeaseFor is how long a membership lives unrenewed; zero means 6s.
	LeaseFor time.Duration
	// Burst is how often a server may come back before it is held back, and
	// RefillEvery how long it takes to earn one more; zero means 6 and 3m.
	Burst       int
	RefillEvery time.Duration
	// MassMinimum is how many leases must lapse at once, and be more than half
	// of all, to look for the cause in the network; zero means 4.
	MassMinimum int
	// MaxBatch bounds the servers in one command; zero means 256.
	MaxBatch int
	// PermitFor is how long a permit lives unrenewed; zero means 15s.
	PermitFor time.Duration
}

func (c Config) withDefaults() Config {
	c.LeaseFor = cmp.Or(c.LeaseFor, 6*time.Second)
	c.Burst = cmp.Or(c.Burst, 6)
	c.RefillEvery = cmp.Or(c.RefillEvery, 3*time.Minute)
	c.MassMinimum = cmp.Or(c.MassMinimum, 4)
	c.MaxBatch = cmp.Or(c.MaxBatch, 256)
	c.PermitFor = cmp.Or(c.PermitFor, 15*time.Second)
	return c
}

// lease is what the leader knows of one backend server.
type lease struct {
	Announce message.Announce
	// Expires is zero once the membership has ended.
	Expires time.Time
	// Known is false while the server has only been seen in the log.
	Known bool
	// credit is how often the server may still come back, as of creditAt.
	credit   float64
	creditAt time.Time
	damped   bool
}

// State is the leader's membership and permits.
type State struct {
	config    Config
	leading   bool
	ledAt     time.Time
	tickedAt  time.Time
	view      declared.View
	leases    map[string]*lease
	permits   map[string]permit
	asks      map[string]ask
	proposing bool
	// unwritten are the servers that may differ from what the log has.
	unwritten map[string]bool
	// charged are the servers that the proposal in flight took credit from.
	charged []string
	// pools is the pool of each member in view; nil until it is needed.
	pools map[string]string
	// massAt is when lapses were last put down to the network.
	massAt time.Time
}

// New returns the state of a control VM that does not lead.
func New(config Config) *State {
	return &State{config: config.withDefaults()}
}

// Reduce takes one event and returns what is to be done.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Led:
		s.led(e)
	case Deposed:
		s.leading = false
		s.proposing = false
	case Committed:
		s.setView(e.View)
	case Proposed:
		return s.proposed(e)
	case Announced:
		return s.announced(e)
	case Asked:
		return s.asked(e)
	case Ticked:
		return s.tick(e.At)
	}
	return nil
}

// setView takes what the log has; any server may differ from it.
func (s *State) setView(v declared.View) {
	s.view = v
	s.pools = nil
	s.unwritten = make(map[string]bool, len(s.leases))
	for name := range s.leases {
		s.unwritten[name] = true
	}
}

// proposed ends a proposal. A failed one is tried again with the next tick,
// and gives back the credit that it took: a leader that can't write must not
// hold servers back for that.
func (s *State) proposed(e Proposed) []Effect {
	s.proposing = false
	charged := s.charged
	s.charged = nil
	if !e.Failed {
		return s.propose(e.At)
	}
	for _, name := range charged {
		if held, found := s.leases[name]; found {
			held.credit++
		}
	}
	return nil
}

// led starts a leadership. Nobody has renewed with this leader yet, so every
// member gets a whole lease from now: a new leader must not take servers that
// renewed with its predecessor for lost.
func (s *State) led(e Led) {
	s.leading = true
	s.ledAt = e.At
	s.tickedAt = e.At
	s.setView(e.View)
	s.proposing = false
	s.permits = map[string]permit{}
	s.asks = map[string]ask{}
	s.leases = map[string]*lease{}
	for name, server := range e.View.Servers {
		held := s.lease(name, e.At)
		held.Announce.Server = server
		held.Expires = e.At.Add(s.config.LeaseFor)
		s.unwritten[name] = true
	}
}

func (s *State) lease(name string, at time.Time) *lease {
	held, found := s.leases[name]
	if !found {
		held = &lease{credit: float64(s.config.Burst), creditAt: at}
		s.leases[name] = held
	}
	return held
}

func (s *State) announced(e Announced) []Effect {
	if !s.leading {
		return []Effect{Reply{Session: e.Session, Message: message.Announced{}}}
	}
	server := e.Announce.Server
	held := s.lease(server.Name, e.At)
	if server.Incarnation < held.Announce.Server.Incarnation {
		known := message.Announced{Incarnation: held.Announce.Server.Incarnation}
		return []Effect{
			Count{What: CountOutdated, Server: server.Name},
			Reply{Session: e.Session, Message: known},
		}
	}
	held.Announce = e.Announce
	held.Known = true
	s.unwritten[server.Name] = true
	held.Expires = e.At.Add(s.config.LeaseFor)
	if server.State == oriolebend.ServerGone { // a graceful stop needs no lapse
		held.Expires = time.Time{}
	}
	reply := Reply{Session: e.Session, Message: message.Announced{LeaseFor: s.config.LeaseFor, Clean: s.clean(server)}}
	return append([]Effect{reply}, s.propose(e.At)...)
}

// clean reports whether the log tells that no order of an earlier start of a
// server can be on its way: before any order that its work could not bear, a
// server is written down as loading.
func (s *State) clean(server oriolebend.Server) bool {
	written, member := s.view.Servers[server.Name]
	if !member {
		return !s.view.Interrupted[server.Name]
	}
	return written.Incarnation < server.Incarnation && written.State != oriolebend.ServerLoading
}

func (s *State) tick(at time.Time) []Effect {
	if !s.leading {
		return nil
	}
	effects := s.forgivePause(at)
	s.tickedAt = at
	effects = append(effects, s.lapse(at)...)
	s.lapsePermits(at)
	return append(effects, s.propose(at)...)
}

// forgivePause extends leases by the time that the leader itself stood still.
// Else a leader that was paused for longer than a lease would on waking drop
// every server, whose renewals lie unread in its sockets.
func (s *State) forgivePause(at time.Time) []Effect {
	paused := at.Sub(s.tickedAt)
	if paused <= s.config.LeaseFor/2 {
		return nil
	}
	for _, held := range s.leases {
		if !held.Expires.IsZero() {
			held.Expires = held.Expires.Add(paused)
		}
	}
	for name, p := range s.permits {
		p.Expires = p.Expires.Add(paused)
		s.permits[name] = p
	}
	return []Effect{Count{What: CountPaused}}
}

// lapse ends the leases that were not renewed. If more than half lapse at
// once, the likelier cause is that this control VM is cut off from servers
// that are well; they are kept for one lease more, in which a leader that is
// cut off from its quorum too is deposed.
func (s *State) lapse(at time.Time) []Effect {
	var lapsed []string
	living := 0
	for name, held := range s.leases {
		switch {
		case held.Expires.IsZero():
			s.forget(name, held, at)
		case !held.Expires.After(at):
			lapsed = append(lapsed, name)
		default:
			living++
		}
	}
	mass := len(lapsed) >= s.config.MassMinimum && len(lapsed) > living
	if mass && (s.massAt.IsZero() || at.Sub(s.massAt) > 10*s.config.LeaseFor) {
		s.massAt = at
		for _, name := range lapsed {
			s.leases[name].Expires = at.Add(s.config.LeaseFor)
		}
		return []Effect{Count{What: CountMassLapse}}
	}
	for _, name := range lapsed {
		s.leases[name].Expires = time.Time{}
		s.unwritten[name] = true
	}
	return nil
}

// forget drops what is known of a server that is gone and has earned its
// credit back.
func (s *State) forget(name string, held *lease, at time.Time) {
	_, member := s.view.Servers[name]
	if !member && s.creditOf(held, at) >= float64(s.config.Burst) {
		delete(s.leases, name)
	}
}

func (s *State) creditOf(held *lease, at time.Time) float64 {
	earned := at.Sub(held.creditAt).Seconds() / s.config.RefillEvery.Seconds()
	return min(float64(s.config.Burst), held.credit+max(0, earned))
}

// propose writes what changed into the log, as one command at a time: what
// changes meanwhile is joined in the next.
func (s *State) propose(at time.Time) []Effect {
	if !s.leading || s.proposing {
		return nil
	}
	var members declared.Members
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.unwritten)) {
		if len(members.Announced)+len(members.Gone) >= s.config.MaxBatch {
			break
		}
		effects = append(effects, s.proposeServer(name, at, &members)...)
	}
	if len(members.Announced)+len(members.Gone) == 0 {
		return effects
	}
	s.proposing = true
	return append(effects, Propose{Members: members})
}

// proposeServer adds what changed of one server. News that takes a server out
// of work is written at once. News that brings it back costs credit: a server
// that flaps would else fill the log and have every follower told each time.
func (s *State) proposeServer(name string, at time.Time, into *declared.Members) []Effect {
	held, known := s.leases[name]
	written, member := s.view.Servers[name]
	if !known || held.Expires.IsZero() {
		if member {
			into.Gone = append(into.Gone, declared.GoneServer{Name: name, Incarnation: written.Incarnation})
			return nil
		}
		delete(s.unwritten, name)
		return nil
	}
	server := held.Announce.Server
	if member && reflect.DeepEqual(written, server) {
		held.damped = false
		delete(s.unwritten, name)
		return nil
	}
	if !member || server.State == oriolebend.ServerServing {
		credit := s.creditOf(held, at)
		if credit < 1 {
			return damp(held, name)
		}
		held.credit = credit - 1
		held.creditAt = at
		s.charged = append(s.charged, name)
	}
	held.damped = false
	into.Announced = append(into.Announced, server)
	return nil
}

func damp(held *lease, name string) []Effect {
	if held.damped {
		return nil
	}
	held.damped = true
	return []Effect{Count{What: CountDamped, Server: name}}
}

// HeldBack lists the servers whose return is held back, by name.
func (s *State) HeldBack(at time.Time) []Held {
	var list []Held
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		held := s.leases[name]
		if !held.damped {
			continue
		}
		missing := 1 - s.creditOf(held, at)
		wait := time.Duration(missing * float64(s.config.RefillEvery))
		list = append(list, Held{Server: held.Announce.Server, For: max(0, wait)})
	}
	return list
}

// Announcements returns the latest announcement of each living server, by
// name; those only known from the log so far are left out.
func (s *State) Announcements() map[string]message.Announce {
	known := map[string]message.Announce{}
	for name, held := range s.leases {
		if held.Known && !held.Expires.IsZero() {
			known[name] = held.Announce
		}
	}
	return known
}
