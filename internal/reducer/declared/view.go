package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// View is the declared resources and the members at one revision. Resources
// and servers in it are never changed in place.
type View struct {
	Revision  uint64
	Resources map[oriolebend.ResourceKey]oriolebend.Resource
	// Servers are the members as they announced themselves, by name.
	Servers map[string]oriolebend.Server
	// Interrupted are the servers whose membership ended while they were
	// loading, perhaps with an order on its way to the engine. Only control VMs
	// know them; a follower's view has none.
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

// Copy returns a view that later changes leave alone.
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
	held, _ := r.Spec.(S)
	return held
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

// Server returns what is declared of a server, or nil.
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

// PoolOf names the pool that a server belongs to, empty if none: the pool that
// its server resource names, else the first pool that lists it, else the first
// whose selector picks it and whose role can be its own.
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
		if picks(r.Spec.(*oriolebend.Pool), s) {
			return r.Name
		}
	}
	return ""
}

// picks reports whether a pool's selector takes the server. A plain service is
// never turned into a model engine by a selector, nor the reverse.
func picks(p *oriolebend.Pool, s oriolebend.Server) bool {
	if p.Selector == nil {
		return false
	}
	if p.Role == oriolebend.Service || s.Role == oriolebend.Service {
		return p.Role == s.Role && p.Service == s.Service && selects(*p.Selector, s)
	}
	return selects(*p.Selector, s)
}

func selects(s oriolebend.Selector, server oriolebend.Server) bool {
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

// Target is what a backend server is declared to be.
type Target struct {
	// State is serving, leaving or stopping.
	State oriolebend.ServerState
	// Pool is empty if the server belongs to none; it then keeps what it has.
	Pool string
	Role oriolebend.PoolRole
	// Held is the model that the server is to hold, and only that one; its
	// adapters are sorted.
	Held oriolebend.LoadedModel
	// WeightBytes is the size of the version's weights.
	WeightBytes int64
}

// Same reports whether two targets ask the same of a server.
func (t Target) Same(other Target) bool {
	return t.State == other.State && t.Pool == other.Pool && t.Role == other.Role &&
		t.WeightBytes == other.WeightBytes && t.Held.Model == other.Held.Model &&
		t.Held.Version == other.Held.Version && slices.Equal(t.Held.Adapters, other.Held.Adapters)
}

// TargetOf works out what a server is declared to be.
func (v View) TargetOf(s oriolebend.Server) Target {
	return v.TargetIn(s, v.PoolOf(s))
}

// TargetIn works out what a server of a pool is declared to be; it spares
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

// Merge brings the view to a revision by what changed: deleted resources and
// servers that are gone are dropped.
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
