// Package registry is the reducer that holds, in a control VM, the backend servers that
// announce themselves to it, and the view in which a forwarder merges the reports of several
// control VMs. It is pure: time comes in events.
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
	// DefaultSilentAfter is three missed announcements at the longest period in
	// use (1.5 s), and some margin.
	DefaultSilentAfter = 5 * time.Second
	// DefaultForgetAfter is longer than any announcement is delayed: until then a
	// delayed announcement of a server that has left can be distinguished from a
	// new server.
	DefaultForgetAfter = 2 * time.Minute
	// DefaultConfirmWithin is two announcements at the longest period in use (1.5 s): a
	// server that still runs has announced itself by then.
	DefaultConfirmWithin = 3 * time.Second
)

// Config sets up a State.
type Config struct {
	// SilentAfter is the time without an announcement after which a server is
	// reported as silent; zero means DefaultSilentAfter.
	SilentAfter time.Duration
	// ForgetAfter is how long a server is kept that has left or is silent; zero
	// means DefaultForgetAfter.
	ForgetAfter time.Duration
	// ConfirmWithin is how long a restored server is kept that does not announce
	// itself; zero means DefaultConfirmWithin.
	ConfirmWithin time.Duration
}

// State holds the servers that one control VM knows. Only Reduce changes it.
type State struct {
	config  Config
	servers map[string]*entry
	// changing holds the instances that change their role. Such an instance may
	// have announced itself to other control VMs only.
	changing map[string]roleChange
	// holders names, for each address, the instance that announced it last.
	holders map[string]string
}

// entry is one instance and the time of its last announcement or withdrawal.
type entry struct {
	server      message.BackendServer
	announcedAt time.Time
	// superseded is set while another instance holds the address.
	superseded bool
	// elsewhere is set if a restored server has announced itself to another control VM.
	elsewhere bool
}

// roleChange is a role change of one incarnation of an instance, and when it ends at the latest.
type roleChange struct {
	incarnation uint64
	until       time.Time
}

// New returns an empty state.
func New(c Config) *State {
	c.SilentAfter = cmp.Or(c.SilentAfter, DefaultSilentAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.ConfirmWithin = cmp.Or(c.ConfirmWithin, DefaultConfirmWithin)
	return &State{config: c, servers: map[string]*entry{}, changing: map[string]roleChange{}, holders: map[string]string{}}
}

// Event changes a State.
type Event interface{ isRegistryEvent() }

// Announced is one announcement of a backend server.
type Announced struct {
	At     time.Time
	Server message.BackendServer
}

// Withdrawn reports that an instance has left permanently. Incarnation is the
// incarnation that has left, zero if the instance did not report it.
type Withdrawn struct {
	At          time.Time
	Instance    string
	Incarnation uint64
}

// RoleChangeOrdered reports that an incarnation of an instance is about to be ordered to change its
// role, and is not available until a time.
type RoleChangeOrdered struct {
	Instance    string
	Incarnation uint64
	Until       time.Time
}

// Ticked reports the current time.
type Ticked struct{ At time.Time }

func (Announced) isRegistryEvent()         {}
func (Withdrawn) isRegistryEvent()         {}
func (RoleChangeOrdered) isRegistryEvent() {}
func (Ticked) isRegistryEvent()            {}

// Effect is an action that the caller of Reduce must carry out.
type Effect interface{ isRegistryEffect() }

// Changed requests that a server's state be sent to all watchers.
type Changed struct{ Server message.BackendServer }

func (Changed) isRegistryEffect() {}

// Reduce applies one event and returns the effects that the caller must carry out.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Announced:
		return s.applyAnnouncement(e)
	case Withdrawn:
		return s.applyWithdrawal(e)
	case RoleChangeOrdered:
		return s.applyRoleChange(e)
	case Ticked:
		return s.expire(e.At)
	case Restored:
		return s.restore(e)
	case ReportedElsewhere:
		return s.applyElsewhere(e.Server)
	}
	return nil
}

// Servers returns all known servers, in the order of the instances' names.
func (s *State) Servers() []message.BackendServer {
	list := make([]message.BackendServer, 0, len(s.servers))
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		list = append(list, s.published(name))
	}
	for _, name := range slices.Sorted(maps.Keys(s.changing)) {
		if s.servers[name] == nil {
			list = append(list, s.published(name))
		}
	}
	return list
}

