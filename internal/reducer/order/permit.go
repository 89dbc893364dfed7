package order

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// permitted reports whether the next order may be prepared. Once an order was
// issued the server is out of work whatever the leader thinks, and going on is
// the way back; before that a permit that ended counts for nothing.
func (s *State) permitted(at time.Time, out, load bool) bool {
	if out && !s.permit.out && !s.issued {
		return false
	}
	if load && !s.permit.load {
		return false
	}
	return s.permit.held || at.Before(s.permit.until)
}

// await asks for a permit, at work meanwhile: other servers may have to change
// first. Only a server that holds nothing, or that has begun to change, stays
// out.
func (s *State) await(at time.Time, out, load bool) []Effect {
	var effects []Effect
	bare := len(s.info.Models) == 0
	switch {
	case bare:
		effects = s.setState(oriolebend.ServerLoading)
	case !s.issued && !s.mayAct():
		if s.permit.out {
			s.permit = permitState{askAt: s.permit.askAt, asking: s.permit.asking}
			effects = append(effects, Count{What: CountGivenUp})
		}
		effects = append(effects, s.setState(oriolebend.ServerServing)...)
	}
	effects = append(effects, s.tell(message.ProgressWaiting, s.permit.detail)...)
	effects = append(effects, s.ask(at, s.newPermit(out, load))...)
	return append(effects, s.askEngine(at, s.config.AskEvery)...)
}

func (s *State) newPermit(out, load bool) message.Permit {
	return message.Permit{
		Server: s.config.Server, Incarnation: s.config.Incarnation,
		Out: out || s.permit.out, Load: load,
		HeldOut: s.permit.out && s.issued, HeldLoad: s.permit.load && s.inFlight != nil,
	}
}

// ask sends one message to the leader at a time.
func (s *State) ask(at time.Time, p message.Permit) []Effect {
	if s.permit.asking != nil || at.Before(s.permit.askAt) {
		return nil
	}
	s.permit.asking = &p
	return []Effect{AskPermit{Permit: p}}
}

func (s *State) permitAnswered(at time.Time, answer message.Permitted) {
	asked := s.permit.asking
	s.permit.asking = nil
	if asked == nil || asked.Done {
		return
	}
	s.permit.detail = answer.Detail
	if answer.LeaseFor > 0 && !answer.Granted {
		s.permit.until = at.Add(answer.LeaseFor)
	}
	if !answer.Granted {
		s.permit.askAt = at.Add(max(answer.RetryAfter, s.config.AskEvery))
		return
	}
	s.permit.out = asked.Out
	s.permit.load = asked.Load
	s.permit.until = at.Add(answer.LeaseFor)
	s.permit.askAt = at.Add(answer.LeaseFor / 3)
}

// renew keeps the permit while it is used. The slot for loads is given back
// while a failed order waits, so that other servers may load meanwhile.
func (s *State) renew(at time.Time) []Effect {
	if !s.permit.out && !s.permit.load {
		return nil
	}
	if s.permit.load && at.Before(s.retryAt) && s.inFlight == nil {
		s.permit.askAt = at
		s.permit.load = false
	}
	return s.ask(at, s.newPermit(s.permit.out, s.permit.load))
}

// release gives the permit back once the server is at work again.
func (s *State) release(at time.Time) []Effect {
	if s.permit.asking != nil || !s.permit.out && !s.permit.load {
		return nil
	}
	s.permit = permitState{askAt: at}
	return s.ask(at, message.Permit{Server: s.config.Server, Incarnation: s.config.Incarnation, Done: true})
}
