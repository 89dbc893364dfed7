package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

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

// Engine names one start of a backend server.
type Engine struct {
	Instance    string
	Incarnation uint64
}

// known is the server of a name, nil if that start is not known.
func (s *State) known(e Engine) *server {
	return s.at(message.BackendServer{Instance: e.Instance, Incarnation: e.Incarnation})
}

// Resume takes up a place that was granted elsewhere; false means that its
// server is not known, or has started again since.
func Resume(s *State, n Need, server, prefill Engine) (Grant, bool) {
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
