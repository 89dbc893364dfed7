package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// answered takes the whole output of a model request.
//
// The parts went out as they came. Only the end waits for the record, which
// costs one commit after the last token and nothing before it: if the end were
// told first and the record lost, a retry under the same key would run the
// model again and might be answered differently.
func (s *State) answered(r *request, finish message.FinishReason) {
	r.decode.finish()
	r.outcome.finish = finish
	s.succeeded(r)
	s.conclude(r, message.RecordAnswered, &message.Answer{
		Status: statusOK,
		Body:   []byte(r.output.text()),
		Tokens: r.output.tokens,
		Finish: finish,
	})
}

const statusOK = 200

// succeeded lets the limits and budgets learn of a success.
func (s *State) succeeded(r *request) {
	r.lane.limit.Succeeded()
	r.org.budget.Succeeded(s.now)
	r.lane.budget.Succeeded(s.now)
}

// conclude frees all that the request holds and has its outcome recorded.
func (s *State) conclude(r *request, state message.RecordState, a *message.Answer) {
	attempt := max(r.attempt, r.first)
	if r.Once && r.dispatched {
		// The record takes the outcome of the very attempt that it says runs.
		attempt = r.sentCall
	}
	s.closeAll(r)
	s.leaveQueue(r)
	s.releasePlace(r)
	r.started()
	r.clearAlarm(alarmDeadline)
	r.step = stepSettling
	s.settle(r, message.Settle{Attempt: attempt, State: state, Answer: a})
	// A failure that claims nothing about "not run" is true whatever the
	// record says: the caller gets it at once.
	if r.outcome.problem != nil && state != message.RecordNotRun {
		s.tell(r)
	}
}

// settle asks for the record's next state, until it is settled.
func (s *State) settle(r *request, m message.Settle) {
	m.RequestID = r.record
	m.Scope = r.Scope
	m.Owner = s.config.Owner
	s.unsettle(r)
	r.outcome.settle = &m
	s.settling[settlement(m)] = r
	r.outcome.since = s.now
	r.outcome.tries = 0
	s.setAlarm(r, alarmAnswer, s.config.SettleWithin)
	s.sendSettle(r)
}

func (s *State) sendSettle(r *request) {
	if r.outcome.settle == nil {
		return
	}
	if r.step == stepSettling && s.now.Sub(r.outcome.since) > s.config.SettleFor {
		s.settleLost(r)
		return
	}
	r.outcome.tries++
	s.emit(AskSettle{Settle: *r.outcome.settle})
	s.setAlarm(r, alarmSettle, s.config.SettleSilence)
}

// settleLost lets go of a record after long: whoever carries settlements out
// sends the last one on until a quorum takes it.
func (s *State) settleLost(r *request) {
	s.count("settleLost", oriolebend.ReasonControlAway, r)
	s.answerUnsettled(r)
	s.forget(r)
}

func (s *State) settled(e Settled) {
	r := s.settling[message.Attempt{RequestID: e.RequestID, Number: e.Attempt}]
	if r == nil {
		return
	}
	if e.Problem != nil {
		s.count("settleFailed", e.Problem.Reason, r)
		s.setAlarm(r, alarmSettle, s.config.SettleEvery)
		if r.step == stepStarting {
			s.startAgain(r)
		}
		return
	}
	asked := r.outcome.settle.State
	// The answer to a resent settlement finds the record where the first one
	// moved it.
	accepted := e.Accepted || (e.State == asked && r.outcome.tries > 1)
	if accepted && e.State != asked {
		return // the answer to an earlier settlement of this request
	}
	if asked == message.RecordRunning {
		s.runningSettled(r, accepted)
		return
	}
	if !accepted {
		s.settledElsewhere(r, e.State)
	}
	s.tell(r)
	s.forget(r)
}

// unsettle drops a settlement that is no longer waited for.
func (s *State) unsettle(r *request) {
	if r.outcome.settle == nil {
		return
	}
	delete(s.settling, settlement(*r.outcome.settle))
	r.outcome.settle = nil
	r.clearAlarm(alarmSettle)
	r.clearAlarm(alarmAnswer)
}

// settlement is what the answer to a Settle is found by.
func settlement(m message.Settle) message.Attempt {
	return message.Attempt{RequestID: m.RequestID, Number: m.Attempt}
}

