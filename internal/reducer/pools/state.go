// Package pools is the reducer that divides the model engines of a service
// between prefill and decode. One control VM at a time runs it, the leader. It is
// pure: time comes in events.
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
	// leadBefore is how long a control VM leads before its first order. An order
	// takes two seconds at most, and engines that do not compare fencing numbers
	// take orders of another holder only when the last one's lease of three
	// seconds is over; one second is to spare. An earlier leader's order that an
	// engine carries out later than that finds its precondition broken.
	leadBefore = 6 * time.Second
	// unsureFor is how long an engine gets no further order after one whose
	// outcome is not known: it may be carried out up to twelve seconds later.
	unsureFor = 14 * time.Second
	// backAfter is how long an engine takes after its change to announce itself.
	backAfter = 1500 * time.Millisecond
	// settleFor is added to the time in which an engine changes its role before
	// the pools are judged anew.
	settleFor = 3 * time.Second
	// enoughRequests is how many requests must have been seen for a judgement of any surplus,
	// and fewRequests for one that is sure with as few.
	enoughRequests = 30
	fewRequests    = 10
	// sureBy is by how many standard deviations of what is wanted the pool must be off with
	// fewer than enoughRequests, beyond the margin. Sizes of requests differ by about as much
	// as their mean.
	sureBy = 2.0
	// memory is the weight with which the measures of a second are forgotten:
	// half of them in about five seconds.
	memory = 0.87
	// enoughWritten is how many tokens of output must have been written for a
	// judgement: ten short answers, which a site of hundreds of engines has given a
	// second after its load begins. An engine is away for eight; with three times as
	// many tokens, those that are too many for prefill come two seconds later.
	enoughWritten = 600
	// worthMoving and worthMovingShare are how many engines, and which share of
	// all, the prefill pool must be off by. Moving one engine of a dozen for
	// less was measured to cost a tenth of the worth of days with failures: the
	// engine is away for seconds, and a small prefill pool has no spare for one
	// that crashes.
	worthMoving      = 1.6
	worthMovingShare = 0.04
	// lastingFor is how long the prefill pool must be too small before a decode
	// engine joins it: most engines that are missed are back within seconds.
	lastingFor = 10 * time.Second
	// rateWeight is how much each told rate counts beside what was learnt.
	rateWeight = 0.05
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
	// prefill is how many engines' worth of prefills there was of late, output the
	// memory of their requests times the tokens that they are to write; requests
	// is how many there were.
	prefill, output, requests float64
	// written is the output of generations that ended, in tokens, and writing the
	// seconds that it took.
	written, writing float64
	// rate is the rate of a prefill that does not wait, in tokens a millisecond. It
	// is measured from afar and holds a round trip, so that the prefill pool gets
	// some more engines than its work alone would need.
	rate float64
	// quietUntil is until when no engine is moved back from the pool that the
	// last ones were moved to, lastRole.
	quietUntil time.Time
	lastRole   oriolebend.PoolRole
	// moving are the engines that were ordered to another pool and do not
	// announce it yet. They count as being there.
	moving map[string]move
	// shortSince is since when the prefill pool is too small, zero if it is not.
	shortSince time.Time
	// leaveAlone is until when an engine gets no order: it has asked for rest, or may still
	// carry out an earlier order, also one that its earlier start was given: the name is all
	// that such an order goes by.
	leaveAlone map[string]time.Time
}

// move is a start of an engine on its way to another pool.
type move struct {
	role        oriolebend.PoolRole
	incarnation uint64
	until       time.Time
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
			kept = &service{leaveAlone: map[string]time.Time{}, moving: map[string]move{}}
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
		v.learnRate(load)
		if v.rate > 0 {
			v.prefill += float64(load.PromptTokens) / v.rate / float64(time.Second/time.Millisecond)
		}
		v.output += load.DecodeWork
		v.written += float64(load.Written)
		v.writing += load.Writing.Seconds()
	}
}

// learnRate takes what a forwarder tells of its prefills. None counts for much: a
// forwarder that has just started knows one or two.
func (v *service) learnRate(load message.ServiceLoad) {
	switch {
	case load.Rate <= 0 || load.Requests == 0:
	case v.rate == 0:
		v.rate = load.Rate
	default:
		v.rate += rateWeight * (load.Rate - v.rate)
	}
}

func (s *State) answered(e Answered) {
	v := s.services[e.Order.Service]
	if v == nil {
		return
	}
	switch {
	case e.Unsure:
		v.leaveAlone[e.Order.Engine.Instance] = e.At.Add(unsureFor)
	case !e.Accepted:
		delete(v.moving, e.Order.Engine.Instance)
		if e.Rest > 0 {
			v.leaveAlone[e.Order.Engine.Instance] = e.At.Add(e.Rest)
		}
	}
}

