package placement

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/ranks"
)

// demand is what is requested of a service's engines by rank. All of it is lost with the process,
// and nothing is reserved until enough requests were seen.
type demand struct {
	ranks ranks.Uses
	// slack is the usual time for which a new request of a rank may wait and still be in
	// time, zero if none was seen.
	slack [ranks.Max]time.Duration
}

const (
	// mostHeld is the largest part of the engines' memory that is reserved.
	mostHeld = 0.25
	// slackWeight is the weight of each request in the usual slack of its rank.
	slackWeight = 0.1
	// urgentQueue is the largest queue of a prefill engine to which a less urgent prompt is added, as
	// a part of the slack of more urgent requests. The rest is for urgent prompts that arrive together.
	urgentQueue = 0.5
)

// observe counts a new request. One that no engine can hold takes no memory; its size would reserve
// all memory until it has decayed.
func (d *demand) observe(q *request, at time.Time) {
	if !q.fits {
		return
	}
	d.ranks.Advance(at)
	d.ranks.Request(q.level, float64(q.need.Memory()))
	slack := &d.slack[q.level]
	switch {
	case q.late(at):
		return
	case *slack == 0:
		*slack = q.inTime.Sub(at)
	}
	*slack += time.Duration(slackWeight * float64(q.inTime.Sub(at)-*slack))
}

// settled counts a request that was granted a placement or refused.
func (d *demand) settled(q *request, at time.Time, served bool) {
	if !q.fits {
		return
	}
	d.ranks.Advance(at)
	granted := 0
	if served {
		granted = 1
	}
	d.ranks.Settle(q.level, 1, granted)
}

// leastSlack is the least slack of the ranks that are more urgent than a rank; false if none of
// them is in use.
func (d *demand) leastSlack(rank int) (time.Duration, bool) {
	if d.ranks.MoreUrgent(rank).None() {
		return 0, false
	}
	least := time.Duration(math.MaxInt64)
	for i, slack := range d.slack[:rank] {
		if slack > 0 && d.ranks.InUse(i) {
			least = min(least, slack)
		}
	}
	return least, true
}

// inUse reports whether requests of a service are treated by their rank.
func (s *State) inUse(f *flow) bool { return !s.ranksDisabled && f.demand.ranks.Several() }

// leavesRoom reports whether a request would leave enough memory, and a queue at the prefill
// engines that is short enough, for more urgent requests. A rank that is served too seldom need
// not leave memory.
func (s *State) leavesRoom(r *round, q *request) bool {
	f := s.flow(q.need.Service)
	if !s.inUse(f) {
		return true
	}
	room := s.room(r, f, q.need.Service)
	if room.Queue > f.demand.queueLimit(r.at, q) && !dispatch.MayOverflow(s.engines, q.need) {
		return false
	}
	urgent := f.demand.ranks.MoreUrgent(q.level)
	rate, known := f.freeRate()
	// Without an engine of good health no memory is known, and the best of the others are used.
	if room.All == 0 || urgent.None() || !known || f.demand.ranks.Behind(q.level) {
		return true
	}
	// What more urgent ranks request until as much memory as this request takes is free.
	own := float64(q.need.Memory()) / urgent.Size()
	held := min(math.Round(own*urgent.Load(rate)), math.Floor(mostHeld*float64(room.All)))
	if float64(room.Places-1) >= held {
		return true
	}
	s.counted.Reserved = max(s.counted.Reserved, int(held))
	return false
}

// room returns the room of a service for a request of the usual size, over all ranks in use.
func (s *State) room(r *round, f *flow, service string) dispatch.Room {
	room, known := r.rooms[service]
	if !known {
		size := f.demand.ranks.MoreUrgent(ranks.Max).Size()
		room = dispatch.RoomFor(s.engines, r.at, dispatch.Need{Service: service, Prompt: int(size)})
		r.rooms[service] = room
	}
	return room
}

// overtaken reports whether a request that can still be in time can't be served in time any more,
// because more urgent ones have come before it since it arrived.
func (s *State) overtaken(r *round, q *request) bool {
	f := s.flow(q.need.Service)
	if !s.inUse(f) || q.late(r.at) || f.demand.ranks.MoreUrgent(q.level).None() || f.demand.ranks.Behind(q.level) {
		return false
	}
	wait, _ := f.timeToFree(r.ahead[q.need.Service], 1)
	if wait > 0 && r.at.Add(wait).After(q.inTime) {
		return true
	}
	if dispatch.MayOverflow(s.engines, q.need) {
		return false
	}
	room := s.room(r, f, q.need.Service)
	if room.Prefill == 0 {
		return false
	}
	prompts := s.engines.PrefillTime(q.need.Service, r.prompts[q.need.Service])
	queue := room.Queue + prompts/time.Duration(room.Prefill) - f.demand.queueLimit(r.at, q)
	return r.at.Add(queue).After(q.inTime)
}

// queueLimit is the longest queue at a prefill engine behind which a request gets a placement: its
// own first event must be in time, and so must those of more urgent requests that arrive later. To
// a late request all others are more urgent.
func (d *demand) queueLimit(at time.Time, q *request) time.Duration {
	limit, rank := q.inTime.Sub(at), q.level
	if q.late(at) {
		limit, rank = math.MaxInt64, ranks.Max
	}
	if slack, urgent := d.leastSlack(rank); urgent {
		limit = min(limit, time.Duration(urgentQueue*float64(slack)))
	}
	return limit
}

// order returns the rank by which a request is sorted: its own, or the one after the most urgent
// rank if its own is served too seldom.
func (s *State) order(q *request) int {
	f := s.flow(q.need.Service)
	if !s.inUse(f) || !f.demand.ranks.Behind(q.level) {
		return q.rank
	}
	return min(f.demand.ranks.MostUrgent()+1, q.rank)
}
