// Package pools is the reducer that divides the model engines of a service
// between prefill and decode. One control VM at a time runs it, the leader. It is
// pure: time comes in events.
package pools

import (
	"cmp"
	"maps"
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
	// backAfter is how long an engine takes after its change to announce itself.
	backAfter = 1500 * time.Millisecond
	// settleFor is added to the time in which an engine changes its role before
	// the pools are judged anew.
	settleFor = 3 * time.Second
	// enoughRequests is how many requests must have been seen for a judgement.
	enoughRequests = 30
	// memory is the weight with which the measures of a second are forgotten:
	// half of them in about five seconds.
	memory = 0.87
	// worthMoving and worthMovingShare are how many engines, and which share of
	// all, the prefill pool must be off by. Moving one engine of a dozen for
	// less was measured to cost a tenth of the worth of days with failures: the
	// engine is away for seconds, and a small prefill pool has no spare for one
	// that crashes.
	worthMoving      = 1.6
	worthMovingShare = 0.08
	// lastingFor is how long the prefill pool must be too small before a decode
	// engine joins it: most engines that are missed are back within seconds.
	lastingFor = 10 * time.Second
	// rateKept is how much of the best rate is kept each second.
	rateKept = 0.995
	// moveAtOnce is the share of the surplus that is moved at once; the rest is
	// judged anew.
	moveAtOnce = 0.75
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
	// rate is the highest rate of a prefill of late, in tokens a millisecond.
	rate float64
	// quietUntil is until when no engine is moved.
	quietUntil time.Time
	// shortSince is since when the prefill pool is too small, zero if it is not.
	shortSince time.Time
	// unsure is until when an engine may still carry out an earlier order.
	unsure map[string]time.Time
}

// New returns an empty state.
func New() *State { return &State{services: map[string]*service{}} }

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
		// A forwarder that has just started has measured prefills that waited in
		// a queue; the best of all is the engines' own rate.
		v.rate = max(v.rate, load.BestRate)
		if v.rate > 0 {
			v.prefill += float64(load.PromptTokens) / v.rate / float64(time.Second/time.Millisecond)
		}
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
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		due := s.judge(at, name, v)
		v.prefill *= memory
		v.decode *= memory
		v.requests *= memory
		v.rate *= rateKept
		if len(due) > 0 {
			orders = append(orders, due...)
			v.quietUntil = at.Add(time.Duration(v.limits.RoleChange) + settleFor)
		}
	}
	return orders
}

// judge tells which engines of a service are to change their role. The pools
// are divided as their work is: the share does not depend on how much there is
// of it, so that a short peak moves nothing, while both pools fill up at the
// same load.
func (s *State) judge(at time.Time, name string, v *service) []Order {
	if s.leading.IsZero() || at.Sub(s.leading) < leadBefore || at.Before(v.quietUntil) {
		return nil
	}
	if v.requests < enoughRequests || v.prefill+v.decode <= 0 {
		return nil
	}
	prefill, decode := v.pool(oriolebend.Prefill), v.pool(oriolebend.Decode)
	total := len(prefill) + len(decode)
	wanted := max(float64(total)*v.prefill/(v.prefill+v.decode), float64(least(total)))
	grounds := Grounds{
		PrefillEngines: len(prefill), DecodeEngines: len(decode),
		PrefillWork: v.prefill, DecodeWork: v.decode, Wanted: wanted,
	}
	off := float64(len(prefill)) - wanted
	margin := max(worthMoving, worthMovingShare*float64(total))
	if off > -margin {
		v.shortSince = time.Time{}
	}
	switch {
	case off >= margin:
		spare := min(int(off*moveAtOnce), len(prefill)-least(total))
		return s.orders(at, Order{Service: name, Role: oriolebend.Decode, Grounds: grounds}, prefill, spare)
	case off <= -margin && v.shortSince.IsZero():
		v.shortSince = at
	case off <= -margin && at.Sub(v.shortSince) >= lastingFor:
		v.shortSince = time.Time{}
		missing := min(int(-off*moveAtOnce), len(decode)-1)
		return s.orders(at, Order{Service: name, Role: oriolebend.Prefill, Grounds: grounds}, decode, missing)
	}
	return nil
}

// least is how many prefill engines a service keeps in any case.
func least(engines int) int {
	if engines >= sparesFrom {
		return 2
	}
	return 1
}

// orders picks engines, each of the failure domain that has most of the pool
// left.
func (s *State) orders(at time.Time, order Order, pool []message.BackendServer, count int) []Order {
	v := s.services[order.Service]
	pool = slices.DeleteFunc(slices.Clone(pool), func(e message.BackendServer) bool { return at.Before(v.unsure[e.Instance]) })
	var orders []Order
	for len(orders) < count && len(pool) > 0 {
		domains := map[string]int{}
		for _, e := range pool {
			domains[e.FailureDomain]++
		}
		best := 0
		for i, e := range pool {
			if domains[e.FailureDomain] > domains[pool[best].FailureDomain] {
				best = i
			}
		}
		s.issued++
		order.Away = time.Duration(v.limits.RoleChange) + backAfter
		order.Engine, order.Fencing = pool[best], s.term*fencingPerTerm+s.issued
		orders = append(orders, order)
		pool = slices.Delete(pool, best, best+1)
	}
	return orders
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