// published returns the state of an instance that is sent to watchers.
func (s *State) published(instance string) message.BackendServer {
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

func (s *State) applyRoleChange(e RoleChangeOrdered) []Effect {
	if k := s.servers[e.Instance]; k != nil && k.server.Incarnation > e.Incarnation {
		return nil // the instance has restarted and does not have the order
	}
	s.changing[e.Instance] = roleChange{incarnation: e.Incarnation, until: e.Until}
	return []Effect{Changed{Server: s.published(e.Instance)}}
}

func (s *State) applyAnnouncement(e Announced) []Effect {
	k := s.servers[e.Server.Instance]
	if k == nil || e.Server.Incarnation > k.server.Incarnation {
		return s.addIncarnation(e)
	}
	if e.Server.Incarnation < k.server.Incarnation {
		// A delayed announcement of an earlier incarnation. If it were applied,
		// requests would be routed by the earlier incarnation's state, and if it
		// reported the end of the earlier incarnation, the later one would count as
		// ended.
		return nil
	}
	// A restored server may have restarted without reporting an incarnation, and numbers its
	// announcements from the beginning then.
	if e.Server.Sequence <= k.server.Sequence && !k.server.Unconfirmed {
		// A delayed or duplicate announcement. If it were applied, a draining
		// server would count as ready again.
		return nil
	}
	before := s.published(e.Server.Instance)
	phase := k.server.Phase
	e.Server.SoftwareVersion = cmp.Or(e.Server.SoftwareVersion, k.server.SoftwareVersion)
	k.server, k.announcedAt = e.Server, e.At
	if phase.After(k.server.Phase) {
		k.server.Phase = phase
	}
	effects := s.assignAddress(k)
	if after := s.published(e.Server.Instance); relevantChange(before, after) {
		effects = append(effects, Changed{Server: after})
	}
	return effects
}

// addIncarnation adds an instance that is new here, or that has restarted under its name. A
// restarted instance numbers its announcements from the beginning, and nothing of the earlier
// incarnation applies to it. If its numbers were compared with the earlier incarnation's, its
// announcements would be ignored for as long as the earlier incarnation had existed.
func (s *State) addIncarnation(e Announced) []Effect {
	name := e.Server.Instance
	if c, changing := s.changing[name]; changing && c.incarnation < e.Server.Incarnation {
		delete(s.changing, name)
	}
	k := &entry{server: e.Server, announcedAt: e.At}
	if earlier := s.servers[name]; earlier != nil && s.holders[earlier.server.Address] == name {
		delete(s.holders, earlier.server.Address)
	}
	s.servers[name] = k
	return append(s.assignAddress(k), Changed{Server: s.published(name)})
}

// assignAddress records the server as the holder of its address, in place of the previous holder.
// One address belongs to one server: requests to the previous instance would reach the new one,
// which may belong to another service. A previous holder that continues to announce itself gets the
// address back, because the announcement of the other instance may have been a delayed one of an
// instance that has ended.
func (s *State) assignAddress(k *entry) []Effect {
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
	return []Effect{Changed{Server: s.published(holder.server.Instance)}}
}

// relevantChange reports whether a change matters to forwarders. A higher sequence number alone
// does not.
func relevantChange(before, after message.BackendServer) bool {
	before.Sequence, before.SlowFor = after.Sequence, after.SlowFor
	return before != after
}

func (s *State) applyWithdrawal(e Withdrawn) []Effect {
	k := s.servers[e.Instance]
	if k != nil && e.Incarnation != 0 && e.Incarnation < k.server.Incarnation {
		return nil // the withdrawal of an earlier incarnation
	}
	if k == nil || e.Incarnation > k.server.Incarnation {
		// The announcements went to another control VM, or to this one before
		// its restart. The withdrawal is recorded, so that a delayed announcement
		// does not add the server again.
		k = &entry{server: message.BackendServer{Instance: e.Instance, Incarnation: e.Incarnation}}
		s.servers[e.Instance] = k
	}
	k.announcedAt = e.At
	if k.server.Phase == message.PhaseGone {
		return nil
	}
	k.server.Phase, k.server.Unconfirmed = message.PhaseGone, false
	return []Effect{Changed{Server: k.server}}
}

// expire ends role changes whose time has passed, marks servers without recent announcements as
// silent, and drops those without announcements for ForgetAfter and those that were restored and have
// not announced themselves.
func (s *State) expire(at time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.changing)) {
		if !at.Before(s.changing[name].until) {
			delete(s.changing, name)
			effects = append(effects, Changed{Server: s.published(name)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		k := s.servers[name]
		silence := at.Sub(k.announcedAt)
		if k.server.Unconfirmed {
			if silence >= s.config.ConfirmWithin {
				effects = append(effects, s.drop(name))
			}
			continue
		}
		if silence >= s.config.ForgetAfter {
			delete(s.servers, name)
			continue
		}
		if silence >= s.config.SilentAfter && !k.server.Silent {
			k.server.Silent = true
			effects = append(effects, Changed{Server: s.published(name)})
		}
	}
	return effects
}
