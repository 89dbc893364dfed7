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

// TickEvery is the largest interval between two Ticked events.
const TickEvery = 200 * time.Millisecond

// Config sets times and limits; zero fields take the defaults given.
type Config struct {
	// LeaseFor is how long a membership is valid without a renewal; zero means 6s.
	LeaseFor time.Duration
	// Burst is how often a server may return before its return is delayed, and RefillEvery the
	// time in which it earns one more return; zero means 6 and 3m.
	Burst       int
	RefillEvery time.Duration
	// MassMinimum is the number of leases that must expire at once, and be more than half of all,
	// for the network to be taken as the cause; zero means 4.
	MassMinimum int
	// MaxBatch bounds the servers in one command; zero means 256.
	MaxBatch int
	// PermitFor is how long a permit is valid without a renewal; zero means 15s.
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

// lease is the state of one backend server at the leader.
type lease struct {
	Announce message.Announce
	// Expires is zero once the membership has ended.
	Expires time.Time
	// Known is false while the server is known from the log only.
	Known bool
	// credit is how often the server may still return without a delay, as of creditAt.
	credit   float64
	creditAt time.Time
	damped   bool
}

// State holds the membership and the permits at the leader.
type State struct {
	config    Config
	leading   bool
	ledAt     time.Time
	tickedAt  time.Time
	view      declared.View
	leases    map[string]*lease
	permits   map[string]permit
	requests  map[string]permitRequest
	proposing bool
	// unwritten are the servers whose state may differ from the log.
	unwritten map[string]bool
	// charged are the servers whose credit the proposal in flight has reduced.
	charged []string
	// pools maps each member in view to its pool; it is nil until it is needed.
	pools map[string]string
	// massExpiryAt is when expired leases were last attributed to the network.
	massExpiryAt time.Time
}

// New returns the state of a control VM that does not lead.
func New(config Config) *State {
	return &State{config: config.withDefaults()}
}

// Reduce applies one event to the state and returns the effects to carry out.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case LeadershipGained:
		s.startLeading(e)
	case Deposed:
		s.leading = false
		s.proposing = false
	case Committed:
		s.setView(e.View)
	case Proposed:
		return s.handleProposed(e)
	case Announced:
		return s.handleAnnounced(e)
	case PermitRequested:
		return s.handlePermit(e)
	case Ticked:
		return s.tick(e.At)
	}
	return nil
}

// setView adopts the state of the log; any server may differ from it.
func (s *State) setView(v declared.View) {
	s.view = v
	s.pools = nil
	s.unwritten = make(map[string]bool, len(s.leases))
	for name := range s.leases {
		s.unwritten[name] = true
	}
}

// handleProposed handles the end of a proposal. A failed one is retried at the next tick and its
// credit is returned: a leader that can't write must not delay servers for that.
func (s *State) handleProposed(e Proposed) []Effect {
	s.proposing = false
	charged := s.charged
	s.charged = nil
	if !e.Failed {
		return s.propose(e.At)
	}
	for _, name := range charged {
		if l, found := s.leases[name]; found {
			l.credit++
		}
	}
	return nil
}

// startLeading starts a leadership. No server has renewed its lease with this leader yet, so
// every member gets a full lease from now: a new leader must not treat servers that renewed with
// its predecessor as lost.
func (s *State) startLeading(e LeadershipGained) {
	s.leading = true
	s.ledAt = e.At
	s.tickedAt = e.At
	s.setView(e.View)
	s.proposing = false
	s.permits = map[string]permit{}
	s.requests = map[string]permitRequest{}
	s.leases = map[string]*lease{}
	for name, server := range e.View.Servers {
		l := s.lease(name, e.At)
		l.Announce.Server = server
		l.Expires = e.At.Add(s.config.LeaseFor)
		s.unwritten[name] = true
	}
}

func (s *State) lease(name string, at time.Time) *lease {
	l, found := s.leases[name]
	if !found {
		l = &lease{credit: float64(s.config.Burst), creditAt: at}
		s.leases[name] = l
	}
	return l
}

func (s *State) handleAnnounced(e Announced) []Effect {
	if !s.leading {
		return []Effect{Reply{Session: e.Session, Message: message.Announced{}}}
	}
	server := e.Announce.Server
	l := s.lease(server.Name, e.At)
	if server.Incarnation < l.Announce.Server.Incarnation {
		known := message.Announced{Incarnation: l.Announce.Server.Incarnation}
		return []Effect{
			Count{Name: CountOutdated, Server: server.Name},
			Reply{Session: e.Session, Message: known},
		}
	}
	l.Announce = e.Announce
	l.Known = true
	s.unwritten[server.Name] = true
	l.Expires = e.At.Add(s.config.LeaseFor)
	if server.State == oriolebend.ServerGone { // a graceful stop ends the lease at once
		l.Expires = time.Time{}
	}
	reply := Reply{Session: e.Session, Message: message.Announced{LeaseFor: s.config.LeaseFor, Clean: s.clean(server)}}
	return append([]Effect{reply}, s.propose(e.At)...)
}

