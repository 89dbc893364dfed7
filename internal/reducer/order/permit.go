package order

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// permitted reports whether the next order may be prepared. Once an order was
// issued, the permit counts even after its lease ended: the server is out of work
// whatever the leader assumes, and only further orders bring it back to work.
// Before that a permit whose lease ended does not count.
func (s *State) permitted(at time.Time, out, load bool) bool {
	if out && !s.permit.out && !s.issuedOutOfWork {
		return false
	}
	if load && !s.permit.load {
		return false
	}
	return s.permit.used || at.Before(s.permit.until)
}

// awaitPermit requests a permit. The server stays at work meanwhile, because
// other servers may have to change first. A server stays out of work only if it
// holds no model, has begun to change, or may still be changed by a lost order.
func (s *State) awaitPermit(at time.Time, out, load bool) []Effect {
	var effects []Effect
	empty := len(s.info.Models) == 0
	switch {
	case empty:
		effects = s.setState(oriolebend.ServerLoading)
	case !s.issuedOutOfWork && !s.lostOrderMayAct():
		if s.permit.out {
			s.permit = permitState{requestAt: s.permit.requestAt, pending: s.permit.pending}
			effects = append(effects, Count{What: CountGivenUp})
		}
		effects = append(effects, s.setState(oriolebend.ServerServing)...)
	}
	effects = append(effects, s.sendReport(message.ProgressWaiting, s.permit.detail)...)
	effects = append(effects, s.sendPermit(at, s.newPermit(out, load))...)
	return append(effects, s.queryEngine(at, s.config.QueryEvery)...)
}

func (s *State) newPermit(out, load bool) message.Permit {
	return message.Permit{
		Server: s.config.Server, Incarnation: s.config.Incarnation,
		Out: out || s.permit.out, Load: load,
		HeldOut: s.permit.out && s.issuedOutOfWork, HeldLoad: s.permit.load && s.inFlight != nil,
	}
}

// sendPermit sends a permit request to the leader, one at a time.
func (s *State) sendPermit(at time.Time, p message.Permit) []Effect {
	if s.permit.pending != nil || at.Before(s.permit.requestAt) {
		return nil
	}
	s.permit.pending = &p
	return []Effect{RequestPermit{Permit: p}}
}

func (s *State) applyPermitAnswer(at time.Time, answer message.Permitted) {
	requested := s.permit.pending
	s.permit.pending = nil
	if requested == nil || requested.Done {
		return
	}
	s.permit.detail = answer.Detail
	if answer.LeaseFor > 0 && !answer.Granted {
		s.permit.until = at.Add(answer.LeaseFor)
	}
	if !answer.Granted {
		s.permit.requestAt = at.Add(max(answer.RetryAfter, s.config.QueryEvery))
		return
	}
	s.permit.out = requested.Out
	s.permit.load = requested.Load
	s.permit.until = at.Add(answer.LeaseFor)
	s.permit.requestAt = at.Add(answer.LeaseFor / 3)
}

// renewPermit renews the permit while it is used. It releases the slot for loads
// while a failed order waits for its retry, so that other servers may load.
func (s *State) renewPermit(at time.Time) []Effect {
	if !s.permit.out && !s.permit.load {
		return nil
	}
	if s.permit.load && at.Before(s.retryAt) && s.inFlight == nil {
		s.permit.requestAt = at
		s.permit.load = false
	}
	return s.sendPermit(at, s.newPermit(s.permit.out, s.permit.load))
}

// releasePermit releases the permit when the server no longer needs it.
func (s *State) releasePermit(at time.Time) []Effect {
	if s.permit.pending != nil || !s.permit.out && !s.permit.load {
		return nil
	}
	s.permit = permitState{requestAt: at}
	return s.sendPermit(at, message.Permit{Server: s.config.Server, Incarnation: s.config.Incarnation, Done: true})
}
