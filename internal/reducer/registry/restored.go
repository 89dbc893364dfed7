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

// ReportedElsewhere reports the state of a server as of the merged reports of all control VMs. Its
// phase is PhaseGone if it has left.
type ReportedElsewhere struct{ Server message.BackendServer }

// Dropped requests a report to watchers that a restored server is no longer used, unless another
// control VM reports it.
type Dropped struct {
	// Server has no address: watchers need only its name.
	Server message.BackendServer
	// Elsewhere is set if the server has announced itself to another control VM.
	Elsewhere bool
}

func (Restored) isRegistryEvent()          {}
func (ReportedElsewhere) isRegistryEvent() {}
func (Dropped) isRegistryEffect()          {}

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

// applyElsewhere drops a restored server that has restarted or accepts no new work, as far as another
// control VM knows. Watchers that do not receive the reports of that control VM would otherwise use
// it until it expires.
func (s *State) applyElsewhere(server message.BackendServer) []Effect {
	k := s.servers[server.Instance]
	if k == nil || !k.server.Unconfirmed || k.server.Incarnation > server.Incarnation {
		return nil
	}
	if k.server.Incarnation < server.Incarnation || server.Phase != message.PhaseReady || server.Changing {
		return []Effect{s.drop(server.Instance)}
	}
	k.elsewhere = k.elsewhere || !server.Unconfirmed
	return nil
}

// Unconfirmed returns the number of restored servers that have not announced themselves yet.
func (s *State) Unconfirmed() int {
	count := 0
	for _, k := range s.servers {
		if k.server.Unconfirmed {
			count++
		}
	}
	return count
}

// drop removes a restored server.
func (s *State) drop(name string) Effect {
	server, elsewhere := s.servers[name].server, s.servers[name].elsewhere
	delete(s.servers, name)
	if s.holders[server.Address] == name {
		delete(s.holders, server.Address)
	}
	if _, changing := s.changing[name]; changing {
		return Changed{Server: s.published(name)}
	}
	left := message.BackendServer{Instance: name, Incarnation: server.Incarnation, Phase: message.PhaseReady, Unconfirmed: true, Silent: true}
	return Dropped{Server: left, Elsewhere: elsewhere}
}
