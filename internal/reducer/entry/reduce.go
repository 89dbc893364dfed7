package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// TickEvery is the longest interval between two Ticked events.
const TickEvery = 5 * time.Millisecond

// Reduce applies one event to the state and returns the effects to carry out,
// in order.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.advanceClock(e.when())
	s.handle(e)
	s.runTimers()
	s.runQueues()
	s.checkDrained()
	return s.effects
}

func (s *State) handle(e Event) {
	switch e := e.(type) {
	case Arrived:
		s.handleArrived(e.Request)
	case CallerLeft:
		s.handleCallerLeft(e.RequestID)
	case Claimed:
		s.handleClaimed(e)
	case Settled:
		s.handleSettled(e)
	case Received:
		s.handleReceived(e)
	case SessionLost:
		s.handleSessionLost(e)
	case ServersChanged:
		s.handleServersChanged(e)
	case Stopping:
		s.stopAccepting()
	}
}

// advanceClock moves the clock forward, never back: events of several
// goroutines may arrive slightly out of order.
func (s *State) advanceClock(at time.Time) {
	if at.After(s.now) {
		s.now = at
	}
}

// handleReceived passes a gate's message to the round of its session. Messages
// of sessions that the entry has closed are outdated and dropped.
func (s *State) handleReceived(e Received) {
	p := s.sessions[e.Session]
	if p == nil {
		s.emit(Count{Name: "outdatedMessage"})
		return
	}
	switch m := e.Message.(type) {
	case message.Offer:
		s.handleOffer(p, m)
	case message.Grant:
		s.handleGrant(p)
	case message.Refusal:
		s.handleLoss(p, lossFromRefusal(m))
	case message.Prefilled:
		s.handlePrefilled(p, m)
	case message.Part:
		s.handlePart(p, m)
	case message.CallAnswer:
		s.handleCallAnswer(p, m)
	}
}