// startAgain is met when no quorum said that the record is running. It may
// say so or not; the call was not sent, so that the request can wait and ask
// again without holding room.
func (s *State) startAgain(r *request) {
	r.lastReason = oriolebend.ReasonControlAway
	s.closeAll(r)
	s.pause(r, 0)
}

// runningSettled sends the call if its record says so. If the record had
// moved on the call is not sent.
func (s *State) runningSettled(r *request, accepted bool) {
	if r.step != stepStarting {
		return
	}
	if accepted {
		s.started(r)
		return
	}
	s.giveUp(r, oriolebend.ReasonLeaseEnded, comeBack)
}

// settledElsewhere corrects what is told when the record had moved on: another
// entry took the request over after this one's lease had ended.
func (s *State) settledElsewhere(r *request, state message.RecordState) {
	s.count("settledElsewhere", oriolebend.ReasonLeaseEnded, r)
	ran := oriolebend.RanUnknown
	if state == message.RecordAnswered {
		ran = oriolebend.RanYes
	}
	r.outcome.problem = &oriolebend.Problem{
		Reason:     oriolebend.ReasonLeaseEnded,
		Ran:        ran,
		Detail:     "another entry answered this request; ask again for its answer",
		RetryAfter: comeBack,
	}
}

// answerUnsettled ends an answer whose record takes too long: the caller has
// the output and is not made to wait for control VMs that are away. "Not run"
// is not told without its record: the caller hears that it is unknown.
func (s *State) answerUnsettled(r *request) {
	if r.step != stepSettling || r.outcome.told {
		return
	}
	s.count("settleLate", oriolebend.ReasonControlAway, r)
	if p := r.outcome.problem; p != nil && p.Ran == oriolebend.RanNo {
		p.Ran = oriolebend.RanUnknown
	}
	s.tell(r)
}

// tell gives the caller the end of its answer, once.
func (s *State) tell(r *request) {
	if r.outcome.told {
		return
	}
	r.outcome.told = true
	if r.gone && !r.followed() {
		return
	}
	switch o := r.outcome; {
	case o.problem != nil:
		o.problem.RequestID = cmp.Or(r.record, r.ID)
		s.emit(AnswerProblem{RequestID: r.ID, Problem: o.problem})
	case o.call != nil:
		s.emit(AnswerCall{RequestID: r.ID, Answer: *o.call})
	default:
		s.emit(AnswerEnd{RequestID: r.ID, Finish: o.finish, Tokens: r.output.tokens})
	}
}

// followed reports whether others may follow the request after its own caller
// left. They are told the end of it, or they would wait for one that never
// comes.
func (r *request) followed() bool {
	return r.KeepRunning || r.Once
}

// giveUp ends a request without an answer, and tells so at once where that is
// true without the record.
func (s *State) giveUp(r *request, reason oriolebend.Reason, after time.Duration) {
	if s.leaveCallRunning(r, reason, after) {
		return
	}
	s.count("givenUp", reason, r)
	r.lastReason = reason
	problem := &oriolebend.Problem{Reason: reason, Ran: oriolebend.RanNo, RetryAfter: after}
	r.outcome.problem = problem
	if !r.dispatched {
		s.conclude(r, message.RecordNotRun, &message.Answer{Reason: reason})
		return
	}
	problem.Ran = oriolebend.RanUnknown
	s.dropWasted(r)
	s.conclude(r, message.RecordFailed, &message.Answer{Reason: reason})
}

// leaveCallRunning lets a call that may run once go on to its outcome after
// its caller left or its deadline passed: ending it would turn an outcome that
// can be known into one that is lost.
func (s *State) leaveCallRunning(r *request, reason oriolebend.Reason, after time.Duration) bool {
	if !r.Once || !r.dispatched {
		return false
	}
	if r.outcome.told {
		return true
	}
	s.count("givenUp", reason, r)
	if r.gone {
		return true // who follows it waits for its outcome
	}
	r.outcome.problem = &oriolebend.Problem{Reason: reason, Ran: oriolebend.RanUnknown, RetryAfter: after}
	s.tell(r)
	r.outcome.problem = nil
	return true
}
