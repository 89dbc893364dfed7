package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// TickEvery is the longest pause between two Ticked events.
const TickEvery = 5 * time.Millisecond

// Reduce carries out one event on the state and returns what is to be done,
// in order.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.pass(e.when())
	s.dispatch(e)
	s.runTimers()
	s.pump()
	s.checkDrained()
	return s.effects
}

func (s *State) dispatch(e Event) {
	switch e := e.(type) {
	case Arrived:
		s.arrived(e.Request)
	case CallerGone:
		s.callerGone(e.RequestID)
	case Claimed:
		s.claimed(e)
	case Settled:
		s.settled(e)
	case Received:
		s.received(e)
	case SessionLost:
		s.sessionLost(e)
	case ServersChanged:
		s.serversChanged(e)
	case Stopping:
		s.stop()
	}
}

// pass moves the clock on; it never goes back, as events of several
// goroutines may come slightly out of order.
func (s *State) pass(at time.Time) {
	if at.After(s.now) {
		s.now = at
	}
}

// received hands a gate's message to the round that it belongs to. Messages
// of sessions that the entry closed are outdated and dropped.
func (s *State) received(e Received) {
	p := s.sessions[e.Session]
	if p == nil {
		s.emit(Count{What: "outdatedMessage"})
		return
	}
	switch m := e.Message.(type) {
	case message.Offer:
		s.offered(p, m)
	case message.Grant:
		s.granted(p)
	case message.Refusal:
		s.lost(p, refused(m))
	case message.Prefilled:
		s.prefilled(p, m)
	case message.Part:
		s.part(p, m)
	case message.CallAnswer:
		s.callAnswered(p, m)
	}
}
