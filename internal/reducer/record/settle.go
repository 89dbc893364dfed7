package record

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// attemptRule is the condition on the attempt number of a transition.
type attemptRule string

const (
	// sameAttempt accepts only the current attempt number of the record.
	sameAttempt attemptRule = "same"
	// sameOrLaterAttempt also accepts higher numbers of the same ownership,
	// because entries number reservations and status calls too.
	sameOrLaterAttempt attemptRule = "later"
	// forbidden accepts no attempt number.
	forbidden attemptRule = "never"
)

// transition is a change of state that the owner of a record requests.
type transition struct{ from, to message.RecordState }

// transitionRule holds the attempt rules of a transition: one for requests that
// may run at most once and one for repeatable requests.
type transitionRule struct{ once, repeatable attemptRule }

// transitions is the complete table of the transitions that owners may request.
// A transition that is not in the table is refused.
//
// The record of a request that may run at most once becomes answered only from
// running or unknown: an answer for a claimed record would mean that the request
// was dispatched before a quorum had stored the transition to running. With the
// transition from running to a later running the owner asserts that its gate
// refused the previous attempt with ran "no". An unknown record accepts the
// outcome from its own owner, which may have been disconnected rather than dead.
// The outcome of the one attempt that was let through is true however late it
// arrives, and no other attempt can have run, because an unknown record starts
// none.
var transitions = map[transition]transitionRule{
	{message.RecordClaimed, message.RecordRunning}:  {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordClaimed, message.RecordAnswered}: {forbidden, sameOrLaterAttempt},
	{message.RecordClaimed, message.RecordFailed}:   {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordClaimed, message.RecordNotRun}:   {sameOrLaterAttempt, sameOrLaterAttempt},

	{message.RecordRunning, message.RecordRunning}:  {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordRunning, message.RecordAnswered}: {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordRunning, message.RecordFailed}:   {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordRunning, message.RecordNotRun}:   {sameOrLaterAttempt, sameOrLaterAttempt},
	{message.RecordRunning, message.RecordUnknown}:  {sameOrLaterAttempt, forbidden},

	{message.RecordUnknown, message.RecordAnswered}: {sameOrLaterAttempt, forbidden},
	{message.RecordUnknown, message.RecordFailed}:   {sameOrLaterAttempt, forbidden},
	{message.RecordUnknown, message.RecordNotRun}:   {sameAttempt, forbidden},

	// Only for a failure after which a retry may run the request again, such as
	// the end of the owner's lease: the owner's answer is accepted until a retry
	// takes the record over.
	{message.RecordFailed, message.RecordAnswered}: {forbidden, sameOrLaterAttempt},
	{message.RecordFailed, message.RecordFailed}:   {forbidden, sameOrLaterAttempt},
}

// settle changes the state of a record if its owner, state and attempt permit
// it.
func (s *State) settle(t message.Settle) message.Settled {
	r, ok := s.records[scopeDigest(t.Scope)]
	if !ok {
		return message.Settled{RequestID: t.RequestID, Ticket: t.Ticket}
	}
	s.extendLease(t.Owner)
	if r.requestID != t.RequestID {
		return settleOfEarlierID(r, t)
	}
	accepted := alreadySettled(r, t)
	if !accepted && settleAllowed(r, t) {
		s.applySettle(r, t)
		accepted = true
	}
	return message.Settled{
		RequestID: t.RequestID,
		Accepted:  accepted,
		State:     r.state,
		Attempt:   r.attempt,
		Ticket:    t.Ticket,
	}
}

// settleOfEarlierID answers a settle whose record was taken over by a retry. An
// id that was closed as not run stays closed, and a resent settle is answered
// so. The answer does not hold the state of the retry, because an owner could
// take a "running" there for its own.
func settleOfEarlierID(r *record, t message.Settle) message.Settled {
	e, ok := r.findEarlierID(t.RequestID)
	if ok && e.NotRun {
		return message.Settled{
			RequestID: t.RequestID,
			Accepted:  t.State == message.RecordNotRun,
			State:     message.RecordNotRun,
			Attempt:   e.Attempt,
			Ticket:    t.Ticket,
		}
	}
	return message.Settled{RequestID: t.RequestID, Ticket: t.Ticket}
}

