// Package routing stores the declared routing as part of the replicated state of the
// control VMs, and provides the table in which a forwarder finds the route and the
// organisation of a request.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/internal/identity"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Table is an index of one routing. It does not change once it is shared, so goroutines
// use it without locks.
type Table struct {
	Routing  oriolebend.Routing
	hosts    map[string][]*oriolebend.Route
	services map[string]*oriolebend.RouteService
	owners   identity.Keys[*oriolebend.Organisation]
	// revoked holds the keys of earlier tables that no organisation has any longer.
	revoked map[oriolebend.KeyDigest]struct{}
}

// maxRevoked is the highest number of revoked keys that are kept. They only serve to
// distinguish two reasons of a refusal.
const maxRevoked = 4096

// NewTable indexes a checked routing.
func NewTable(r oriolebend.Routing) *Table {
	t := &Table{
		Routing:  r,
		hosts:    map[string][]*oriolebend.Route{},
		services: map[string]*oriolebend.RouteService{},
		owners:   identity.Keys[*oriolebend.Organisation]{},
	}
	for i := range r.Routes {
		host := oriolebend.HostKey(r.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &r.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *oriolebend.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Organisations {
		for _, key := range r.Organisations[i].Keys {
			t.owners[key] = &r.Organisations[i]
		}
	}
	return t
}

// RecordRevoked records the keys that were revoked since an earlier table, which is nil if there
// is none. It must be called before the table is shared.
func (t *Table) RecordRevoked(earlier *Table) {
	if earlier == nil {
		return
	}
	t.revoked = map[oriolebend.KeyDigest]struct{}{}
	note := func(key oriolebend.KeyDigest) {
		if _, held := t.owners[key]; !held && len(t.revoked) < maxRevoked {
			t.revoked[key] = struct{}{}
		}
	}
	for key := range earlier.owners {
		note(key)
	}
	for key := range earlier.revoked {
		note(key)
	}
}

// Owner returns the organisation that has a key, nil if none has.
func (t *Table) Owner(key string) *oriolebend.Organisation {
	owner, _ := t.owners.Owner(key)
	return owner
}

// Revoked reports whether a key was revoked.
func (t *Table) Revoked(key string) bool {
	_, revoked := t.revoked[oriolebend.DigestKey(key)]
	return revoked
}

// Match returns the route of the host with the longest matching prefix of the path, nil if
// there is none. The path is compared as it was sent, without its query.
func (t *Table) Match(host, path string) *oriolebend.Route {
	for _, route := range t.hosts[oriolebend.HostKey(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (t *Table) Service(name string) *oriolebend.RouteService { return t.services[name] }

// Target selects one of a route's services by weight; at is a random number from 0 up
// to 1.
func Target(r *oriolebend.Route, at float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := at * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return last
}
