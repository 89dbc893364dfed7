package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fleet replaces all that is known of the backend servers.
func (s *State) fleet(e Fleet) {
	named := make(map[string]struct{}, len(e.Servers))
	for _, told := range e.Servers {
		named[told.Instance] = struct{}{}
	}
	changed := FleetChanged{At: e.At, Servers: e.Servers, Forwarders: e.Forwarders}
	for name := range s.servers {
		if _, still := named[name]; !still {
			changed.Left = append(changed.Left, name)
		}
	}
	s.fleetChanged(changed)
}

// fleetChanged takes in what has changed of the backend servers.
func (s *State) fleetChanged(e FleetChanged) {
	if e.Forwarders > 0 {
		s.forwarders = e.Forwarders
	}
	for _, told := range e.Servers {
		s.told(e.At, told)
	}
	for _, name := range e.Left {
		s.left(e.At, name)
	}
}

// told takes in what is told of one server.
func (s *State) told(at time.Time, told message.BackendServer) {
	kept := s.servers[told.Instance]
	if kept == nil || kept.Incarnation != told.Incarnation || kept.Service != told.Service {
		s.unlist(kept)
		if kept != nil {
			s.noteGone(at, kept.BackendServer)
		}
		kept = &server{} // one that has started again holds nothing of before
		s.servers[told.Instance] = kept
	}
	listed := kept.Instance != ""
	if kept.Role != told.Role {
		kept.took = average{}
	}
	kept.BackendServer, kept.left = told, false
	kept.leave(at)
	if !listed {
		s.list(kept)
	}
}

// left forgets a server that is no longer told of. While work is there it keeps its
// counts.
func (s *State) left(at time.Time, name string) {
	c := s.servers[name]
	if c == nil {
		return
	}
	c.Phase, c.left = message.PhaseGone, true
	c.leave(at)
	s.noteGone(at, c.BackendServer)
	s.forget(c)
}

// goneFor is for how long at least a start of a server is known to have gone, and how often
// what is older is forgotten. Places given by who has not heard of it may come until then:
// as long as a partition of the core lasts at times, and what is given before its end.
const goneFor = 30 * time.Second

// noteGone remembers that a start of a server has gone.
func (s *State) noteGone(at time.Time, server message.BackendServer) {
	if at.Sub(s.goneLooked) >= goneFor { // not for each of thousands that go at once
		s.goneLooked = at
		maps.DeleteFunc(s.gone, func(start message.ServerStart, since time.Time) bool {
			if at.Sub(since) < goneFor {
				return false
			}
			if c := s.known(start); c == nil || c.left { // it has not been told of anew
				delete(s.stated, start)
			}
			return true
		})
	}
	s.gone[server.Start()] = at
}

// hasGone reports whether a server that is not known is known to have gone.
func (s *State) hasGone(server message.BackendServer) bool {
	_, gone := s.gone[server.Start()]
	return gone
}

// forget drops a server that is no longer told of once its last work has ended.
func (s *State) forget(c *server) {
	if c.left && c.busy == 0 {
		s.unlist(c)
		delete(s.servers, c.Instance)
	}
}

// list adds a server to those of its service.
func (s *State) list(c *server) {
	list := s.inOrder[c.Service]
	at, _ := slices.BinarySearchFunc(list, c.Instance, byInstance)
	s.inOrder[c.Service] = slices.Insert(list, at, c)
}

// unlist takes a server from those of its service; nil is none.
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

// FreeShare is the share of the KV memory of a service's decode engines that
// nothing granted here needs. Engines that take no work have none, nor have silent
// ones: most of these are lost for good, and memory counted there looks as if it lay
// idle while requests wait.
func (s *State) FreeShare(at time.Time, name string) float64 {
	v := s.services[name]
	if v == nil || v.limits.Engine == nil {
		return 0
	}
	total, free := 0, 0
	for _, c := range s.servers {
		if c.Service != name || c.Role == oriolebend.Prefill || !c.takesWork() || c.Silent {
			continue
		}
		total += v.limits.Engine.KVTokens
		if !at.Before(c.avoidUntil) {
			free += max(0, v.limits.Engine.KVTokens-c.held)
		}
	}
	if total == 0 {
		return 0
	}
	return float64(free) / float64(total)
}

// leave notes since when a server takes no new work for good.
func (c *server) leave(at time.Time) {
	switch {
	case c.Phase == message.PhaseReady:
		c.leaving = time.Time{}
	case c.leaving.IsZero():
		c.leaving = at
	}
}

// at is the server of a grant, nil if it is not known or has started again since:
// what the grant took there is gone with the earlier start.
func (s *State) at(granted message.BackendServer) *server {
	c := s.servers[granted.Instance]
	if c == nil || !c.SameStart(granted) {
		return nil
	}
	return c
}

// known is the server of a name, nil if that start is not known.
func (s *State) known(e message.ServerStart) *server {
	return s.at(message.BackendServer{Instance: e.Instance, Incarnation: e.Incarnation})
}

// Resume takes up a place that was granted elsewhere; false means that its
// server is not known, or has started again since.
func Resume(s *State, n Need, server, prefill message.ServerStart) (Grant, bool) {
	c := s.known(server)
	if c == nil {
		return Grant{}, false
	}
	grant := Grant{Need: n, Server: c.BackendServer}
	if p := s.known(prefill); p != nil {
		reader := p.BackendServer
		grant.Prefill = &reader
	}
	s.take(grant)
	return grant, true
}

// FreeShares is FreeShare of every service with engines.
func (s *State) FreeShares(at time.Time) map[string]float64 {
	shares := map[string]float64{}
	for name, v := range s.services {
		if v.limits.Engine != nil {
			shares[name] = s.FreeShare(at, name)
		}
	}
	return shares
}
