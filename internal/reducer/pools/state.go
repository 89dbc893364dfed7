// Package pools is the reducer that divides the model engines of a service
// between the prefill and the decode pool. It runs on one control VM at a time, the
// leader. It is pure: time comes in events.
package pools

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// leadBefore is how long a control VM must lead before its first order. An order
	// takes two seconds at most, and engines that do not compare fencing numbers
	// accept orders of another holder only when the last holder's lease of three
	// seconds has expired; one second is a margin. If an engine carries out an earlier
	// leader's order later than that, the order's precondition fails.
	leadBefore = 6 * time.Second
	// unknownOutcomeFor is how long an engine gets no further order after one whose
	// outcome is unknown: the order may be carried out up to twelve seconds later.
	unknownOutcomeFor = 14 * time.Second
	// announceAfter is how long an engine takes to announce itself after a change of role.
	announceAfter = 1500 * time.Millisecond
	// settleFor is added to the time in which an engine changes its role before
	// the pools are evaluated again.
	settleFor = 3 * time.Second
	// enoughRequests is how many requests must have been counted to act on any surplus,
	// and fewRequests how many to act on a surplus that is significant with as few.
	enoughRequests = 30
	fewRequests    = 10
	// significance is by how many standard deviations of the wanted size the pool must be off
	// with fewer than enoughRequests, beyond the margin. The standard deviation of request
	// sizes is about their mean.
	significance = 2.0
	// decay is the factor by which the counts decay each second: half of them in about five
	// seconds.
	decay = 0.87
	// enoughWritten is how many tokens of output must have been written to evaluate the
	// pools: ten short answers, which a site of hundreds of engines has given a second after
	// its load begins. An engine is unavailable for eight seconds during its change of role;
	// with three times as many tokens, the surplus engines of the prefill pool would arrive
	// two seconds later.
	enoughWritten = 600
	// worthMoving and worthMovingShare are how many engines, and which share of all, the prefill
	// pool must be off by. Moving one engine of a dozen for less lowers the worth of the requests
	// served on days with failures by a tenth: the engine is unavailable for seconds, and a small
	// prefill pool has no spare for one that crashes.
	worthMoving      = 1.6
	worthMovingShare = 0.04
	// shortFor is how long the prefill pool must be too small before a decode
	// engine joins it: most missing engines are back within seconds.
	shortFor = 10 * time.Second
	// rateWeight is the weight of each reported rate in the average.
	rateWeight = 0.05
	// moveAtOnce is the share of the surplus that is moved at once; the rest is
	// evaluated again.
	moveAtOnce = 0.75
	// sparesFrom is how many engines a service must have for its prefill pool
	// to keep at least two: if a single one were lost, all prefills would stop.
	sparesFrom = 6
)

// State is what the leader knows. Only Reduce changes it.
type State struct {
	// leadingSince is since when this control VM leads, zero if it does not.
	leadingSince time.Time
	term         uint64
	issued       uint64
	services     map[string]*service
}

// service is one service with engines.
type service struct {
	limits  oriolebend.EngineLimits
	engines map[string]message.BackendServer
	// prefillWork is the recent prefill work in engines, output the memory of the requests
	// times the tokens that they are expected to write; requests is the number of the
	// requests. All decay.
	prefillWork, output, requests float64
	// written is the output of generations that ended, in tokens, and writing the
	// seconds that it took. Both decay.
	written, writing float64
	// rate is the rate of a prefill that does not wait, in tokens per millisecond. It
	// is measured by the forwarders and includes a round trip, so that the prefill pool
	// gets some more engines than its work alone would need.
	rate float64
	// quietUntil is until when no engine is moved back from the pool that the
	// last ones were moved to, lastRole.
	quietUntil time.Time
	lastRole   oriolebend.PoolRole
	// moving are the engines that were ordered to another pool and do not
	// announce it yet. They are counted in the pool to which they move.
	moving map[string]move
	// shortSince is since when the prefill pool is too small, zero if it is not.
	shortSince time.Time
	// noOrderUntil is until when an engine gets no order: it has requested a backoff period,
	// or may still carry out an earlier order. That order may have been given to an earlier
	// incarnation of the engine, because such an order identifies its engine only by name.
	noOrderUntil map[string]time.Time
}

// move is the move of one incarnation of an engine to another pool.
type move struct {
	role        oriolebend.PoolRole
	incarnation uint64
	until       time.Time
}

// New returns an empty state.
func New() *State { return &State{services: map[string]*service{}} }