// alreadySettled reports whether the settle was accepted before. An owner sends
// a settle again after a lost answer and gets the first answer.
func alreadySettled(r *record, t message.Settle) bool {
	if r.state != t.State || r.owner != t.Owner || r.retryable {
		return false
	}
	if t.Attempt == message.AnyAttempt {
		return true
	}
	if t.State == message.RecordRunning {
		return t.Attempt == r.attempt
	}
	return r.sameOwnership(t.Attempt) && t.Attempt >= r.attempt
}

// settleAllowed reports whether the record's owner, state and attempt permit the
// settle.
func settleAllowed(r *record, t message.Settle) bool {
	if r.owner != t.Owner || (r.state == message.RecordFailed && !r.retryable) {
		return false
	}
	if t.Attempt == message.AnyAttempt {
		return r.state == message.RecordClaimed && t.State != message.RecordRunning && isFinal(t.State)
	}
	rule := transitions[transition{r.state, t.State}]
	attempts := rule.repeatable
	if r.once {
		attempts = rule.once
	}
	switch attempts {
	case sameAttempt:
		return t.Attempt == r.attempt
	case sameOrLaterAttempt:
		return r.sameOwnership(t.Attempt) && t.Attempt >= r.attempt
	default:
		return false
	}
}

// applySettle applies an accepted settle. For a request that may run at most
// once the record keeps the attempt that was moved to running, because gates are
// queried for that one.
func (s *State) applySettle(r *record, t message.Settle) {
	setsAttempt := t.State == message.RecordRunning || t.State == message.RecordNotRun
	if t.Attempt != message.AnyAttempt && (setsAttempt || !r.once) {
		r.attempt = t.Attempt
	}
	if t.Server != "" {
		r.server = s.intern(t.Server)
	}
	s.applyOutcome(r, t.State, t.Answer)
}

// applyOutcome changes the state of a record and stores the answer, if there is
// one.
func (s *State) applyOutcome(r *record, to message.RecordState, a *message.Answer) {
	r.reason = ""
	if a != nil {
		r.reason = a.Reason
	}
	r.retryable = to == message.RecordFailed && !r.once && IsTransient(r.reason)
	if to == message.RecordUnknown {
		r.reason = oriolebend.ReasonOutcomeLost
	}
	if to == message.RecordAnswered || to == message.RecordFailed {
		s.storeAnswer(r, a)
	}
	s.setState(r, to)
}

// storeAnswer stores an answer for replay. If there is no answer or it exceeds a
// limit, storeAnswer only sets the reason answerNotKept. It must be called before
// the record is added to its list, because the list skips records without an
// answer for good.
func (s *State) storeAnswer(r *record, a *message.Answer) {
	if a == nil {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	size := answerBytes(a)
	if size > int64(s.limits.MaxAnswerBytes) || size > s.limits.MaxAnswersBytes {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	s.evictAnswers(size)
	r.answer = a
	s.answerBytes += size
}

// IsTransient reports whether a retry may succeed after a failure. A request
// that failed together with its server must not be answered with that failure
// for a day. An error in the command itself recurs with every retry.
func IsTransient(reason oriolebend.Reason) bool {
	switch reason {
	case oriolebend.ReasonMalformed, oriolebend.ReasonTooLarge, oriolebend.ReasonForbidden,
		oriolebend.ReasonUnknownModel, oriolebend.ReasonUnknownService:
		return false
	default:
		return true
	}
}

// resolve settles an unknown record with the outcome that its service or gate
// reported.
func (s *State) resolve(m Resolve) message.Settled {
	r, ok := s.byID[digestOf(m.RequestID)]
	if !ok || r.requestID != m.RequestID {
		return message.Settled{RequestID: m.RequestID}
	}
	accepted := r.state == message.RecordUnknown && r.attempt == m.Attempt && isFinal(m.State)
	if accepted {
		s.applyOutcome(r, m.State, m.Answer)
	}
	return message.Settled{
		RequestID: m.RequestID,
		Accepted:  accepted,
		State:     r.state,
		Attempt:   r.attempt,
	}
}

func isFinal(s message.RecordState) bool {
	return s == message.RecordAnswered || s == message.RecordFailed || s == message.RecordNotRun
}
