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

// laneKey names the requests that need the same servers.
type laneKey struct{ model, version, adapter, service string }

func (k laneKey) compare(other laneKey) int {
	return cmp.Or(
		strings.Compare(k.model, other.model),
		strings.Compare(k.version, other.version),
		strings.Compare(k.adapter, other.adapter),
		strings.Compare(k.service, other.service),
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
	// served follows the first tokens of patient requests.
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
	r.lane.queue.Push(r.Urgency == oriolebend.Urgent, r.Scope.Organisation, r.org.share, r)
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
	for {
		r, found := l.next()
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

// next takes the request whose turn it is. The limit holds back patient ones
// only: their places are held for as long as they wait at gates, and a ping
// must not wait behind them.
func (l *lane) next() (*request, bool) {
	if r, found := l.queue.PopUrgent(); found {
		return r, true
	}
	if !l.limit.Free() {
		return nil, false
	}
	return l.queue.Pop()
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
	r.counted = true
	r.lane.limit.Take()
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
