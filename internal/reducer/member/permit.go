package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// permitRetry is the delay after which a sidecar that was refused a permit should request it
// again.
const permitRetry = time.Second

// permit allows one server to be out of work, to load weights, or both.
type permit struct {
	Out     bool
	Load    bool
	Expires time.Time
	// Pools are the pools that the server served before it went out of work.
	Pools []string
}

// permitRequest is the request of a sidecar that waits for a permit. First and Last are the times
// of its first and latest message.
type permitRequest struct {
	First time.Time
	Last  time.Time
	// ForSlot is true if the request waits only for a slot at the weight store.
	ForSlot bool
}

// handlePermit answers a message about a permit.
//
// Permits are leases in the leader's memory. A new leader grants no new permit for as long as one
// that its predecessor granted may be valid; meanwhile the holders renew theirs with the new
// leader, which counts them. Therefore no two leaders grant the same capacity twice.
func (s *State) handlePermit(e PermitRequested) []Effect {
	return []Effect{Reply{Session: e.Session, Message: s.answerPermit(e.At, e.Permit)}}
}

func (s *State) answerPermit(at time.Time, p message.Permit) message.Permitted {
	if !s.leading {
		return refused("this control VM does not lead", permitRetry)
	}
	s.expirePermits(at)
	if p.Done {
		delete(s.permits, p.Server)
		delete(s.requests, p.Server)
		return message.Permitted{Granted: true}
	}
	held := s.renewHeld(at, p)
	if (held.Out || !p.Out) && (held.Load || !p.Load) {
		return s.grant(at, p)
	}
	answer := s.decideNew(at, p)
	if !answer.Granted && (held.Out || held.Load) {
		answer.LeaseFor = s.config.PermitFor
	}
	return answer
}

// renewHeld renews the parts of the permit that the server holds and still requests. It also
// records the parts that the server reports as granted by an earlier leader.
func (s *State) renewHeld(at time.Time, p message.Permit) permit {
	held, found := s.permits[p.Server]
	if !found && !p.HeldOut && !p.HeldLoad {
		return held
	}
	held.Load = p.Load && (held.Load || p.HeldLoad)
	if !held.Out && p.HeldOut {
		// The server may have no model loaded now that would show which pool it left.
		held.Out = true
		held.Pools = append(s.poolsServedBy(p.Server), s.poolOf(p.Server))
	}
	held.Expires = at.Add(s.config.PermitFor)
	s.permits[p.Server] = held
	return held
}

// decideNew decides on the parts of a request that the server does not hold yet. It refuses them
// while permits that an earlier leader granted may be valid.
func (s *State) decideNew(at time.Time, p message.Permit) message.Permitted {
	if wait := s.ledAt.Add(s.config.PermitFor).Sub(at); wait > 0 {
		return refused("a new control leader waits for permits given before it", min(wait, permitRetry))
	}
	return s.decide(at, p)
}

func refused(detail string, retry time.Duration) message.Permitted {
	return message.Permitted{Detail: detail, RetryAfter: retry}
}

func (s *State) grant(at time.Time, p message.Permit) message.Permitted {
	delete(s.requests, p.Server)
	granted := permit{Out: p.Out, Load: p.Load, Expires: at.Add(s.config.PermitFor)}
	granted.Pools = s.permits[p.Server].Pools
	if granted.Out && granted.Pools == nil {
		granted.Pools = s.poolsServedBy(p.Server)
	}
	s.permits[p.Server] = granted
	return message.Permitted{Granted: true, LeaseFor: s.config.PermitFor}
}

func (s *State) decide(at time.Time, p message.Permit) message.Permitted {
	waiting, found := s.requests[p.Server]
	if !found {
		waiting.First = at
	}
	waiting.Last = at
	detail := s.outRefusal(at, p)
	waiting.ForSlot = false
	if detail == "" && p.Load && !s.permits[p.Server].Load {
		detail = s.slotRefusal(at, p.Server, waiting.First)
		waiting.ForSlot = detail != ""
	}
	s.requests[p.Server] = waiting
	if detail != "" {
		return refused(detail, permitRetry)
	}
	return s.grant(at, p)
}

