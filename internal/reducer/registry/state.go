// Package registry is the reducer of what a control VM knows of the backend
// servers that announce themselves to it, and the view in which a forwarder joins
// what several control VMs tell. It is pure: time comes in events.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Defaults of Config.
const (
	// DefaultSilentAfter is three missed announcements of the slowest period
	// in use (1.5 s) and a little.
	DefaultSilentAfter = 5 * time.Second
	// DefaultForgetAfter is longer than any announcement is late: until then a
	// late one of a server that is gone can be told from a new server.
	DefaultForgetAfter = 2 * time.Minute
)

// Config sets up a State.
type Config struct {
	// SilentAfter is how long a server may say nothing before it is passed on
	// as silent; zero means DefaultSilentAfter.
	SilentAfter time.Duration
	// ForgetAfter is how long a server that is gone or silent is remembered;
	// zero means DefaultForgetAfter.
	ForgetAfter time.Duration
}

// State is what one control VM knows. Only Reduce changes it.
type State struct {
	config  Config
	servers map[string]*known
	// changing are the instances that change their role. One may have announced
	// itself to other control VMs only.
	changing map[string]change
	// holders names, for each address, the instance that announced it last.
	holders map[string]string
}

// known is one instance and when it was last heard of.
type known struct {
	server message.BackendServer
	heard  time.Time
	// superseded is set while another instance holds the address.
	superseded bool
}

// change is a start of an instance that changes its role until a time.
type change struct {
	incarnation uint64
	until       time.Time
}

// New returns an empty state.
func New(c Config) *State {
	c.SilentAfter = cmp.Or(c.SilentAfter, DefaultSilentAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	return &State{config: c, servers: map[string]*known{}, changing: map[string]change{}, holders: map[string]string{}}
}

// Event changes a State.
type Event interface{ isRegistryEvent() }

// Announced is one announcement of a backend server.
type Announced struct {
	At     time.Time
	Server message.BackendServer
}

// Withdrawn says that an instance leaves for good. Incarnation is the start that
// leaves, zero if the instance did not say.
type Withdrawn struct {
	At          time.Time
	Instance    string
	Incarnation uint64
}

// RoleChangeOrdered says that a start of an instance is about to be ordered to change its
// role, and is away until a time.
type RoleChangeOrdered struct {
	Instance    string
	Incarnation uint64
	Until       time.Time
}

// Ticked passes time.
type Ticked struct{ At time.Time }

func (Announced) isRegistryEvent()   {}
func (Withdrawn) isRegistryEvent()   {}
func (RoleChangeOrdered) isRegistryEvent() {}
func (Ticked) isRegistryEvent()      {}

// Effect is what the caller of Reduce has to do.
type Effect interface{ isRegistryEffect() }

// Changed asks to pass a server on to all that watch.
type Changed struct{ Server message.BackendServer }

func (Changed) isRegistryEffect() {}

// Reduce moves the state on and returns what is to be done.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Announced:
		return s.announced(e)
	case Withdrawn:
		return s.withdrawn(e)
	case RoleChangeOrdered:
		return s.roleChanges(e)
	case Ticked:
		return s.ticked(e.At)
	}
	return nil
}

// Servers returns all that is known, in the order of the instances' names.
func (s *State) Servers() []message.BackendServer {
	list := make([]message.BackendServer, 0, len(s.servers))
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		list = append(list, s.told(name))
	}
	for _, name := range slices.Sorted(maps.Keys(s.changing)) {
		if s.servers[name] == nil {
			list = append(list, s.told(name))
		}
	}
	return list
}

// told is an instance as others are told of it.
func (s *State) told(instance string) message.BackendServer {
	k := s.servers[instance]
	c, changing := s.changing[instance]
	if k == nil {
		return message.BackendServer{
			Instance: instance, Incarnation: c.incarnation, Phase: message.PhaseReady, Silent: true, Changing: changing,
		}
	}
	server := k.server
	server.Changing = changing
	if k.superseded && server.Phase == message.PhaseReady {
		server.Phase = message.PhaseDraining
	}
	return server
}

