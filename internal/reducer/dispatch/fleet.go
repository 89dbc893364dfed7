package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// replaceServers replaces the list of backend servers.
func (s *State) replaceServers(e Fleet) {
	listed := make(map[string]struct{}, len(e.Servers))
	for _, current := range e.Servers {
		listed[current.Instance] = struct{}{}
	}
	changed := FleetChanged{At: e.At, Servers: e.Servers, Forwarders: e.Forwarders}
	for name := range s.servers {
		if _, still := listed[name]; !still {
			changed.Left = append(changed.Left, name)
		}
	}
	s.applyServerChanges(changed)
}

// applyServerChanges applies changes to the list of backend servers.
func (s *State) applyServerChanges(e FleetChanged) {
	if e.Forwarders > 0 {
		s.forwarders.Report(e.At, e.Forwarders)
	}
	for _, current := range e.Servers {
		s.updateServer(e.At, current)
	}
	for _, name := range e.Left {
		s.removeServer(e.At, name)
	}
}

// updateServer adds a server or updates the description of a known one.
func (s *State) updateServer(at time.Time, current message.BackendServer) {
	kept := s.servers[current.Instance]
	if kept == nil || kept.Incarnation != current.Incarnation || kept.Service != current.Service {
		s.unlist(kept)
		if kept != nil {
			s.noteRemoved(at, kept.BackendServer)
		}
		// A restarted server has neither the work nor the speeds of its earlier incarnation.
		kept = &server{weight: 1, serverSpeeds: &serverSpeeds{}}
		s.servers[current.Instance] = kept
	}
	listed := kept.Instance != ""
	if kept.Role != current.Role {
		kept.latency = average{}
	}
	if kept.Unconfirmed && !current.Unconfirmed {
		kept.failedInRow, kept.avoidUntil = 0, time.Time{} // its announcement shows that it runs
	}
	kept.BackendServer, kept.removed = current, false
	kept.updateLeaving(at)
	if !listed {
		s.list(kept)
	}
}

// removeServer removes a server that is no longer listed. While requests are in progress
// there its counts are kept.
func (s *State) removeServer(at time.Time, name string) {
	c := s.servers[name]
	if c == nil {
		return
	}
	c.Phase, c.removed = message.PhaseGone, true
	c.updateLeaving(at)
	s.noteRemoved(at, c.BackendServer)
	s.dropIfIdle(c)
}

// rememberRemoved is the shortest time for which a removed incarnation is remembered, and
// the interval at which older ones are forgotten. Until then, placements may arrive from an
// allocator that has not received the removal: a partition of the core sometimes lasts that
// long, and placements granted before its end arrive after it.
const rememberRemoved = 30 * time.Second

// noteRemoved remembers that an incarnation of a server was removed.
func (s *State) noteRemoved(at time.Time, server message.BackendServer) {
	if at.Sub(s.removedPruned) >= rememberRemoved { // not once for each of thousands removed together
		s.removedPruned = at
		maps.DeleteFunc(s.removed, func(start message.ServerStart, since time.Time) bool {
			if at.Sub(since) < rememberRemoved {
				return false
			}
			if c := s.serverByStart(start); c == nil || c.removed { // it was not listed again
				delete(s.reported, start)
			}
			return true
		})
	}
	s.removed[server.Start()] = at
}

// wasRemoved reports whether the incarnation of a server is remembered as removed.
func (s *State) wasRemoved(server message.BackendServer) bool {
	_, removed := s.removed[server.Start()]
	return removed
}

// dropIfIdle drops a removed server once its last request has ended.
func (s *State) dropIfIdle(c *server) {
	if c.removed && c.inProgress == 0 {
		s.unlist(c)
		delete(s.servers, c.Instance)
	}
}

// list adds a server to the list of its service.
func (s *State) list(c *server) {
	list := s.inOrder[c.Service]
	at, _ := slices.BinarySearchFunc(list, c.Instance, byInstance)
	s.inOrder[c.Service] = slices.Insert(list, at, c)
}

// unlist removes a server from the list of its service; nil is ignored.
func (s *State) unlist(c *server) {
	if c == nil {
		return
	}
	list := s.inOrder[c.Service]
	if at, found := slices.BinarySearchFunc(list, c.Instance, byInstance); found {
		s.inOrder[c.Service] = slices.Delete(list, at, at+1)
	}
}

func byInstance(c *server, instance string) int { return cmp.Compare(c.Instance, instance) }

// FreeShare is the share of the KV memory of a service's decode engines that no grant
// of this state needs. Engines that accept no work do not count. Neither do silent
// engines: most of these are lost for good, and counting their memory would make it
// look idle while requests wait. An avoided engine counts as having no free memory.
func (s *State) FreeShare(at time.Time, name string) float64 {
	v := s.services[name]
	if v == nil || v.limits.Engine == nil {
		return 0
	}
	total, free := 0, 0
	for _, c := range s.servers {
		if c.Service != name || c.Role == oriolebend.Prefill || !c.acceptsWork() || c.Silent {
			continue
		}
		total += v.limits.Engine.KVTokens
		if !at.Before(c.avoidUntil) {
			free += max(0, v.limits.Engine.KVTokens-c.heldMemory)
		}
	}
	if total == 0 {
		return 0
	}
	return float64(free) / float64(total)
}

// updateLeaving records since when a server permanently accepts no new work.
func (c *server) updateLeaving(at time.Time) {
	switch {
	case c.Phase == message.PhaseReady:
		c.leavingSince = time.Time{}
	case c.leavingSince.IsZero():
		c.leavingSince = at
	}
}

// grantedServer returns the server of a grant, or nil if it is unknown or has restarted
// since: the work of the grant ended with the earlier incarnation.
func (s *State) grantedServer(granted message.BackendServer) *server {
	c := s.servers[granted.Instance]
	if c == nil || !c.SameStart(granted) {
		return nil
	}
	return c
}

// serverByStart returns the server with an incarnation, or nil if that incarnation is unknown.
func (s *State) serverByStart(e message.ServerStart) *server {
	return s.grantedServer(message.BackendServer{Instance: e.Instance, Incarnation: e.Incarnation})
}

// Resume records a placement that was granted elsewhere. It returns false if the server
// is unknown or has restarted since.
func Resume(s *State, n Need, server, prefill message.ServerStart) (Grant, bool) {
	c := s.serverByStart(server)
	if c == nil {
		return Grant{}, false
	}
	grant := Grant{Need: n, Server: c.BackendServer, Batch: c.inProgress}
	if p := s.serverByStart(prefill); p != nil {
		prefillServer := p.BackendServer
		grant.Prefill = &prefillServer
	}
	s.addWork(grant)
	return grant, true
}

// FreeShares returns FreeShare for each service with engines.
func (s *State) FreeShares(at time.Time) map[string]float64 {
	shares := map[string]float64{}
	for name, v := range s.services {
		if v.limits.Engine != nil {
			shares[name] = s.FreeShare(at, name)
		}
	}
	return shares
}
