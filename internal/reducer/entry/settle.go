package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// completeOutput records and reports the complete output of a model request.
//
// The parts were delivered as they came. Only the end of the answer waits for
// the record, which costs one commit after the last token and nothing before
// it. If the end were reported first and the record lost, a retry under the
// same key would run the model again and might be answered differently.
func (s *State) completeOutput(r *request, finish message.FinishReason) {
	r.decode.markDone()
	r.outcome.finish = finish
	s.noteSuccess(r)
	s.conclude(r, message.RecordAnswered, &message.Answer{
		Status: statusOK,
		Body:   []byte(r.output.text()),
		Tokens: r.output.tokens,
		Finish: finish,
	})
}

const statusOK = 200

// noteSuccess reports a success to the limit and the budgets.
func (s *State) noteSuccess(r *request) {
	r.lane.limit.Succeeded()
	r.org.budget.Succeeded(s.now)
	r.lane.budget.Succeeded(s.now)
}

// conclude frees everything that the request holds and settles its record with
// its outcome.
func (s *State) conclude(r *request, state message.RecordState, a *message.Answer) {
	attempt := max(r.attempt, r.firstAttempt)
	if r.Once && r.dispatched {
		// The record accepts the outcome only for the attempt that it shows as
		// running.
		attempt = r.callAttempt
	}
	s.closeAll(r)
	s.leaveQueue(r)
	s.releaseSlot(r)
	r.markStarted()
	r.clearAlarm(alarmDeadline)
	r.step = stepSettling
	s.settle(r, message.Settle{Attempt: attempt, State: state, Answer: a})
	// A failure that does not claim "not run" is true whatever the record says:
	// it is reported to the caller at once.
	if r.outcome.problem != nil && state != message.RecordNotRun {
		s.reportOutcome(r)
	}
}

// settle sends the record's next state to the control VMs until the record is
// settled.
func (s *State) settle(r *request, m message.Settle) {
	m.RequestID = r.record
	m.Scope = r.Scope
	m.Owner = s.config.Owner
	s.dropSettlement(r)
	r.outcome.settle = &m
	s.settling[settlementKey(m)] = r
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
		s.abandonSettlement(r)
		return
	}
	r.outcome.tries++
	s.emit(SendSettle{Settle: *r.outcome.settle})
	s.setAlarm(r, alarmSettle, s.config.SettleTimeout)
}

// abandonSettlement stops settling a record after SettleFor. The component that
// carries out SendSettle keeps sending the last settlement until a quorum
// accepts it.
func (s *State) abandonSettlement(r *request) {
	s.count("settleLost", oriolebend.ReasonControlAway, r)
	s.reportUnsettled(r)
	s.removeRequest(r)
}

func (s *State) handleSettled(e Settled) {
	r := s.settling[message.Attempt{RequestID: e.RequestID, Number: e.Attempt}]
	if r == nil {
		return
	}
	if e.Problem != nil {
		s.count("settleFailed", e.Problem.Reason, r)
		s.setAlarm(r, alarmSettle, s.config.SettleEvery)
		if r.step == stepStarting {
			s.requeueUnrecordedCall(r)
		}
		return
	}
	requested := r.outcome.settle.State
	// The answer to a settlement that was sent again finds the record in the
	// state to which the first one moved it.
	accepted := e.Accepted || (e.State == requested && r.outcome.tries > 1)
	if accepted && e.State != requested {
		return // the answer to an earlier settlement of this request
	}
	if requested == message.RecordRunning {
		s.handleRunningSettled(r, accepted)
		return
	}
	if !accepted {
		s.noteSettledElsewhere(r, e.State)
	}
	s.reportOutcome(r)
	s.removeRequest(r)
}

// dropSettlement drops a settlement whose answer is no longer needed.
func (s *State) dropSettlement(r *request) {
	if r.outcome.settle == nil {
		return
	}
	delete(s.settling, settlementKey(*r.outcome.settle))
	r.outcome.settle = nil
	r.clearAlarm(alarmSettle)
	r.clearAlarm(alarmAnswer)
}

// settlementKey returns the key by which the answer to a Settle is found.
func settlementKey(m message.Settle) message.Attempt {
	return message.Attempt{RequestID: m.RequestID, Number: m.Attempt}
}

// requeueUnrecordedCall handles a call for which no quorum confirmed that its
// record is running. The record may be running or not. The call was not sent,
// so that the request can wait without holding capacity and then reserve again.
func (s *State) requeueUnrecordedCall(r *request) {
	r.lastReason = oriolebend.ReasonControlAway
	s.closeAll(r)
	s.pause(r, 0)
}

// handleRunningSettled sends the call if its record is running. If the record
// had moved on, the call is not sent.
func (s *State) handleRunningSettled(r *request, accepted bool) {
	if r.step != stepStarting {
		return
	}
	if accepted {
		s.sendRecordedCall(r)
		return
	}
	s.giveUp(r, oriolebend.ReasonLeaseEnded, defaultRetryAfter)
}

// noteSettledElsewhere replaces the outcome to report when the record had moved
// on: another entry took over the request after the lease of this one expired.
func (s *State) noteSettledElsewhere(r *request, state message.RecordState) {
	s.count("settledElsewhere", oriolebend.ReasonLeaseEnded, r)
	ran := oriolebend.RanUnknown
	if state == message.RecordAnswered {
		ran = oriolebend.RanYes
	}
	r.outcome.problem = &oriolebend.Problem{
		Reason:     oriolebend.ReasonLeaseEnded,
		Ran:        ran,
		Detail:     "another entry answered this request; ask again for its answer",
		RetryAfter: defaultRetryAfter,
	}
}

// reportUnsettled ends an answer whose record takes too long to settle: the
// caller has the output and does not wait for control VMs that are unreachable.
// "Not run" is not reported without its record: the caller gets "unknown"
// instead.
func (s *State) reportUnsettled(r *request) {
	if r.step != stepSettling || r.outcome.reported {
		return
	}
	s.count("settleLate", oriolebend.ReasonControlAway, r)
	if p := r.outcome.problem; p != nil && p.Ran == oriolebend.RanNo {
		p.Ran = oriolebend.RanUnknown
	}
	s.reportOutcome(r)
}

// reportOutcome sends the caller the end of its answer, once.
func (s *State) reportOutcome(r *request) {
	if r.outcome.reported {
		return
	}
	r.outcome.reported = true
	if r.detached && !r.mayHaveFollowers() {
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

// mayHaveFollowers reports whether other callers may follow the request after
// its own caller left. The end of the answer is sent to them too; otherwise
// they would wait for it forever.
func (r *request) mayHaveFollowers() bool {
	return r.KeepRunning || r.Once
}

// giveUp ends a request without an answer. The caller gets the problem at once,
// except for "not run", which is true only with its record.
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
	s.countWastedPrefill(r)
	s.conclude(r, message.RecordFailed, &message.Answer{Reason: reason})
}

// leaveCallRunning lets a call that may run once continue to its outcome after
// its caller left or its deadline passed. Ending the call would lose an outcome
// that can be known.
func (s *State) leaveCallRunning(r *request, reason oriolebend.Reason, after time.Duration) bool {
	if !r.Once || !r.dispatched {
		return false
	}
	if r.outcome.reported {
		return true
	}
	s.count("givenUp", reason, r)
	if r.detached {
		return true // its followers wait for the outcome
	}
	r.outcome.problem = &oriolebend.Problem{Reason: reason, Ran: oriolebend.RanUnknown, RetryAfter: after}
	s.reportOutcome(r)
	r.outcome.problem = nil
	return true
}
