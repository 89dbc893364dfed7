package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// received takes a message of an entry.
func (s *State) received(e Received) {
	switch m := e.Message.(type) {
	case message.Reserve:
		s.reserve(s.open(e.Session), m)
	case message.Prefill:
		s.startPrefill(e.Session, m)
	case message.Decode:
		s.startDecode(e.Session, m)
	case message.Call:
		s.startCall(e.Session, m)
	case message.Release:
		s.release(e.Session, m)
	case message.StatusQuery:
		s.askStatus(s.open(e.Session), m)
	default:
		s.refuseSession(e.Session, message.Refusal{
			Reason: oriolebend.ReasonMalformed,
			Ran:    oriolebend.RanUnknown,
			Detail: "a gate takes no such message",
		})
	}
}

// open returns the session, new if it was not known, as just heard of.
func (s *State) open(id SessionID) *session {
	if known := s.sessions[id]; known != nil {
		s.renew(id)
		return known
	}
	opened := &session{id: id, heard: s.awake}
	opened.element = s.leases.PushBack(opened)
	s.sessions[id] = opened
	return opened
}

// renew starts the session's lease anew.
func (s *State) renew(id SessionID) {
	known := s.sessions[id]
	if known == nil {
		return
	}
	known.heard = s.awake
	s.leases.MoveToBack(known.element)
}

// forgetSession drops a session; its reservation is let go by the caller.
func (s *State) forgetSession(id SessionID) {
	known := s.sessions[id]
	if known == nil {
		return
	}
	s.leases.Remove(known.element)
	delete(s.sessions, id)
	if known.held != nil {
		known.held.session = ""
	}
}

// refuseSession tells the entry a refusal and ends the session.
func (s *State) refuseSession(id SessionID, m message.Refusal) {
	s.count("refusal", m.Reason)
	s.emit(Reply{Session: id, Message: m})
	s.emit(EndSession{Session: id})
	s.forgetSession(id)
}

// reservationOf returns the reservation that the session holds for the
// attempt, or nil.
func (s *State) reservationOf(id SessionID, a message.Attempt) *reservation {
	known := s.sessions[id]
	if known == nil || known.held == nil {
		return nil
	}
	s.renew(id)
	if known.held.reserve.Attempt != a {
		return nil
	}
	return known.held
}

// refuseWork refuses work that came without the reservation it needs, and
// ends what the session holds instead. The attempt is closed: a Reserve that
// comes after its own work is out of order.
func (s *State) refuseWork(id SessionID, a message.Attempt) {
	reason := oriolebend.ReasonNotReserved
	if known, found := s.closed.find(a); found {
		reason = known.reason()
	}
	if known := s.sessions[id]; known != nil && known.held != nil {
		s.letGo(known.held)
	}
	if s.attempts[a] == nil {
		s.closed.add(s, a, false)
	}
	s.refuseSession(id, message.Refusal{Attempt: a, Reason: reason, Ran: s.ranOf(a)})
}

// ranOf says whether an attempt ran at this gate, as far as it is known: "no"
// only if its reservation is closed and nothing was let through by it.
func (s *State) ranOf(a message.Attempt) oriolebend.Ran {
	known, found := s.closed.find(a)
	if !found || s.attempts[a] != nil {
		return oriolebend.RanUnknown
	}
	return known.ran()
}

// sessionClosed lets go of what a session held.
func (s *State) sessionClosed(id SessionID) {
	known := s.sessions[id]
	if known == nil {
		return
	}
	s.forgetSession(id)
	if known.held != nil {
		s.letGo(known.held)
	}
}

// release gives a reservation back. One that never came here is remembered
// as closed, so that a Reserve which crosses its Release is refused.
func (s *State) release(id SessionID, m message.Release) {
	held := s.reservationOf(id, m.Attempt)
	if held == nil {
		s.releaseOther(id, m)
		return
	}
	s.forgetSession(id)
	s.letGo(held)
	s.emit(EndSession{Session: id})
}

// releaseOther closes an attempt that another session holds, or none.
func (s *State) releaseOther(id SessionID, m message.Release) {
	live := s.attempts[m.Attempt]
	if s.sessions[id] == nil {
		s.emit(EndSession{Session: id})
	}
	if live == nil {
		s.closed.add(s, m.Attempt, false)
		return
	}
	if live.session != "" && live.session != id {
		s.emit(EndSession{Session: live.session})
		s.forgetSession(live.session)
	}
	s.letGo(live)
}
