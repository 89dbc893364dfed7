package registry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Restored lists the servers that were known before a restart. It is the first event of a State.
type Restored struct {
	At      time.Time
	Servers []message.BackendServer
}

// EndedElsewhere reports that another control VM knows that a server accepts no new work. Incarnation
// is the highest one to which that applies.
type EndedElsewhere struct {
	Instance    string
	Incarnation uint64
}

// Dropped requests that watchers be told to use a restored server no longer, unless another control
// VM reports it.
type Dropped struct{ Server message.BackendServer }

func (Restored) isRegistryEvent()       {}
func (EndedElsewhere) isRegistryEvent() {}
func (Dropped) isRegistryEffect()       {}

// Restorable reports whether a server may be restored after a restart: it accepted new work when it
// was last reported.
func Restorable(s message.BackendServer) bool {
	return s.Phase == message.PhaseReady && !s.Silent && !s.Changing && s.Address != ""
}

// restore adds restored servers as unconfirmed, unless the instance or its address is already known.
func (s *State) restore(e Restored) []Effect {
	var effects []Effect
	for _, server := range e.Servers {
		if s.servers[server.Instance] != nil || s.holders[server.Address] != "" || !Restorable(server) {
			continue
		}
		server.Unconfirmed = true
		s.servers[server.Instance] = &entry{server: server, announcedAt: e.At}
		s.holders[server.Address] = server.Instance
		effects = append(effects, Changed{Server: s.published(server.Instance)})
	}
	return effects
}

// applyEndElsewhere drops a restored server that has ended or drains. Watchers that do not receive the
// reports of the other control VM would use it until it expires.
func (s *State) applyEndElsewhere(e EndedElsewhere) []Effect {
	k := s.servers[e.Instance]
	if k == nil || !k.server.Unconfirmed || k.server.Incarnation > e.Incarnation {
		return nil
	}
	return []Effect{s.drop(e.Instance)}
}

// drop removes a restored server.
func (s *State) drop(name string) Effect {
	server := s.servers[name].server
	delete(s.servers, name)
	if s.holders[server.Address] == name {
		delete(s.holders, server.Address)
	}
	if _, changing := s.changing[name]; changing {
		return Changed{Server: s.published(name)}
	}
	server.Silent = true
	return Dropped{Server: server}
}