func (s *State) ticked(at time.Time) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		v.settle(at)
		orders = append(orders, s.judge(at, name, v)...)
		v.forget()
	}
	return orders
}

// settle lets go of moves that are over: the engine announces its new role, has had
// the time to, or has started again and knows of no order.
func (v *service) settle(at time.Time) {
	maps.DeleteFunc(v.moving, func(instance string, m move) bool {
		e, known := v.engines[instance]
		return !at.Before(m.until) || known && (e.Role == m.role || e.Incarnation > m.incarnation)
	})
}

// forget passes a second of what was measured.
func (v *service) forget() {
	for _, measure := range []*float64{&v.prefill, &v.output, &v.requests, &v.written, &v.writing} {
		*measure *= memory
	}
}

// judge tells which engines of a service are to change their role. The pools
// are divided as their work is: the share does not depend on how much there is
// of it, so that a short peak moves nothing, while both pools fill up at the
// same load.
func (s *State) judge(at time.Time, name string, v *service) []Order {
	if s.leading.IsZero() || at.Sub(s.leading) < leadBefore {
		return nil
	}
	work := v.decode()
	if v.requests < fewRequests || v.written < enoughWritten || v.prefill+work <= 0 {
		return nil
	}
	prefill, decode := v.pool(oriolebend.Prefill), v.pool(oriolebend.Decode)
	total := len(prefill) + len(decode)
	wanted := max(float64(total)*v.prefill/(v.prefill+work), float64(least(total)))
	grounds := Grounds{
		PrefillEngines: len(prefill), DecodeEngines: len(decode),
		PrefillWork: v.prefill, DecodeWork: work, Wanted: wanted,
	}
	off := float64(len(prefill)) - wanted
	margin := max(worthMoving, worthMovingShare*float64(total)) + v.unsureOf(wanted)
	if off > -margin {
		v.shortSince = time.Time{}
	}
	switch {
	case off >= margin && !v.quiet(at, oriolebend.Decode):
		spare := min(int(off*moveAtOnce), len(prefill)-least(total))
		return s.orders(at, Order{Service: name, Role: oriolebend.Decode, Grounds: grounds}, prefill, spare)
	case off <= -margin && v.shortSince.IsZero():
		v.shortSince = at
	case off <= -margin && at.Sub(v.shortSince) >= lastingFor && !v.quiet(at, oriolebend.Prefill):
		v.shortSince = time.Time{}
		missing := min(int(-off*moveAtOnce), len(decode)-1)
		return s.orders(at, Order{Service: name, Role: oriolebend.Prefill, Grounds: grounds}, decode, missing)
	}
	return nil
}

// unsureOf is by how much what is wanted may be off, seen from few requests.
//
// While memory is short hardly any request is served, and what is seen of them never comes to
// enoughRequests: with most of its engines in the wrong pool a service would stay short for as
// long as it is asked for too much. One notices it by a pool that stands idle for half a minute
// beside one that is full.
func (v *service) unsureOf(wanted float64) float64 {
	if v.requests >= enoughRequests {
		return 0
	}
	return sureBy * wanted / math.Sqrt(v.requests)
}

// decode is how many engines' worth of decoding the prompts read of late bring. The
// time that a token takes is applied here, to all of them: before the first answers
// have ended it is not known.
func (v *service) decode() float64 {
	if v.written <= 0 {
		return 0
	}
	return v.output / float64(v.limits.KVTokens) * v.writing / v.written
}

// quiet reports whether it is too early to move engines to a pool: others were
// just moved the other way. More may follow them the same way at once, since
// those on their way are counted.
func (v *service) quiet(at time.Time, to oriolebend.PoolRole) bool {
	return at.Before(v.quietUntil) && v.lastRole != to
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
	pool = slices.DeleteFunc(slices.Clone(pool), func(e message.BackendServer) bool {
		_, moving := v.moving[e.Instance]
		return moving || e.Changing || at.Before(v.leaveAlone[e.Instance])
	})
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
		v.moving[order.Engine.Instance] = move{
			role: order.Role, incarnation: order.Engine.Incarnation, until: at.Add(order.Away + settleFor),
		}
		v.quietUntil = at.Add(time.Duration(v.limits.RoleChange) + settleFor)
		v.lastRole = order.Role
	}
	return orders
}

// pool lists the engines of a role, and those on their way to it, in the order of
// their names.
func (v *service) pool(role oriolebend.PoolRole) []message.BackendServer {
	var list []message.BackendServer
	for _, e := range v.engines {
		now := e.Role
		if m, moving := v.moving[e.Instance]; moving {
			now = m.role
		}
		if now == role {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b message.BackendServer) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
