// Package pools is the reducer that divides the model engines of a service
// between prefill and decode. One control VM at a time runs it, the leader. It is
// pure: time comes in events.
package pools

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// leadBefore is how long a control VM leads before its first order. An
	// order whose answer was lost is carried out up to twelve seconds later;
	// by then none of the leader before is under way any more, so that no older
	// order can follow a newer one at an engine that does not compare fencing
	// numbers.
	leadBefore = 14 * time.Second
	// unsureFor is how long an engine gets no further order after one whose
	// outcome is not known, for the same reason.
	unsureFor = 14 * time.Second
	// settleFor is added to the time in which an engine changes its role before
	// the pools are judged anew.
	settleFor = 3 * time.Second
	// enoughRequests is how many requests must have been seen for a judgement.
	enoughRequests = 30
	// memory is the weight with which the measures of a second are forgotten:
	// half of them in about five seconds.
	memory = 0.87
	// worthMoving is how many engines the prefill pool must be off by. Less is
	// within what the measure varies by, and each move takes an engine away for
	// seconds.
	worthMoving = 0.75
	// sparesFrom is how many engines a service must have for its prefill pool
	// to be kept at two: with a single one its loss would stop all prefills.
	sparesFrom = 6
)

// State is what the leader knows. Only Reduce changes it.
type State struct {
	// leading is since when this control VM leads, zero if it does not.
	leading  time.Time
	term     uint64
	issued   uint64
	services map[string]*service
}

// service is one service with engines.
type service struct {
	limits  oriolebend.EngineLimits
	engines map[string]message.BackendServer
	// prefill and decode are how many engines' worth of work there was of late;
	// requests is how many requests that was learnt from.
	prefill, decode, requests float64
	// quietUntil is until when no engine is moved.
	quietUntil time.Time
	// unsure is until when an engine may still carry out an earlier order.
	unsure map[string]time.Time
}

// New returns an empty state.
func New() *State { return &State{services: map[string]*service{}} }

// Event changes a State.
type Event interface{ isPoolsEvent() }

// Leads tells whether this control VM leads, and in which term.
type Leads struct {
	At   time.Time
	Term uint64
	Lead bool
}

// Engines replaces what is known of the services and their engines.
type Engines struct {
	Services []oriolebend.RouteService
	Servers  []message.BackendServer
}

// Heard is what one forwarder did within about a second.
type Heard struct{ Loads []message.ServiceLoad }

// Ticked passes a second.
type Ticked struct{ At time.Time }

// Answered tells what became of an order.
type Answered struct {
	At       time.Time
	Order    Order
	Accepted bool
	// Unsure is set if the order may still be carried out.
	Unsure bool
}

func (Leads) isPoolsEvent()    {}
func (Engines) isPoolsEvent()  {}
func (Heard) isPoolsEvent()    {}
func (Ticked) isPoolsEvent()   {}
func (Answered) isPoolsEvent() {}

// Order asks an engine to change its role. It is the only effect.
type Order struct {
	Service string
	Engine  message.BackendServer
	Role    oriolebend.PoolRole
	// Fencing grows with each order, over all leaders.
	Fencing uint64
}

// fencingPerTerm leaves room for the orders of one term.
const fencingPerTerm = 1 << 20

// Reduce moves the state on and returns the orders to give.
func Reduce(s *State, event Event) []Order {
	switch e := event.(type) {
	case Leads:
		s.leads(e)
	case Engines:
		s.known(e)
	case Heard:
		s.heard(e)
	case Answered:
		s.answered(e)
	case Ticked:
		return s.ticked(e.At)
	}
	return nil
}

func (s *State) leads(e Leads) {
	switch {
	case !e.Lead:
		s.leading = time.Time{}
	case s.leading.IsZero() || e.Term != s.term:
		s.leading, s.term, s.issued = e.At, e.Term, 0
	}
}

func (s *State) known(e Engines) {
	services := map[string]*service{}
	for _, declared := range e.Services {
		if declared.Engine == nil {
			continue
		}
		kept := s.services[declared.Name]
		if kept == nil {
			kept = &service{unsure: map[string]time.Time{}}
		}
		kept.limits = *declared.Engine
		kept.engines = map[string]message.BackendServer{}
		services[declared.Name] = kept
	}
	for _, server := range e.Servers {
		v := services[server.Service]
		if v != nil && server.Phase == message.PhaseReady && !server.Silent && server.Role != "" {
			v.engines[server.Instance] = server
		}
	}
	s.services = services
}