// clean reports whether the log shows that no order to an earlier incarnation of a server can be
// in flight: before any order that is incompatible with its work, a server is recorded in the log
// as loading.
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
	effects := s.extendAfterPause(at)
	s.tickedAt = at
	effects = append(effects, s.expireLeases(at)...)
	s.expirePermits(at)
	return append(effects, s.propose(at)...)
}

// extendAfterPause extends leases and permits by the length of a pause of the leader's process.
// Otherwise a leader that was paused for longer than a lease would, on resuming, drop every
// server, although their renewals wait unread in its sockets.
func (s *State) extendAfterPause(at time.Time) []Effect {
	paused := at.Sub(s.tickedAt)
	if paused <= s.config.LeaseFor/2 {
		return nil
	}
	for _, l := range s.leases {
		if !l.Expires.IsZero() {
			l.Expires = l.Expires.Add(paused)
		}
	}
	for name, p := range s.permits {
		p.Expires = p.Expires.Add(paused)
		s.permits[name] = p
	}
	return []Effect{Count{Name: CountPaused}}
}

// expireLeases ends the leases that were not renewed. If more than half expire at once, this
// control VM is probably cut off from healthy servers. These get one more lease, during which a
// leader that is cut off from its quorum too is deposed. Within ten lease times this happens at
// most once.
func (s *State) expireLeases(at time.Time) []Effect {
	var expired []string
	valid := 0
	for name, l := range s.leases {
		switch {
		case l.Expires.IsZero():
			s.forget(name, l, at)
		case !l.Expires.After(at):
			expired = append(expired, name)
		default:
			valid++
		}
	}
	mass := len(expired) >= s.config.MassMinimum && len(expired) > valid
	if mass && (s.massExpiryAt.IsZero() || at.Sub(s.massExpiryAt) > 10*s.config.LeaseFor) {
		s.massExpiryAt = at
		for _, name := range expired {
			s.leases[name].Expires = at.Add(s.config.LeaseFor)
		}
		return []Effect{Count{Name: CountMassExpiry}}
	}
	for _, name := range expired {
		s.leases[name].Expires = time.Time{}
		s.unwritten[name] = true
	}
	return nil
}

// forget drops the lease of a server that is no member any more and has earned its credit back.
func (s *State) forget(name string, l *lease, at time.Time) {
	_, member := s.view.Servers[name]
	if !member && s.creditOf(l, at) >= float64(s.config.Burst) {
		delete(s.leases, name)
	}
}

func (s *State) creditOf(l *lease, at time.Time) float64 {
	earned := at.Sub(l.creditAt).Seconds() / s.config.RefillEvery.Seconds()
	return min(float64(s.config.Burst), l.credit+max(0, earned))
}

// propose writes the changes to the log, one command at a time; changes that occur meanwhile are
// combined in the next command.
func (s *State) propose(at time.Time) []Effect {
	if !s.leading || s.proposing {
		return nil
	}
	var members declared.Members
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.unwritten)) {
		if len(members.Announced)+len(members.Ended) >= s.config.MaxBatch {
			break
		}
		effects = append(effects, s.proposeServer(name, at, &members)...)
	}
	if len(members.Announced)+len(members.Ended) == 0 {
		return effects
	}
	s.proposing = true
	return append(effects, Propose{Members: members})
}

// proposeServer adds the change of one server. A change that takes a server out of work is
// written at once. A change that brings a server back costs credit: otherwise a flapping server
// would fill the log, and every follower would be notified each time.
func (s *State) proposeServer(name string, at time.Time, into *declared.Members) []Effect {
	l, known := s.leases[name]
	written, member := s.view.Servers[name]
	if !known || l.Expires.IsZero() {
		if member {
			into.Ended = append(into.Ended, declared.EndedMember{Name: name, Incarnation: written.Incarnation})
			return nil
		}
		delete(s.unwritten, name)
		return nil
	}
	server := l.Announce.Server
	if member && reflect.DeepEqual(written, server) {
		l.damped = false
		delete(s.unwritten, name)
		return nil
	}
	if !member || server.State == oriolebend.ServerServing {
		credit := s.creditOf(l, at)
		if credit < 1 {
			return markDamped(l, name)
		}
		l.credit = credit - 1
		l.creditAt = at
		s.charged = append(s.charged, name)
	}
	l.damped = false
	into.Announced = append(into.Announced, server)
	return nil
}

func markDamped(l *lease, name string) []Effect {
	if l.damped {
		return nil
	}
	l.damped = true
	return []Effect{Count{Name: CountDamped, Server: name}}
}

// Damped returns the servers whose return is delayed, ordered by name.
func (s *State) Damped(at time.Time) []DampedServer {
	var list []DampedServer
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[name]
		if !l.damped {
			continue
		}
		missing := 1 - s.creditOf(l, at)
		wait := time.Duration(missing * float64(s.config.RefillEvery))
		list = append(list, DampedServer{Server: l.Announce.Server, For: max(0, wait)})
	}
	return list
}

// Announcements returns the latest announcement of each server with a valid lease, by name;
// servers that are known from the log only are left out.
func (s *State) Announcements() map[string]message.Announce {
	known := map[string]message.Announce{}
	for name, l := range s.leases {
		if l.Known && !l.Expires.IsZero() {
			known[name] = l.Announce
		}
	}
	return known
}
