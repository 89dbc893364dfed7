package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxStatusQueries bounds the status queries in progress.
const maxStatusQueries = 64

// queryStatus queries the service for the outcome of an earlier call. The
// attempt is closed first. Otherwise a call that is still in transit could run
// after the service has answered that it does not know the call.
func (s *State) queryStatus(k *session, m message.StatusQuery) {
	refusal := message.Refusal{Attempt: m.Attempt, Ran: oriolebend.RanUnknown}
	switch {
	case k.reservation != nil || s.engine.info.Role != oriolebend.Service:
		refusal.Reason = oriolebend.ReasonMalformed
	case s.attempts[m.Attempt] != nil:
		refusal.Reason = oriolebend.ReasonAttemptUsed
		refusal.RetryAfter = s.predict.callTime()
	case len(s.statusQueries) >= maxStatusQueries:
		refusal.Reason = oriolebend.ReasonConcurrency
		refusal.RetryAfter = s.predict.callTime()
	}
	if refusal.Reason != "" {
		held := k.reservation
		s.refuseSession(k.id, refusal)
		if held != nil {
			s.abandon(held)
		}
		return
	}
	s.closed.add(s, m.Attempt, false)
	waiting := s.statusQueries[m.Attempt]
	s.statusQueries[m.Attempt] = append(waiting, k.id)
	if len(waiting) == 0 {
		s.emit(QueryStatus{Query: m})
	}
}

// handleServiceAnswered forwards the answer of a call or of a status query. The
// two can't be in progress for one attempt at the same time.
func (s *State) handleServiceAnswered(e ServiceAnswered) {
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
	s.predict.observeCall(took)
	s.limit.observeCall(took, s.committed().slots)
	if r.session != "" {
		s.emit(Reply{Session: r.session, Message: e.Answer})
	}
	s.finish(r)
}

// handleStatusFailed informs the sessions that queried that the outcome isn't
// known.
func (s *State) handleStatusFailed(e WorkFailed) {
	s.answerStatus(e.Attempt, message.Refusal{
		Attempt: e.Attempt,
		Reason:  e.Reason,
		Ran:     oriolebend.RanUnknown,
		Detail:  e.Detail,
	})
}

// answerStatus answers every session that queried the attempt's outcome.
func (s *State) answerStatus(a message.Attempt, m message.Message) {
	waiting := s.statusQueries[a]
	delete(s.statusQueries, a)
	if len(waiting) == 0 {
		s.count("stray", "")
	}
	for _, id := range waiting {
		if s.sessions[id] == nil {
			continue
		}
		s.emit(Reply{Session: id, Message: m})
		s.emit(EndSession{Session: id})
		s.removeSession(id)
	}
}