func (s *State) heard(e Heard) {
	for _, load := range e.Loads {
		v := s.services[load.Service]
		if v == nil || v.limits.KVTokens <= 0 {
			continue
		}
		v.requests += float64(load.Requests)
		v.prefill += float64(load.PrefillBusy) / float64(time.Second)
		v.decode += float64(load.HeldTokens) / float64(v.limits.KVTokens)
	}
}

func (s *State) answered(e Answered) {
	v := s.services[e.Order.Service]
	if v == nil {
		return
	}
	if e.Unsure {
		v.unsure[e.Order.Engine.Instance] = e.At.Add(unsureFor)
	}
	v.quietUntil = e.At.Add(time.Duration(v.limits.RoleChange) + settleFor)
}

func (s *State) ticked(at time.Time) []Order {
	var orders []Order
	for _, name := range sortedNames(s.services) {
		v := s.services[name]
		order, due := s.judge(at, name, v)
		v.prefill *= memory
		v.decode *= memory
		v.requests *= memory
		if due {
			orders = append(orders, order)
			v.quietUntil = at.Add(time.Duration(v.limits.RoleChange) + settleFor)
		}
	}
	return orders
}

// judge tells whether an engine of a service is to change its role. The pools
// are divided as their work is: the share does not depend on how much there is
// of it, so that a short peak moves nothing, while both pools fill up at the
// same load.
func (s *State) judge(at time.Time, name string, v *service) (Order, bool) {
	if s.leading.IsZero() || at.Sub(s.leading) < leadBefore || at.Before(v.quietUntil) {
		return Order{}, false
	}
	if v.requests < enoughRequests || v.prefill+v.decode <= 0 {
		return Order{}, false
	}
	prefill, decode := v.pool(oriolebend.Prefill), v.pool(oriolebend.Decode)
	total := len(prefill) + len(decode)
	wanted := float64(total) * v.prefill / (v.prefill + v.decode)
	wanted = max(wanted, float64(least(total)))
	off := float64(len(prefill)) - wanted
	switch {
	case off >= worthMoving && len(prefill) > least(total):
		return s.order(at, name, v, prefill, oriolebend.Decode)
	case off <= -worthMoving && len(decode) > 1:
		return s.order(at, name, v, decode, oriolebend.Prefill)
	}
	return Order{}, false
}

// least is how many prefill engines a service keeps in any case.
func least(engines int) int {
	if engines >= sparesFrom {
		return 2
	}
	return 1
}

// order picks an engine of the failure domain that has most of its pool.
func (s *State) order(at time.Time, name string, v *service, pool []message.BackendServer, role oriolebend.PoolRole) (Order, bool) {
	domains := map[string]int{}
	for _, e := range pool {
		domains[e.FailureDomain]++
	}
	best := -1
	for i, e := range pool {
		if at.Before(v.unsure[e.Instance]) {
			continue
		}
		if best < 0 || domains[e.FailureDomain] > domains[pool[best].FailureDomain] {
			best = i
		}
	}
	if best < 0 {
		return Order{}, false
	}
	s.issued++
	return Order{Service: name, Engine: pool[best], Role: role, Fencing: s.term*fencingPerTerm + s.issued}, true
}

// pool lists the engines of a role in the order of their names.
func (v *service) pool(role oriolebend.PoolRole) []message.BackendServer {
	var list []message.BackendServer
	for _, e := range v.engines {
		if e.Role == role {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b message.BackendServer) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

func sortedNames(services map[string]*service) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Wanted is how many prefill engines a service would have by its work of late,
// for those who look from outside; NaN if too little is known.
func (s *State) Wanted(name string) float64 {
	v := s.services[name]
	if v == nil || v.requests < enoughRequests || v.prefill+v.decode <= 0 {
		return math.NaN()
	}
	return float64(len(v.engines)) * v.prefill / (v.prefill + v.decode)
}
