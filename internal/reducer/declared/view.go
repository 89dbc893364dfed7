package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// View holds the declared resources and the members at one revision. Its
// resources and servers are never changed in place.
type View struct {
	Revision  uint64
	Resources map[oriolebend.ResourceKey]oriolebend.Resource
	// Servers holds the last announcement of each member, by name.
	Servers map[string]oriolebend.Server
	// Interrupted holds the servers whose membership ended while they were
	// loading. An order may still be on its way to their engines. It is filled on
	// control VMs only; the view of a follower has none.
	Interrupted map[string]bool
}

// NewView returns an empty view.
func NewView() View {
	return View{
		Resources: map[oriolebend.ResourceKey]oriolebend.Resource{},
		Servers:   map[string]oriolebend.Server{},

		Interrupted: map[string]bool{},
	}
}

// Copy returns a copy of the view that later changes do not affect.
func (v View) Copy() View {
	return View{
		Revision:  v.Revision,
		Resources: maps.Clone(v.Resources),
		Servers:   maps.Clone(v.Servers),

		Interrupted: maps.Clone(v.Interrupted),
	}
}

// List returns the resources of a kind by name, or all by kind and name if
// kind is empty.
func (v View) List(kind oriolebend.ResourceKind) []oriolebend.Resource {
	var list []oriolebend.Resource
	for key, r := range v.Resources {
		if kind == "" || key.Kind == kind {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b oriolebend.Resource) int {
		if a.Key().Less(b.Key()) {
			return -1
		}
		return 1
	})
	return list
}

