package entry

import (
	"cmp"
	"container/list"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// laneKey identifies the requests that need the same servers.
type laneKey struct{ model, version, adapter, service string }

func (k laneKey) compare(other laneKey) int {
	return cmp.Or(
		strings.Compare(k.model, other.model),
		strings.Compare(k.version, other.version),
		strings.Compare(k.adapter, other.adapter),
		strings.Compare(k.service, other.service),
	)
}

// lane holds the shared state of the requests that need the same servers: the
// adaptive limit, the queue of waiting requests, the retry budget and the
// learned costs.
type lane struct {
	key    laneKey
	limit  *limit.Concurrency
	budget *retry.Budget
	queue  policy.FairQueue[*request]
	costs  costModel
	// served measures the rate of first tokens of patient requests.
	served rateMeter
	// urgent and patient are the requests without output, oldest first.
	urgent  list.List
	patient list.List
}

func (s *State) lane(q Request) *lane {
	k := laneKey{model: q.Model, version: q.Version, adapter: q.Adapter, service: q.Service}
	l := s.lanes[k]
	if l == nil {
		l = &lane{
			key:    k,
			limit:  limit.NewConcurrency(limit.Config{Max: float64(s.config.MaxConcurrency)}),
			budget: retry.NewBudget(s.budgetConfig()),
		}
		s.lanes[k] = l
	}
	return l
}

// dropLane removes a lane that no request uses and no server serves, because
// callers can name any number of models.
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

// enqueue puts an accepted request into its lane's queue. It starts in the same
// event if the lane has a free slot, since runQueues runs at the end of each
// event.
func (s *State) enqueue(r *request) {
	s.startWaiting(r)
	if r.queued || !r.due[alarmWake].IsZero() {
		return
	}
	r.queued = true
	r.lane.queue.Push(r.Urgency == oriolebend.Urgent, r.Scope.Organisation, r.org.share, r)
	s.markReady(r.lane)
}

// startWaiting counts a request that holds no capacity as waiting, both while
// it is in its lane's queue and during the pause before that.
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

// markReady marks a lane whose queue is to be checked.
func (s *State) markReady(l *lane) {
	if !slices.Contains(s.readyLanes, l) {
		s.readyLanes = append(s.readyLanes, l)
	}
}

// runQueues starts waiting requests while their lanes have free slots. It
// checks only lanes that changed in this event, so that the cost of an event
// does not grow with the number of waiting requests.
func (s *State) runQueues() {
	for len(s.readyLanes) > 0 {
		l := s.readyLanes[0]
		s.readyLanes = s.readyLanes[1:]
		s.runLane(l)
	}
}

func (s *State) runLane(l *lane) {
	for {
		r, found := l.next()
		if !found {
			return
		}
		r.queued = false
		if !s.acquireRetry(r) {
			continue
		}
		s.takeSlot(r)
		s.startRouting(r)
	}
}

// next removes and returns the request whose turn it is. The limit applies to
// patient requests only: they hold their slots for as long as they wait at
// gates, and an urgent request must not wait behind them.
func (l *lane) next() (*request, bool) {
	if r, found := l.queue.PopUrgent(); found {
		return r, true
	}
	if !l.limit.Free() {
		return nil, false
	}
	return l.queue.Pop()
}

// leaveQueue removes a request that ends from its queue and stops its wait.
func (s *State) leaveQueue(r *request) {
	r.clearAlarm(alarmWake)
	s.stopWaiting(r)
	if r.queued {
		r.queued = false
		r.lane.queue.Remove(r.Urgency == oriolebend.Urgent, r.Scope.Organisation, r)
	}
}

func (s *State) takeSlot(r *request) {
	if r.holdsSlot {
		return
	}
	r.holdsSlot = true
	r.lane.limit.Take()
}

func (s *State) releaseSlot(r *request) {
	if !r.holdsSlot {
		return
	}
	r.holdsSlot = false
	r.lane.limit.Release()
	s.markReady(r.lane)
}

// waitAndRetry queues a request that found no capacity again after a pause. Its
// slot in the lane is free for others meanwhile.
func (s *State) waitAndRetry(r *request, pause time.Duration) {
	s.startWaiting(r)
	s.releaseSlot(r)
	s.setAlarm(r, alarmWake, pause)
}

func (s *State) wake(r *request) {
	if r.step == stepWaiting {
		s.enqueue(r)
	}
}

// wakeLanes marks every lane ready after a change of membership, in a fixed
// order.
func (s *State) wakeLanes() {
	lanes := make([]*lane, 0, len(s.lanes))
	for _, l := range s.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return a.key.compare(b.key) })
	for _, l := range lanes {
		s.markReady(l)
	}
}
