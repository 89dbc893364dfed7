package member

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// permitRetry is when a sidecar that got no permit should ask again.
const permitRetry = time.Second

// permit lets one server be out of work or load weights.
type permit struct {
	Out     bool
	Load    bool
	Expires time.Time
	// Pools are those that miss the server while it is out.
	Pools []string
}

// ask is a sidecar that waits for a permit.
type ask struct {
	First time.Time
	Last  time.Time
	// ForSlot is true if only the weight store's rate stood in the way.
	ForSlot bool
}

// asked answers a message about a permit.
//
// Permits are leases in the leader's memory. A new leader gives none for as
// long as one of its predecessor may live; holders renew with it meanwhile and
// are counted. So no two leaders give the same room twice.
func (s *State) asked(e Asked) []Effect {
	return []Effect{Reply{Session: e.Session, Message: s.answer(e.At, e.Permit)}}
}

func (s *State) answer(at time.Time, p message.Permit) message.Permitted {
	if !s.leading {
		return refused("this control VM does not lead", permitRetry)
	}
	s.lapsePermits(at)
	if p.Done {
		delete(s.permits, p.Server)
		delete(s.asks, p.Server)
		return message.Permitted{Granted: true}
	}
	held := s.renewHeld(at, p)
	if (held.Out || !p.Out) && (held.Load || !p.Load) {
		return s.grant(at, p)
	}
	answer := s.weighNew(at, p)
	if !answer.Granted && (held.Out || held.Load) {
		answer.LeaseFor = s.config.PermitFor
	}
	return answer
}

// renewHeld renews what the server holds and still asks for, counting what it
// acts on by the word of an earlier leader.
func (s *State) renewHeld(at time.Time, p message.Permit) permit {
	held, found := s.permits[p.Server]
	if !found && !p.HeldOut && !p.HeldLoad {
		return held
	}
	held.Load = p.Load && (held.Load || p.HeldLoad)
	if !held.Out && p.HeldOut {
		// It may hold nothing now that tells which pool it left.
		held.Out = true
		held.Pools = append(s.poolsMissing(p.Server), s.poolOf(p.Server))
	}
	held.Expires = at.Add(s.config.PermitFor)
	s.permits[p.Server] = held
	return held
}

// weighNew decides on what the server does not hold yet.
func (s *State) weighNew(at time.Time, p message.Permit) message.Permitted {
	if wait := s.ledAt.Add(s.config.PermitFor).Sub(at); wait > 0 {
		return refused("a new control leader waits for permits given before it", min(wait, permitRetry))
	}
	return s.weigh(at, p)
}

func refused(detail string, retry time.Duration) message.Permitted {
	return message.Permitted{Detail: detail, RetryAfter: retry}
}

func (s *State) grant(at time.Time, p message.Permit) message.Permitted {
	delete(s.asks, p.Server)
	given := permit{Out: p.Out, Load: p.Load, Expires: at.Add(s.config.PermitFor)}
	given.Pools = s.permits[p.Server].Pools
	if given.Out && given.Pools == nil {
		given.Pools = s.poolsMissing(p.Server)
	}
	s.permits[p.Server] = given
	return message.Permitted{Granted: true, LeaseFor: s.config.PermitFor}
}

func (s *State) weigh(at time.Time, p message.Permit) message.Permitted {
	waiting, found := s.asks[p.Server]
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
	s.asks[p.Server] = waiting
	if detail != "" {
		return refused(detail, permitRetry)
	}
	return s.grant(at, p)
}

// outRefusal says why a server can't leave work now; empty if it can.
func (s *State) outRefusal(at time.Time, p message.Permit) string {
	if !p.Out || s.permits[p.Server].Out {
		return ""
	}
	held, known := s.leases[p.Server]
	if !known || !held.Known || held.Expires.IsZero() {
		return "the server has not announced itself to this leader"
	}
	if held.Announce.Server.State != oriolebend.ServerServing {
		return "" // it is out of work already
	}
	for _, name := range s.poolsMissing(p.Server) {
		if detail := s.poolRefusal(name, p.Server); detail != "" {
			return detail
		}
	}
	return ""
}

// poolRefusal says why a pool can't do without a server; empty if it can.
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

// serving counts the servers that serve a pool beside one server. A server
// counts only on its own word in a living lease, and not once it may leave or
// is declared to.
func (s *State) serving(pool, beside string) int {
	count := 0
	for name, held := range s.leases {
		if name == beside || held.Expires.IsZero() || s.permits[name].Out || s.declaredOut(name) {
			continue
		}
		written, member := s.view.Servers[name]
		if !member || written.State != oriolebend.ServerServing {
			continue
		}
		if held.Announce.Server.State == oriolebend.ServerServing && s.serves(pool, held.Announce.Server) {
			count++
		}
	}
	return count
}

// declaredOut reports whether operators declared that a server leaves.
func (s *State) declaredOut(server string) bool {
	d := s.view.Server(server)
	return d != nil && d.State != "" && d.State != oriolebend.ServerServing
}

// serves reports whether a server does the work of a pool now. One that still
// holds another version of its own pool's model does, during a rollout; one
// that is to join another pool does until it has left.
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

// poolOf names the pool that a member is declared to belong to.
func (s *State) poolOf(server string) string {
	if s.pools == nil {
		s.pools = s.view.PoolServers()
	}
	return s.pools[server]
}

// poolsMissing names the pools that a server serves now.
func (s *State) poolsMissing(server string) []string {
	names := []string{}
	held, known := s.leases[server]
	if !known {
		return names
	}
	for _, r := range s.view.List(oriolebend.KindPool) {
		if s.serves(r.Name, held.Announce.Server) {
			names = append(names, r.Name)
		}
	}
	return names
}

// defaultWeightLoads is how many servers load weights at once if no policy
// says otherwise.
const defaultWeightLoads = 2

// slotRefusal says why a server can't load weights now; empty if it can. The
// store's rate is shared by slots, given in the order of asking.
func (s *State) slotRefusal(at time.Time, server string, first time.Time) string {
	slots := cmp.Or(s.view.Policy().WeightLoads, defaultWeightLoads)
	loading := 0
	for _, p := range s.permits {
		if p.Load {
			loading++
		}
	}
	ahead := 0
	for name, other := range s.asks {
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

func (s *State) lapsePermits(at time.Time) {
	for name, p := range s.permits {
		if !p.Expires.After(at) {
			delete(s.permits, name)
		}
	}
	for name, waiting := range s.asks {
		if at.Sub(waiting.Last) > s.config.PermitFor {
			delete(s.asks, name)
		}
	}
}
