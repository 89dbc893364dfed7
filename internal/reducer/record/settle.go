package record

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// attemptRule says which attempt numbers may make a move.
type attemptRule string

const (
	// sameAttempt takes only the number that the record stands at.
	sameAttempt attemptRule = "same"
	// laterAttempt also takes higher numbers of the same ownership: entries
	// count reservations and status calls too.
	laterAttempt attemptRule = "later"
	// never forbids the move.
	never attemptRule = "never"
)

// move is one change of state that the owner of a record asks for.
type move struct{ from, to message.RecordState }

// rule says who may make a move: the rule for requests that may run at most
// once, and that for repeatable ones.
type rule struct{ once, repeatable attemptRule }

// moves is the whole transition table of owners; what is missing is refused.
//
// A record that is to run once is answered only after it was moved to running:
// an answer without that move would show that a dispatch went out before a
// quorum knew of it. From running to a later running the owner asserts that
// its gate refused the attempt before with ran "no". Unknown takes the outcome
// from its own owner, who may have been cut off and not dead: the one attempt
// that was let through tells the truth whenever it tells it, and since unknown
// starts no further attempt nothing can have run beside it.
var moves = map[move]rule{
	{message.RecordClaimed, message.RecordRunning}:  {laterAttempt, laterAttempt},
	{message.RecordClaimed, message.RecordAnswered}: {never, laterAttempt},
	{message.RecordClaimed, message.RecordFailed}:   {laterAttempt, laterAttempt},
	{message.RecordClaimed, message.RecordNotRun}:   {laterAttempt, laterAttempt},

	{message.RecordRunning, message.RecordRunning}:  {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordAnswered}: {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordFailed}:   {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordNotRun}:   {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordUnknown}:  {laterAttempt, never},

	{message.RecordUnknown, message.RecordAnswered}: {laterAttempt, never},
	{message.RecordUnknown, message.RecordFailed}:   {laterAttempt, never},
	{message.RecordUnknown, message.RecordNotRun}:   {sameAttempt, never},

	// A failure that a retry may run again, such as that of an owner taken for
	// dead: its answer still counts until a retry takes the record over.
	{message.RecordFailed, message.RecordAnswered}: {never, laterAttempt},
	{message.RecordFailed, message.RecordFailed}:   {never, laterAttempt},
}

// settle moves a record on if its owner and attempt may.
func (s *State) settle(t message.Settle) message.Settled {
	r, ok := s.records[scopeHash(t.Scope)]
	if !ok {
		return message.Settled{RequestID: t.RequestID, Ticket: t.Ticket}
	}
	s.alive(t.Owner)
	if r.requestID != t.RequestID {
		return settledBefore(r, t)
	}
	accepted := repeated(r, t)
	if !accepted && allows(r, t) {
		s.carryOut(r, t)
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

// settledBefore answers a settle whose record was taken over by a retry. An
// id that was closed as not run stays so, and a resent settle is told so. The
// state of the retry is not told: an owner that reads "running" there could
// take it for its own.
func settledBefore(r *request, t message.Settle) message.Settled {
	e, ok := r.earlierAs(t.RequestID)
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

// repeated reports whether a settle was accepted before; it is sent again
// after a lost answer and gets the first answer.
func repeated(r *request, t message.Settle) bool {
	if r.state != t.State || r.owner != t.Owner || r.retryable {
		return false
	}
	if t.Attempt == message.AnyAttempt {
		return true
	}
	if t.State == message.RecordRunning {
		return t.Attempt == r.attempt
	}
	return r.ownedSince(t.Attempt) && t.Attempt >= r.attempt
}

func allows(r *request, t message.Settle) bool {
	if r.owner != t.Owner || (r.state == message.RecordFailed && !r.retryable) {
		return false
	}
	if t.Attempt == message.AnyAttempt {
		return r.state == message.RecordClaimed && t.State != message.RecordRunning && final(t.State)
	}
	allowed := moves[move{r.state, t.State}]
	wanted := allowed.repeatable
	if r.once {
		wanted = allowed.once
	}
	switch wanted {
	case sameAttempt:
		return t.Attempt == r.attempt
	case laterAttempt:
		return r.ownedSince(t.Attempt) && t.Attempt >= r.attempt
	default:
		return false
	}
}

// carryOut makes the move. The attempt of a request that may run once stays
// the one that was moved to running: it is the one to ask gates about.
func (s *State) carryOut(r *request, t message.Settle) {
	dispatches := t.State == message.RecordRunning || t.State == message.RecordNotRun
	if t.Attempt != message.AnyAttempt && (dispatches || !r.once) {
		r.attempt = t.Attempt
	}
	if t.Server != "" {
		r.server = s.intern(t.Server)
	}
	s.outcome(r, t.State, t.Answer)
}

// outcome moves a record and stores its answer, if it has one.
func (s *State) outcome(r *request, to message.RecordState, a *message.Answer) {
	r.reason = ""
	if a != nil {
		r.reason = a.Reason
	}
	r.retryable = to == message.RecordFailed && !r.once && Passes(r.reason)
	if to == message.RecordUnknown {
		r.reason = oriolebend.ReasonOutcomeLost
	}
	if to == message.RecordAnswered || to == message.RecordFailed {
		s.store(r, a)
	}
	s.move(r, to)
}

// store keeps an answer for replay, unless it is over its bound: the record
// then says that it was answered and that the answer is not kept. It comes
// before the record is put into its list, which passes over records without an
// answer for good.
func (s *State) store(r *request, a *message.Answer) {
	if a == nil {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	size := answerBytes(a)
	if size > int64(s.limits.MaxAnswerBytes) || size > s.limits.MaxAnswersBytes {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	s.makeRoom(size)
	r.answer = a
	s.answerBytes += size
}

// Passes reports whether a failure may be over when a retry comes. A brief that
// failed with its server must not be answered with that failure for a day;
// what is wrong with the command itself will be wrong again.
func Passes(reason oriolebend.Reason) bool {
	switch reason {
	case oriolebend.ReasonMalformed, oriolebend.ReasonTooLarge, oriolebend.ReasonForbidden,
		oriolebend.ReasonUnknownModel, oriolebend.ReasonUnknownService:
		return false
	default:
		return true
	}
}

// resolve gives an unknown record the outcome that its service told.
func (s *State) resolve(m Resolve) message.Settled {
	r, ok := s.ids[hashOf(m.RequestID)]
	if !ok || r.requestID != m.RequestID {
		return message.Settled{RequestID: m.RequestID}
	}
	accepted := r.state == message.RecordUnknown && r.attempt == m.Attempt && final(m.State)
	if accepted {
		s.outcome(r, m.State, m.Answer)
	}
	return message.Settled{
		RequestID: m.RequestID,
		Accepted:  accepted,
		State:     r.state,
		Attempt:   r.attempt,
	}
}

func final(s message.RecordState) bool {
	return s == message.RecordAnswered || s == message.RecordFailed || s == message.RecordNotRun
}