func (s *State) roleChanges(e RoleChangeOrdered) []Effect {
	if k := s.servers[e.Instance]; k != nil && k.server.Incarnation > e.Incarnation {
		return nil // it has started again and knows of no order
	}
	s.changing[e.Instance] = change{incarnation: e.Incarnation, until: e.Until}
	return []Effect{Changed{Server: s.told(e.Instance)}}
}

func (s *State) announced(e Announced) []Effect {
	k := s.servers[e.Server.Instance]
	if k == nil || e.Server.Incarnation > k.server.Incarnation {
		return s.started(e)
	}
	if e.Server.Incarnation < k.server.Incarnation {
		// A late announcement of an earlier start. Were it taken, requests would be
		// sent by what the earlier one held, and an end that it told would end the
		// later one.
		return nil
	}
	if e.Server.Sequence <= k.server.Sequence {
		// A late or doubled announcement tells nothing new. Were it taken, a
		// server that said it drains would be ready again.
		return nil
	}
	before := s.told(e.Server.Instance)
	phase := k.server.Phase
	k.server, k.heard = e.Server, e.At
	if phase.After(k.server.Phase) {
		k.server.Phase = phase
	}
	effects := s.hold(k)
	if after := s.told(e.Server.Instance); worthTelling(before, after) {
		effects = append(effects, Changed{Server: after})
	}
	return effects
}

// started takes in an instance that is new here, or that has started again under its
// name: it counts its announcements anew, and nothing of before holds for it. Were
// its numbers compared with the earlier start's, it would stay unknown for as long
// as that one had been there.
func (s *State) started(e Announced) []Effect {
	name := e.Server.Instance
	if c, changing := s.changing[name]; changing && c.incarnation < e.Server.Incarnation {
		delete(s.changing, name)
	}
	k := &known{server: e.Server, heard: e.At}
	if earlier := s.servers[name]; earlier != nil && s.holders[earlier.server.Address] == name {
		delete(s.holders, earlier.server.Address)
	}
	s.servers[name] = k
	return append(s.hold(k), Changed{Server: s.told(name)})
}

// hold gives the server's address to it, and takes it from the instance that
// had it. One address is one server: what is sent to the earlier instance would
// reach the later one, which is perhaps of another service. An instance that
// goes on announcing itself gets the address back, since the other one can have
// been a late announcement of the dead.
func (s *State) hold(k *known) []Effect {
	if k.server.Phase == message.PhaseGone {
		return nil
	}
	k.superseded = false
	holder := s.servers[s.holders[k.server.Address]]
	s.holders[k.server.Address] = k.server.Instance
	if holder == nil || holder == k || holder.superseded || holder.server.Phase == message.PhaseGone {
		return nil
	}
	holder.superseded = true
	return []Effect{Changed{Server: s.told(holder.server.Instance)}}
}

// worthTelling reports whether a change matters to forwarders; a sequence number
// that merely grows does not.
func worthTelling(before, after message.BackendServer) bool {
	before.Sequence, before.SlowFor = after.Sequence, after.SlowFor
	return before != after
}

func (s *State) withdrawn(e Withdrawn) []Effect {
	k := s.servers[e.Instance]
	if k != nil && e.Incarnation != 0 && e.Incarnation < k.server.Incarnation {
		return nil // the last word of an earlier start
	}
	if k == nil || e.Incarnation > k.server.Incarnation {
		// The announcements went to another control VM, or to this one before
		// its restart. The end is remembered, so that a late announcement does
		// not bring the server back.
		k = &known{server: message.BackendServer{Instance: e.Instance, Incarnation: e.Incarnation}}
		s.servers[e.Instance] = k
	}
	k.heard = e.At
	if k.server.Phase == message.PhaseGone {
		return nil
	}
	k.server.Phase = message.PhaseGone
	return []Effect{Changed{Server: k.server}}
}

func (s *State) ticked(at time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.changing)) {
		if !at.Before(s.changing[name].until) {
			delete(s.changing, name)
			effects = append(effects, Changed{Server: s.told(name)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		k := s.servers[name]
		quiet := at.Sub(k.heard)
		if quiet >= s.config.ForgetAfter {
			delete(s.servers, name)
			continue
		}
		if quiet >= s.config.SilentAfter && !k.server.Silent {
			k.server.Silent = true
			effects = append(effects, Changed{Server: s.told(name)})
		}
	}
	return effects
}
