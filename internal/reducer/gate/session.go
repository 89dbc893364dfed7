package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// handleMessage handles a message of an entry.
func (s *State) handleMessage(e Received) {
	switch m := e.Message.(type) {
	case message.Reserve:
		s.handleReserve(s.open(e.Session), m)
	case message.Prefill:
		s.startPrefill(e.Session, m)
	case message.Decode:
		s.acceptDecode(e.Session, m)
	case message.Call:
		s.startCall(e.Session, m)
	case message.Release:
		s.release(e.Session, m)
	case message.StatusQuery:
		s.queryStatus(s.open(e.Session), m)
	default:
		s.refuseSession(e.Session, message.Refusal{
			Reason: oriolebend.ReasonMalformed,
			Ran:    oriolebend.RanUnknown,
			Detail: "a gate takes no such message",
		})
	}
}

// open returns the session with this id. It creates the session if it does not
// exist, and renews its lease otherwise.
func (s *State) open(id SessionID) *session {
	if sess := s.sessions[id]; sess != nil {
		s.renew(id)
		return sess
	}
	opened := &session{id: id, renewedAt: s.leaseClock}
	opened.leaseElement = s.leases.PushBack(opened)
	s.sessions[id] = opened
	return opened
}

// renew restarts the session's lease.
func (s *State) renew(id SessionID) {
	sess := s.sessions[id]
	if sess == nil {
		return
	}
	sess.renewedAt = s.leaseClock
	s.leases.MoveToBack(sess.leaseElement)
}

// removeSession removes a session. The caller must abandon its reservation.
func (s *State) removeSession(id SessionID) {
	sess := s.sessions[id]
	if sess == nil {
		return
	}
	s.leases.Remove(sess.leaseElement)
	delete(s.sessions, id)
	if sess.reservation != nil {
		sess.reservation.session = ""
	}
}

// refuseSession sends a refusal to the entry and ends the session.
func (s *State) refuseSession(id SessionID, m message.Refusal) {
	s.count("refusal", m.Reason)
	s.emit(Reply{Session: id, Message: m})
	s.emit(EndSession{Session: id})
	s.removeSession(id)
}

// reservationOf returns the reservation that the session holds for the attempt,
// or nil. It renews the lease of a session that holds a reservation.
func (s *State) reservationOf(id SessionID, a message.Attempt) *reservation {
	sess := s.sessions[id]
	if sess == nil || sess.reservation == nil {
		return nil
	}
	s.renew(id)
	if sess.reservation.reserve.Attempt != a {
		return nil
	}
	return sess.reservation
}

// refuseWork refuses work that arrived without the reservation it needs, and
// ends the reservation that the session holds instead. The attempt is closed,
// because a Reserve that arrives after its own work is out of order.
func (s *State) refuseWork(id SessionID, a message.Attempt) {
	reason := oriolebend.ReasonNotReserved
	if known, found := s.closed.find(a); found {
		reason = known.reason()
	}
	if known := s.sessions[id]; known != nil && known.reservation != nil {
		s.abandon(known.reservation)
	}
	if s.attempts[a] == nil {
		s.closed.add(s, a, false)
	}
	s.refuseSession(id, message.Refusal{Attempt: a, Reason: reason, Ran: s.ranOf(a)})
}

// ranOf returns whether an attempt ran at this gate, as far as the gate knows.
// The result is "no" only if the attempt's reservation is closed and its work
// was never sent to the server.
func (s *State) ranOf(a message.Attempt) oriolebend.Ran {
	record, found := s.closed.find(a)
	if !found || s.attempts[a] != nil {
		return oriolebend.RanUnknown
	}
	return record.ran()
}

// handleSessionClosed abandons the reservation of a session that ended.
func (s *State) handleSessionClosed(id SessionID) {
	sess := s.sessions[id]
	if sess == nil {
		return
	}
	s.removeSession(id)
	if sess.reservation != nil {
		s.abandon(sess.reservation)
	}
}

// release ends a reservation for its entry. An attempt without a reservation is
// recorded as closed, so that a Reserve that its Release overtook is refused.
func (s *State) release(id SessionID, m message.Release) {
	held := s.reservationOf(id, m.Attempt)
	if held == nil {
		s.releaseOther(id, m)
		return
	}
	s.removeSession(id)
	s.abandon(held)
	s.emit(EndSession{Session: id})
}

// releaseOther closes an attempt that another session or no session holds.
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
		s.removeSession(live.session)
	}
	s.abandon(live)
}
