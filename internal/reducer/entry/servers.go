package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// server is one backend server and what the entry learned of it.
type server struct {
	oriolebend.Server
	health policy.Health
	// now is the clock of the state, for what fades with time.
	now *time.Time
	// open counts this entry's sessions that were chosen there.
	open int
	// queued is the queue that the gate told last, at seen.
	queued int
	seen   time.Time
}

// hintFades is how long a gate's last answer counts as a hint of its load.
const hintFades = 2 * time.Second

// Key implements policy.Member.
func (v *server) Key() string { return v.Name }

// Domain implements policy.Member.
func (v *server) Domain() string { return v.FailureDomain }

// Weight implements policy.Member.
func (v *server) Weight() float64 { return v.health.Weight(*v.now) }

// Load implements policy.Member. The gate's last answer counts less the older
// it is.
func (v *server) Load() float64 {
	load := float64(v.open)
	if age := v.now.Sub(v.seen); age < hintFades {
		load += float64(v.queued) * (1 - age.Seconds()/hintFades.Seconds())
	}
	return load
}

// poolKey names the servers that can serve one kind of request in one phase.
type poolKey struct {
	role    oriolebend.PoolRole
	model   string
	version string
	adapter string
	service string
}

func (k poolKey) serves(v oriolebend.Server) bool {
	if v.State != oriolebend.ServerServing && v.State != "" {
		return false
	}
	if k.role == oriolebend.Service {
		return v.Role == oriolebend.Service && v.Service == k.service
	}
	return v.Serves(k.role, k.model, k.version, k.adapter)
}

func (r *request) pool(role oriolebend.PoolRole) poolKey {
	if role == oriolebend.Service {
		return poolKey{role: role, service: r.Service}
	}
	return poolKey{role: role, model: r.Model, version: r.Version, adapter: r.Adapter}
}

// pool is the servers that can serve one kind of request in one phase.
type pool struct {
	*policy.Pool[*server]
	// largest is the size of the largest memory in tokens; zero if unknown.
	largest int
	// fastest is the rate of the fastest link in bytes a second; zero if unknown.
	fastest float64
}

func (p *pool) fits(tokens int) bool {
	return p.largest == 0 || tokens <= p.largest
}

// maxPools bounds the pools that are kept although they have no members.
const maxPools = 1024

// pool returns the pool of a key; it is built on first use after a change of
// membership, so that choosing a server does not depend on their number. The number
// of pools is bounded: callers could name any number of models.
func (s *State) pool(k poolKey) *pool {
	if p := s.pools[k]; p != nil {
		return p
	}
	var members []*server
	largest, fastest := 0, 0.0
	for _, v := range s.servers {
		if k.serves(v.Server) {
			members = append(members, v)
			largest = max(largest, v.KVTokens)
			fastest = max(fastest, v.LinkBytes)
		}
	}
	p := &pool{Pool: policy.NewPool(members), largest: largest, fastest: fastest}
	if len(members) > 0 || len(s.pools) < maxPools {
		s.pools[k] = p
	}
	return p
}

func (s *State) serversChanged(e ServersChanged) {
	if e.Whole {
		s.forgetServersBut(e.Servers)
	}
	for _, v := range e.Servers {
		s.serverChanged(v)
	}
	s.wakeLanes()
}

func (s *State) forgetServersBut(keep []oriolebend.Server) {
	kept := make(map[string]bool, len(keep))
	for _, v := range keep {
		kept[v.Name] = true
	}
	for name, v := range s.servers {
		if !kept[name] {
			s.forgetServer(v)
		}
	}
}

func (s *State) forgetServer(v *server) {
	delete(s.servers, v.Name)
	s.dropPools(v.Server)
}

func (s *State) serverChanged(v oriolebend.Server) {
	known := s.servers[v.Name]
	if v.State == oriolebend.ServerGone {
		if known != nil {
			s.forgetServer(known)
		}
		return
	}
	if known == nil {
		known = &server{now: &s.now, health: policy.Health{Since: s.firstSeen()}}
		s.servers[v.Name] = known
	} else if known.Incarnation != v.Incarnation {
		known.health = policy.Health{Since: s.now}
	}
	s.dropPools(known.Server)
	known.Server = v
	s.dropPools(v)
}

// firstSeen is the start of a server's slow start. Servers of the first
// membership that the entry gets have been there before it: they need none.
func (s *State) firstSeen() time.Time {
	if len(s.requests) == 0 && s.seq == 0 {
		return time.Time{}
	}
	return s.now
}

func (s *State) dropPools(v oriolebend.Server) {
	for k := range s.pools {
		if k.serves(v) {
			delete(s.pools, k)
		}
	}
}
