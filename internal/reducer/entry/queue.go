package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// laneKey names the requests that need the same servers and are of the same
// urgency.
//
// Urgent and patient requests have limits of their own: with one limit for
// both, patient requests that are refused for lack of memory shrink it, and
// what is urgent waits in the entry while every gate has room for it. One would
// notice urgent requests late whose gates granted at once.
type laneKey struct {
	model, version, adapter, service string
	urgency                          oriolebend.Urgency
}

func (k laneKey) compare(other laneKey) int {
	return cmp.Or(
		strings.Compare(k.model, other.model),
		strings.Compare(k.version, other.version),
		strings.Compare(k.adapter, other.adapter),
		strings.Compare(k.service, other.service),
		strings.Compare(string(k.urgency), string(other.urgency)),
	)
}

// lane holds what requests for the same servers share: the adaptive limit, the
// queue of those that wait, the retry budget, and what was learned of the time
// to the first token.
type lane struct {
	key    laneKey
	limit  *limit.Concurrency
	budget *retry.Budget
	queue  policy.FairQueue[*request]
	first  firstToken
	// served follows how many requests a second come to their first token, and
	// began the time from a request's turn to that, in seconds.
	served rateMeter
	began  float64
}

func (s *State) lane(q Request) *lane {
	k := laneKey{model: q.Model, version: q.Version, adapter: q.Adapter, service: q.Service, urgency: q.Urgency}
	l := s.lanes[k]
	if l == nil {
		l = &lane{
			key:    k,
			limit:  limit.NewConcurrency(limit.Config{Max: float64(s.config.MaxConcurrency)}),
			budget: s.poolBudget(k),
		}
		s.lanes[k] = l
	}
	return l
}

// poolBudget is the retry budget of a new lane: that of the lane for the same
// servers and the other urgency, if there is one.
func (s *State) poolBudget(k laneKey) *retry.Budget {
	for _, u := range []oriolebend.Urgency{oriolebend.Urgent, oriolebend.Patient} {
		k.urgency = u
		if other := s.lanes[k]; other != nil {
			return other.budget
		}
	}
	return retry.NewBudget(s.budgetConfig())
}

// dropLane forgets a lane that nobody uses and no server serves: callers can
// name any number of models.
func (s *State) dropLane(l *lane) {
	if l.queue.Len() > 0 || l.limit.Running() > 0 {
		return
	}
	if s.pool(l.pool()).Len() == 0 {
		delete(s.lanes, l.key)
	}
}

func (l *lane) pool() poolKey {
	if l.key.service != "" {
		return poolKey{role: oriolebend.Service, service: l.key.service}
	}
	return poolKey{
		role:    oriolebend.Prefill,
		model:   l.key.model,
		version: l.key.version,
		adapter: l.key.adapter,
	}
}

// enqueue lets an accepted request wait for its turn. It goes on at once if
// its lane has a place: pump runs at the end of each event.
func (s *State) enqueue(r *request) {
	s.startWaiting(r)
	if r.queued || !r.due[alarmWake].IsZero() {
		return
	}
	r.queued = true
	add := r.lane.queue.Push
	if r.begun {
		add = r.lane.queue.Return
	}
	add(r.Urgency == oriolebend.Urgent, r.Scope.Organisation, r.org.share, r)
	s.ready(r.lane)
}

// startWaiting counts a request that holds no room, whether it stands in its
// lane's queue or pauses before it does.
func (s *State) startWaiting(r *request) {
	if r.step == stepWaiting {
		return
	}
	r.step = stepWaiting
	s.waiting++
	s.waitingBytes += len(r.Prompt)
}

func (s *State) stopWaiting(r *request) {
	if r.step != stepWaiting {
		return
	}
	r.step = ""
	s.waiting--
	s.waitingBytes -= len(r.Prompt)
}

// ready marks a lane whose queue may go on.
func (s *State) ready(l *lane) {
	if !slices.Contains(s.readyLanes, l) {
		s.readyLanes = append(s.readyLanes, l)
	}
}

// pump starts waiting requests while their lanes have places. Only lanes that
// changed in this event are looked at, so that the cost of an event does not
// grow with what waits.
func (s *State) pump() {
	for len(s.readyLanes) > 0 {
		l := s.readyLanes[0]
		s.readyLanes = s.readyLanes[1:]
		s.pumpLane(l)
	}
}

func (s *State) pumpLane(l *lane) {
	for l.queue.Len() > 0 && l.limit.Free() {
		r, found := l.queue.Pop()
		if !found {
			return
		}
		r.queued = false
		if !s.mayRetry(r) {
			continue
		}
		s.takePlace(r)
		s.begin(r)
	}
}

// leaveQueue takes a request that ends out of all waiting.
func (s *State) leaveQueue(r *request) {
	r.clearAlarm(alarmWake)
	s.stopWaiting(r)
	if r.queued {
		r.queued = false
		r.lane.queue.Remove(r.Urgency == oriolebend.Urgent, r.Scope.Organisation, r)
	}
}

func (s *State) takePlace(r *request) {
	if r.counted {
		return
	}
	r.counted = r.lane.limit.Acquire()
}

func (s *State) releasePlace(r *request) {
	if !r.counted {
		return
	}
	r.counted = false
	r.lane.limit.Release()
	s.ready(r.lane)
}

// waitFor has a request that found no room try again after a while. It gives
// its place in the lane to others meanwhile.
func (s *State) waitFor(r *request, pause time.Duration) {
	s.startWaiting(r)
	s.releasePlace(r)
	s.setAlarm(r, alarmWake, pause)
}

func (s *State) wake(r *request) {
	if r.step == stepWaiting {
		s.enqueue(r)
	}
}

// wakeLanes has every lane look again after a change of membership, in a
// fixed order.
func (s *State) wakeLanes() {
	lanes := make([]*lane, 0, len(s.lanes))
	for _, l := range s.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return a.key.compare(b.key) })
	for _, l := range lanes {
		s.ready(l)
	}
}
