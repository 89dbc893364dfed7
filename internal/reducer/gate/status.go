package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// mostStatus bounds the status queries in progress.
const mostStatus = 64

// askStatus has the service tell the outcome of an earlier call. The attempt
// is closed first: otherwise a call that is still on its way could run after
// the service has told that it knows nothing of it.
func (s *State) askStatus(k *session, m message.StatusQuery) {
	refusal := message.Refusal{Attempt: m.Attempt, Ran: oriolebend.RanUnknown}
	switch {
	case k.held != nil || s.engine.info.Role != oriolebend.Service:
		refusal.Reason = oriolebend.ReasonMalformed
	case s.attempts[m.Attempt] != nil:
		refusal.Reason = oriolebend.ReasonAttemptUsed
		refusal.RetryAfter = s.predict.callTook()
	case len(s.status) >= mostStatus:
		refusal.Reason = oriolebend.ReasonConcurrency
		refusal.RetryAfter = s.predict.callTook()
	}
	if refusal.Reason != "" {
		held := k.held
		s.refuseSession(k.id, refusal)
		if held != nil {
			s.letGo(held)
		}
		return
	}
	s.closed.add(s, m.Attempt, false)
	waiting := s.status[m.Attempt]
	s.status[m.Attempt] = append(waiting, k.id)
	if len(waiting) == 0 {
		s.emit(AskStatus{Query: m})
	}
}

// serviceAnswered passes the answer of a call or of a status query on. Both
// can't be out for one attempt at the same time.
func (s *State) serviceAnswered(e ServiceAnswered) {
	r := s.attempts[e.Answer.Attempt]
	if r == nil {
		s.answerStatus(e.Answer.Attempt, e.Answer)
		return
	}
	if r.stage != stageWorking || r.reserve.Phase != message.PhaseCall {
		s.count("stray", "")
		return
	}
	took := s.now.Sub(r.startedAt)
	s.predict.called(took)
	s.limit.callTook(took, s.committed().slots)
	if r.session != "" {
		s.emit(Reply{Session: r.session, Message: e.Answer})
	}
	s.finish(r)
}

// statusFailed tells those who asked that the outcome isn't known.
func (s *State) statusFailed(e WorkFailed) {
	s.answerStatus(e.Attempt, message.Refusal{
		Attempt: e.Attempt,
		Reason:  e.Reason,
		Ran:     oriolebend.RanUnknown,
		Detail:  e.Detail,
	})
}

// answerStatus answers every session that asked for the attempt's outcome.
func (s *State) answerStatus(a message.Attempt, m message.Message) {
	waiting := s.status[a]
	delete(s.status, a)
	if len(waiting) == 0 {
		s.count("stray", "")
	}
	for _, id := range waiting {
		if s.sessions[id] == nil {
			continue
		}
		s.emit(Reply{Session: id, Message: m})
		s.emit(EndSession{Session: id})
		s.forgetSession(id)
	}
}