// Members returns the announced servers by name.
func (v View) Members() []oriolebend.Server {
	list := slices.Collect(maps.Values(v.Servers))
	slices.SortFunc(list, func(a, b oriolebend.Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// spec returns the spec of a resource, or nil if there is none.
func spec[S oriolebend.Spec](v View, kind oriolebend.ResourceKind, name string) S {
	var none S
	r, found := v.Resources[oriolebend.ResourceKey{Kind: kind, Name: name}]
	if !found {
		return none
	}
	typed, _ := r.Spec.(S)
	return typed
}

// Model returns a declared model, or nil.
func (v View) Model(name string) *oriolebend.Model {
	return spec[*oriolebend.Model](v, oriolebend.KindModel, name)
}

// Version returns a declared version of a model, or nil.
func (v View) Version(model, version string) *oriolebend.Version {
	return spec[*oriolebend.Version](v, oriolebend.KindVersion, oriolebend.VersionName(model, version))
}

// Adapter returns a declared adapter of a model, or nil.
func (v View) Adapter(model, adapter string) *oriolebend.Adapter {
	return spec[*oriolebend.Adapter](v, oriolebend.KindAdapter, oriolebend.AdapterName(model, adapter))
}

// Pool returns a declared pool, or nil.
func (v View) Pool(name string) *oriolebend.Pool {
	return spec[*oriolebend.Pool](v, oriolebend.KindPool, name)
}

// Server returns the declared server resource, or nil.
func (v View) Server(name string) *oriolebend.DeclaredServer {
	return spec[*oriolebend.DeclaredServer](v, oriolebend.KindServer, name)
}

// Policy returns the declared policy; all its fields are zero if there is
// none.
func (v View) Policy() oriolebend.Policy {
	if p := spec[*oriolebend.Policy](v, oriolebend.KindPolicy, oriolebend.PolicyName); p != nil {
		return *p
	}
	return oriolebend.Policy{}
}

// PoolOf returns the name of the pool that a server belongs to, or an empty
// string. It is the pool that the server's resource names, else the first pool
// that lists the server, else the first pool whose selector matches the server
// and whose role the server can take.
func (v View) PoolOf(s oriolebend.Server) string {
	if d := v.Server(s.Name); d != nil && d.Pool != "" {
		return d.Pool
	}
	return poolOf(v.List(oriolebend.KindPool), s)
}

func poolOf(pools []oriolebend.Resource, s oriolebend.Server) string {
	for _, r := range pools {
		if slices.Contains(r.Spec.(*oriolebend.Pool).Servers, s.Name) {
			return r.Name
		}
	}
	for _, r := range pools {
		if selectorMatches(r.Spec.(*oriolebend.Pool), s) {
			return r.Name
		}
	}
	return ""
}

// selectorMatches reports whether the selector of a pool matches the server. A
// selector never assigns a plain service to a pool of model engines, nor an
// engine to a pool of a plain service.
func selectorMatches(p *oriolebend.Pool, s oriolebend.Server) bool {
	if p.Selector == nil {
		return false
	}
	if p.Role == oriolebend.Service || s.Role == oriolebend.Service {
		return p.Role == s.Role && p.Service == s.Service && matches(*p.Selector, s)
	}
	return matches(*p.Selector, s)
}

func matches(s oriolebend.Selector, server oriolebend.Server) bool {
	if s.Region != "" && s.Region != server.Region {
		return false
	}
	if s.FailureDomain != "" && s.FailureDomain != server.FailureDomain {
		return false
	}
	return len(server.Name) >= len(s.NamePrefix) && server.Name[:len(s.NamePrefix)] == s.NamePrefix
}

// PoolServers returns the pool of each member, by server name.
func (v View) PoolServers() map[string]string {
	pools := v.List(oriolebend.KindPool)
	result := make(map[string]string, len(v.Servers))
	for name, s := range v.Servers {
		if d := v.Server(name); d != nil && d.Pool != "" {
			result[name] = d.Pool
			continue
		}
		result[name] = poolOf(pools, s)
	}
	return result
}

// Target is the declared state of a backend server.
type Target struct {
	// State is serving, leaving or stopping.
	State oriolebend.ServerState
	// Pool is empty if the server belongs to no pool. The server then keeps its
	// role and models.
	Pool string
	Role oriolebend.PoolRole
	// Held is the only model that the server must have loaded. Its adapters are
	// sorted.
	Held oriolebend.LoadedModel
	// WeightBytes is the size of the version's weights.
	WeightBytes int64
}

// Same reports whether two targets are equal.
func (t Target) Same(other Target) bool {
	return t.State == other.State && t.Pool == other.Pool && t.Role == other.Role &&
		t.WeightBytes == other.WeightBytes && t.Held.Model == other.Held.Model &&
		t.Held.Version == other.Held.Version && slices.Equal(t.Held.Adapters, other.Held.Adapters)
}

// TargetOf returns the declared state of a server.
func (v View) TargetOf(s oriolebend.Server) Target {
	return v.TargetIn(s, v.PoolOf(s))
}

// TargetIn returns the declared state of a server whose pool is known, without
// the search for the pool.
func (v View) TargetIn(s oriolebend.Server, name string) Target {
	target := Target{State: oriolebend.ServerServing}
	if d := v.Server(s.Name); d != nil && d.State != "" {
		target.State = d.State
	}
	pool := v.Pool(name)
	if pool == nil {
		return target
	}
	target.Pool = name
	target.Role = pool.Role
	if pool.Role == oriolebend.Service {
		return target
	}
	target.Held = oriolebend.LoadedModel{Model: pool.Model, Version: pool.Version, Adapters: slices.Sorted(slices.Values(pool.Adapters))}
	if version := v.Version(pool.Model, pool.Version); version != nil {
		target.WeightBytes = version.WeightBytes
	}
	return target
}

// Merge applies the changes up to a revision to the view. It removes deleted
// resources and servers in the state gone.
func (v *View) Merge(revision uint64, servers []oriolebend.Server, resources []oriolebend.Resource) {
	v.Revision = revision
	for _, server := range servers {
		if server.State == oriolebend.ServerGone {
			delete(v.Servers, server.Name)
			continue
		}
		v.Servers[server.Name] = server
	}
	for _, r := range resources {
		if r.Deleted {
			delete(v.Resources, r.Key())
			continue
		}
		v.Resources[r.Key()] = r
	}
}