// outRefusal returns the reason why a server must not leave work now, empty if it may.
func (s *State) outRefusal(at time.Time, p message.Permit) string {
	if !p.Out || s.permits[p.Server].Out {
		return ""
	}
	l, known := s.leases[p.Server]
	if !known || !l.Known || l.Expires.IsZero() {
		return "the server has not announced itself to this leader"
	}
	if l.Announce.Server.State != oriolebend.ServerServing {
		return "" // the server is already out of work
	}
	for _, name := range s.poolsServedBy(p.Server) {
		if detail := s.poolRefusal(name, p.Server); detail != "" {
			return detail
		}
	}
	return ""
}

// poolRefusal returns the reason why a pool can't do without a server now, empty if it can.
func (s *State) poolRefusal(name, server string) string {
	pool := s.view.Pool(name)
	out := 0
	for _, other := range s.permits {
		if other.Out && slices.Contains(other.Pools, name) {
			out++
		}
	}
	if most := max(1, pool.MaxOut); out >= most {
		return fmt.Sprintf("pool %s has %d of at most %d servers out of work for a change", name, out, most)
	}
	rest := s.serving(name, server)
	if rest < pool.MinServers {
		return fmt.Sprintf("pool %s would keep %d serving servers of its minimum of %d", name, rest, pool.MinServers)
	}
	return ""
}

// serving counts the servers that serve a pool, except for one. A server counts only if both its
// valid lease and the log say that it is serving, and not once it holds a permit to be out of
// work or is declared to leave.
func (s *State) serving(pool, except string) int {
	count := 0
	for name, l := range s.leases {
		if name == except || l.Expires.IsZero() || s.permits[name].Out || s.declaredOut(name) {
			continue
		}
		written, member := s.view.Servers[name]
		if !member || written.State != oriolebend.ServerServing {
			continue
		}
		if l.Announce.Server.State == oriolebend.ServerServing && s.serves(pool, l.Announce.Server) {
			count++
		}
	}
	return count
}

// declaredOut reports whether operators declared a state other than serving for a server.
func (s *State) declaredOut(server string) bool {
	d := s.view.Server(server)
	return d != nil && d.State != "" && d.State != oriolebend.ServerServing
}

// serves reports whether a server does the work of a pool now. During a rollout, a server that
// still holds another version of its own pool's model does; a server that is to join another pool
// does the work of its old pool until it has left.
func (s *State) serves(name string, server oriolebend.Server) bool {
	pool := s.view.Pool(name)
	if pool == nil || pool.Role != server.Role {
		return false
	}
	if pool.Role == oriolebend.Service {
		return pool.Service == server.Service
	}
	version := pool.Version
	if s.poolOf(server.Name) == name {
		version = ""
	}
	return server.Serves(pool.Role, pool.Model, version, "")
}

// poolOf returns the pool that a member is declared to belong to.
func (s *State) poolOf(server string) string {
	if s.pools == nil {
		s.pools = s.view.PoolServers()
	}
	return s.pools[server]
}

// poolsServedBy returns the names of the pools that a server serves now.
func (s *State) poolsServedBy(server string) []string {
	names := []string{}
	l, known := s.leases[server]
	if !known {
		return names
	}
	for _, r := range s.view.List(oriolebend.KindPool) {
		if s.serves(r.Name, l.Announce.Server) {
			names = append(names, r.Name)
		}
	}
	return names
}

// defaultWeightLoads is the number of servers that may load weights at once if the policy sets
// none.
const defaultWeightLoads = 2

// slotRefusal returns the reason why a server can't load weights now, empty if it can. The rate
// of the weight store is shared by slots, which are granted in the order of the first requests.
func (s *State) slotRefusal(at time.Time, server string, first time.Time) string {
	slots := cmp.Or(s.view.Policy().WeightLoads, defaultWeightLoads)
	loading := 0
	for _, p := range s.permits {
		if p.Load {
			loading++
		}
	}
	ahead := 0
	for name, other := range s.requests {
		alive := at.Sub(other.Last) < 5*permitRetry
		earlier := other.First.Before(first) || other.First.Equal(first) && name < server
		if name != server && other.ForSlot && alive && earlier {
			ahead++
		}
	}
	if slots-loading > ahead {
		return ""
	}
	return fmt.Sprintf("weight store: %d of %d loads in progress, %d servers wait before", loading, slots, ahead)
}

func (s *State) expirePermits(at time.Time) {
	for name, p := range s.permits {
		if !p.Expires.After(at) {
			delete(s.permits, name)
		}
	}
	for name, waiting := range s.requests {
		if at.Sub(waiting.Last) > s.config.PermitFor {
			delete(s.requests, name)
		}
	}
}
