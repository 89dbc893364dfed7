package gate

import (
	"math"
	"time"
)

// maxLeaseTicks is the maximum number of tick periods by which one event
// advances the lease clock.
const maxLeaseTicks = 3

// Reduce applies one event to the state and returns the effects to carry out,
// in order. Events may come in any order; the time of the state never goes
// back.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.advanceClock(e.occurred())
	s.dispatch(e)
	s.startArrived()
	s.grantQueued()
	s.announceState()
	return s.effects
}

func (s *State) dispatch(e Event) {
	switch e := e.(type) {
	case Received:
		s.handleMessage(e)
	case Renewed:
		s.renew(e.Session)
	case Closed:
		s.handleSessionClosed(e.Session)
	case EnginePrefilled:
		s.handlePrefilled(e)
	case EnginePart:
		s.handlePart(e)
	case WorkFailed:
		s.handleWorkFailed(e)
	case ServiceAnswered:
		s.handleServiceAnswered(e)
	case Cancelled:
		s.handleCancelled(e)
	case Ticked:
		s.handleTick()
	default:
		s.dispatchServer(e)
	}
}

// dispatchServer handles the events that concern the server as a whole.
func (s *State) dispatchServer(e Event) {
	switch e := e.(type) {
	case LoadReported:
		s.handleLoadReported(e)
	case WorkListed:
		s.handleWorkListed(e)
	case CacheChanged:
		s.handleCacheChanged(e)
	case CacheListed:
		s.handleCacheListed(e)
	case EngineKnown:
		s.handleEngineKnown(e)
	case EngineLost:
		s.handleEngineLost()
	case Declared:
		s.handleDeclared(e)
	case Stopping:
		s.handleStopping()
	}
}

// advanceClock sets the current time to the time of an event and advances the
// lease clock.
//
// After a pause of the whole process, the first event would find every lease
// expired, although the renewals are still unread in the sockets. All work
// would be cancelled at once, in a burst of leaseEnded refusals. Therefore one
// event advances the lease clock by a few ticks at most, and a pause extends
// every lease by its own length.
func (s *State) advanceClock(at time.Time) {
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
	leaseStep := min(step, maxLeaseTicks*s.config.TickEvery)
	s.leaseClock += leaseStep
	s.paused += step - leaseStep
	s.urgentPeak *= math.Exp2(-leaseStep.Seconds() / peakHalfLife.Seconds())
}

// handleTick does everything that is triggered by the passage of time alone.
func (s *State) handleTick() {
	s.expireLeases()
	s.refuseLateStarts()
	s.refuseLate()
	s.expireResults()
	s.retryCancels()
	s.queue.changed = s.queue.length > 0
	s.listWorkIfDue()
	s.listCacheIfNeeded()
	s.closed.expire(s)
}