// fencingPerTerm is the number of fencing numbers available to the orders of one term.
const fencingPerTerm = 1 << 20

// Reduce applies an event to the state and returns the orders to give.
func Reduce(s *State, event Event) []Order {
	switch e := event.(type) {
	case LeadershipReported:
		s.setLeadership(e)
	case Engines:
		s.replaceEngines(e)
	case LoadsReported:
		s.addLoads(e)
	case OrderAnswered:
		s.applyAnswer(e)
	case Ticked:
		return s.tick(e.At)
	}
	return nil
}

func (s *State) setLeadership(e LeadershipReported) {
	switch {
	case !e.Lead:
		s.leadingSince = time.Time{}
	case s.leadingSince.IsZero() || e.Term != s.term:
		s.leadingSince, s.term, s.issued = e.At, e.Term, 0
	}
}

func (s *State) replaceEngines(e Engines) {
	services := map[string]*service{}
	for _, declared := range e.Services {
		if declared.Engine == nil {
			continue
		}
		kept := s.services[declared.Name]
		if kept == nil {
			kept = &service{noOrderUntil: map[string]time.Time{}, moving: map[string]move{}}
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

func (s *State) addLoads(e LoadsReported) {
	for _, load := range e.Loads {
		v := s.services[load.Service]
		if v == nil || v.limits.KVTokens <= 0 {
			continue
		}
		v.requests += float64(load.Requests)
		v.updateRate(load)
		if v.rate > 0 {
			v.prefillWork += float64(load.PromptTokens) / v.rate / float64(time.Second/time.Millisecond)
		}
		v.output += load.DecodeWork
		v.written += float64(load.Written)
		v.writing += load.Writing.Seconds()
	}
}

// updateRate adds the prefill rate that a forwarder reports to the average. A single report
// has a low weight: a forwarder that has just started knows one or two prefills.
func (v *service) updateRate(load message.ServiceLoad) {
	switch {
	case load.Rate <= 0 || load.Requests == 0:
	case v.rate == 0:
		v.rate = load.Rate
	default:
		v.rate += rateWeight * (load.Rate - v.rate)
	}
}

func (s *State) applyAnswer(e OrderAnswered) {
	v := s.services[e.Order.Service]
	if v == nil {
		return
	}
	switch {
	case e.OutcomeUnknown:
		v.noOrderUntil[e.Order.Engine.Instance] = e.At.Add(unknownOutcomeFor)
	case !e.Accepted:
		delete(v.moving, e.Order.Engine.Instance)
		if e.Backoff > 0 {
			v.noOrderUntil[e.Order.Engine.Instance] = e.At.Add(e.Backoff)
		}
	}
}

func (s *State) tick(at time.Time) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		v.dropFinishedMoves(at)
		orders = append(orders, s.evaluate(at, name, v)...)
		v.decayCounts()
	}
	return orders
}

// dropFinishedMoves drops moves that are over: the engine announces its new role, has had
// the time to do so, or has restarted and knows of no order.
func (v *service) dropFinishedMoves(at time.Time) {
	maps.DeleteFunc(v.moving, func(instance string, m move) bool {
		e, known := v.engines[instance]
		return !at.Before(m.until) || known && (e.Role == m.role || e.Incarnation > m.incarnation)
	})
}

// decayCounts decays the counts by one second.
func (v *service) decayCounts() {
	for _, count := range []*float64{&v.prefillWork, &v.output, &v.requests, &v.written, &v.writing} {
		*count *= decay
	}
}

// evaluate decides which engines of a service change their role. The pools are
// divided in proportion to their work. The proportion does not depend on the amount of
// work, so that a short peak moves nothing, while both pools fill up at the same load.
func (s *State) evaluate(at time.Time, name string, v *service) []Order {
	if s.leadingSince.IsZero() || at.Sub(s.leadingSince) < leadBefore {
		return nil
	}
	decodeWork := v.decodeWork()
	if v.requests < fewRequests || v.written < enoughWritten || v.prefillWork+decodeWork <= 0 {
		return nil
	}
	prefill, decode := v.pool(oriolebend.Prefill), v.pool(oriolebend.Decode)
	total := len(prefill) + len(decode)
	wanted := max(float64(total)*v.prefillWork/(v.prefillWork+decodeWork), float64(leastPrefill(total)))
	grounds := Grounds{
		PrefillEngines: len(prefill), DecodeEngines: len(decode),
		PrefillWork: v.prefillWork, DecodeWork: decodeWork, Wanted: wanted,
	}
	off := float64(len(prefill)) - wanted
	margin := max(worthMoving, worthMovingShare*float64(total)) + v.uncertainty(wanted)
	if off > -margin {
		v.shortSince = time.Time{}
	}
	switch {
	case off >= margin && !v.quiet(at, oriolebend.Decode):
		surplus := min(int(off*moveAtOnce), len(prefill)-leastPrefill(total))
		return s.orders(at, Order{Service: name, Role: oriolebend.Decode, Grounds: grounds}, prefill, surplus)
	case off <= -margin && v.shortSince.IsZero():
		v.shortSince = at
	case off <= -margin && at.Sub(v.shortSince) >= shortFor && !v.quiet(at, oriolebend.Prefill):
		v.shortSince = time.Time{}
		missing := min(int(-off*moveAtOnce), len(decode)-1)
		return s.orders(at, Order{Service: name, Role: oriolebend.Prefill, Grounds: grounds}, decode, missing)
	}
	return nil
}

// uncertainty is by how many engines the wanted size of the prefill pool may be off because it
// was computed from few requests.
//
// While memory is short, hardly any request is served, and the count of requests never reaches
// enoughRequests. If no engine were moved below that count, a service with most of its engines in
// the wrong pool would stay short for as long as the overload lasts. The symptom is that one pool
// is idle for half a minute while the other one is full.
func (v *service) uncertainty(wanted float64) float64 {
	if v.requests >= enoughRequests {
		return 0
	}
	return significance * wanted / math.Sqrt(v.requests)
}

// decodeWork is the decode work, in engines, that the recently prefilled prompts bring. The
// time per token is applied here, to all of the prompts, because it is unknown until the
// first answers have ended.
func (v *service) decodeWork() float64 {
	if v.written <= 0 {
		return 0
	}
	return v.output / float64(v.limits.KVTokens) * v.writing / v.written
}

// quiet reports whether it is too early to move engines to a pool because others were
// just moved in the opposite direction. More engines may follow in the same direction at
// once, since the moving ones are already counted.
func (v *service) quiet(at time.Time, to oriolebend.PoolRole) bool {
	return at.Before(v.quietUntil) && v.lastRole != to
}

// leastPrefill is the smallest number of prefill engines of a service.
func leastPrefill(engines int) int {
	if engines >= sparesFrom {
		return 2
	}
	return 1
}

// orders selects engines of a pool to move, each from the failure domain that has the most
// engines left in the pool.
func (s *State) orders(at time.Time, order Order, pool []message.BackendServer, count int) []Order {
	v := s.services[order.Service]
	pool = slices.DeleteFunc(slices.Clone(pool), func(e message.BackendServer) bool {
		_, moving := v.moving[e.Instance]
		return moving || e.Changing || at.Before(v.noOrderUntil[e.Instance])
	})
	var orders []Order
	for len(orders) < count {
		if order.Role == oriolebend.Prefill {
			pool = slices.DeleteFunc(pool, v.lastDecoderOfVersion)
		}
		if len(pool) == 0 {
			break
		}
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
		order.UnavailableFor = time.Duration(v.limits.RoleChange) + announceAfter
		order.Engine, order.Fencing = pool[best], s.term*fencingPerTerm+s.issued
		orders = append(orders, order)
		pool = slices.Delete(pool, best, best+1)
		v.moving[order.Engine.Instance] = move{
			role: order.Role, incarnation: order.Engine.Incarnation, until: at.Add(order.UnavailableFor + settleFor),
		}
		v.quietUntil = at.Add(time.Duration(v.limits.RoleChange) + settleFor)
		v.lastRole = order.Role
	}
	return orders
}

// lastDecoderOfVersion reports whether no other decode engine has the software version of an engine.
// Without it no stream that the version began could continue.
func (v *service) lastDecoderOfVersion(e message.BackendServer) bool {
	return !slices.ContainsFunc(v.pool(oriolebend.Decode), func(other message.BackendServer) bool {
		return other.Instance != e.Instance && other.SoftwareVersion == e.SoftwareVersion
	})
}

// pool lists the engines of a role, including those that move to it, sorted by instance.
func (v *service) pool(role oriolebend.PoolRole) []message.BackendServer {
	var list []message.BackendServer
	for _, e := range v.engines {
		current := e.Role
		if m, moving := v.moving[e.Instance]; moving {
			current = m.role
		}
		if current == role {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b message.BackendServer) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
