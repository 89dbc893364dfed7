package gate

import (
	"math"
	"time"
)

// longestStep bounds by how many tick periods one event moves lease time on.
const longestStep = 3

// Reduce takes one event into the state and returns what is to be done, in
// order. Events may come in any order; time never goes back.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.advance(e.occurred())
	s.dispatch(e)
	s.startArrived()
	s.grantQueued()
	s.announce()
	return s.effects
}

func (s *State) dispatch(e Event) {
	switch e := e.(type) {
	case Received:
		s.received(e)
	case Renewed:
		s.renew(e.Session)
	case Closed:
		s.sessionClosed(e.Session)
	case EnginePrefilled:
		s.prefilled(e)
	case EnginePart:
		s.part(e)
	case WorkFailed:
		s.workFailed(e)
	case ServiceAnswered:
		s.serviceAnswered(e)
	case Cancelled:
		s.cancelled(e)
	case Ticked:
		s.tick()
	default:
		s.dispatchServer(e)
	}
}

// dispatchServer takes what is about the server as a whole.
func (s *State) dispatchServer(e Event) {
	switch e := e.(type) {
	case LoadReported:
		s.loadReported(e)
	case WorkListed:
		s.workListed(e)
	case CacheChanged:
		s.cacheChanged(e)
	case CacheListed:
		s.cacheListed(e)
	case EngineKnown:
		s.engineKnown(e)
	case EngineLost:
		s.engineLost()
	case Declared:
		s.declared(e)
	case Stopping:
		s.stopping()
	}
}

// advance moves the clock on.
//
// After a pause of the whole process the first event would find every lease
// over, although the renewals lie unread in the sockets: all work would be
// cancelled at once, seen as a burst of leaseEnded. So lease time moves by a
// few ticks at most for one event; a pause lengthens a lease by its own time.
func (s *State) advance(at time.Time) {
	if s.started.IsZero() {
		s.started = at
		s.now = at
		return
	}
	if !at.After(s.now) {
		return
	}
	step := at.Sub(s.now)
	s.now = at
	awake := min(step, longestStep*s.config.TickEvery)
	s.awake += awake
	s.paused += step - awake
	s.urgentPeak *= math.Exp2(-awake.Seconds() / peakHalves.Seconds())
}

// tick does what only time brings about.
func (s *State) tick() {
	s.endLeases()
	s.endLateStarts()
	s.endHopeless()
	s.expireResults()
	s.askCancelAgain()
	s.queue.changed = s.queue.length > 0
	s.askWork()
	s.askCache()
	s.closed.forget(s)
}
