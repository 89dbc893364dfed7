package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// server is one backend server and the entry's state for it.
type server struct {
	oriolebend.Server
	health policy.Health
	// now points to the clock of the state, for values that decay with time.
	now *time.Time
	// open is the number of this entry's sessions that were chosen at the
	// server.
	open int
	// queued is the queue length that the gate last reported, at queuedAt.
	queued   int
	queuedAt time.Time
}

// loadHintLifetime is how long a gate's last offer counts as a hint of its
// load.
const loadHintLifetime = 2 * time.Second

// Key implements policy.Member.
func (v *server) Key() string { return v.Name }

// Domain implements policy.Member.
func (v *server) Domain() string { return v.FailureDomain }

// Weight implements policy.Member.
func (v *server) Weight() float64 { return v.health.Weight(*v.now) }

// Load implements policy.Member. The queue length of the gate's last offer
// counts less the older it is.
func (v *server) Load() float64 {
	load := float64(v.open)
	if age := v.now.Sub(v.queuedAt); age < loadHintLifetime {
		load += float64(v.queued) * (1 - age.Seconds()/loadHintLifetime.Seconds())
	}
	return load
}

// poolKey identifies the servers that can serve one kind of request in one
// phase.
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
	return poolKey{role: role, model: r.Model, version: r.weightsVersion(), adapter: r.Adapter}
}

// pool holds the servers that can serve one kind of request in one phase.
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

// maxPools bounds the number of pools: a pool without members is kept only
// below it.
const maxPools = 1024

// pool returns the pool of a key. It is built on first use after a change of
// membership, so that the cost of choosing a server does not depend on the
// number of servers. The number of pools is bounded, because callers could name
// any number of models.
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

func (s *State) handleServersChanged(e ServersChanged) {
	if e.Complete {
		s.removeServersExcept(e.Servers)
	}
	for _, v := range e.Servers {
		s.applyServer(v)
	}
	s.wakeLanes()
}

func (s *State) removeServersExcept(keep []oriolebend.Server) {
	kept := make(map[string]bool, len(keep))
	for _, v := range keep {
		kept[v.Name] = true
	}
	for name, v := range s.servers {
		if !kept[name] {
			s.removeServer(v)
		}
	}
}

func (s *State) removeServer(v *server) {
	delete(s.servers, v.Name)
	s.dropPools(v.Server)
}

func (s *State) applyServer(v oriolebend.Server) {
	known := s.servers[v.Name]
	if v.State == oriolebend.ServerGone {
		if known != nil {
			s.removeServer(known)
		}
		return
	}
	if known == nil {
		known = &server{now: &s.now, health: policy.Health{Since: s.slowStartBegin()}}
		s.servers[v.Name] = known
	} else if known.Incarnation != v.Incarnation {
		known.health = policy.Health{Since: s.now}
	}
	s.dropPools(known.Server)
	known.Server = v
	s.dropPools(v)
}

// slowStartBegin returns when the slow start of a new server begins. The
// servers of the first membership that the entry receives were there before it
// and need no slow start.
func (s *State) slowStartBegin() time.Time {
	if len(s.requests) == 0 && s.timerSeq == 0 {
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
