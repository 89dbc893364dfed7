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
	// laterAttempt also takes higher numbers of the same ownership.
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
// A record that is to run once is answered only from running, at the very
// attempt that was moved there: an answer without that move would show that a
// dispatch went out before a quorum knew of it. From running to a later
// running the owner asserts that its gate refused the attempt before with ran
// "no". Unknown takes the outcome of its own attempt from its own owner, who
// may have been cut off and not dead: the one attempt that was let through
// tells the truth whenever it tells it, and since unknown starts no further
// attempt nothing can have run beside it.
var moves = map[move]rule{
	{message.RecordClaimed, message.RecordRunning}:  {laterAttempt, laterAttempt},
	{message.RecordClaimed, message.RecordAnswered}: {never, laterAttempt},
	{message.RecordClaimed, message.RecordFailed}:   {laterAttempt, laterAttempt},
	{message.RecordClaimed, message.RecordNotRun}:   {laterAttempt, laterAttempt},

	{message.RecordRunning, message.RecordRunning}:  {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordAnswered}: {sameAttempt, laterAttempt},
	{message.RecordRunning, message.RecordFailed}:   {sameAttempt, laterAttempt},
	{message.RecordRunning, message.RecordNotRun}:   {laterAttempt, laterAttempt},
	{message.RecordRunning, message.RecordUnknown}:  {sameAttempt, never},

	{message.RecordUnknown, message.RecordAnswered}: {sameAttempt, never},
	{message.RecordUnknown, message.RecordFailed}:   {sameAttempt, never},
	{message.RecordUnknown, message.RecordNotRun}:   {sameAttempt, never},

	// A repeatable request whose owner was taken for dead: its answer still
	// counts until another owner takes the record over.
	{message.RecordFailed, message.RecordAnswered}: {never, laterAttempt},
	{message.RecordFailed, message.RecordFailed}:   {never, laterAttempt},
}

// settle moves a record on if its owner and attempt may.
func (s *State) settle(t message.Settle) message.Settled {
	r, ok := s.records[scopeHash(t.Scope)]
	if !ok || r.requestID != t.RequestID {
		return message.Settled{RequestID: t.RequestID, Ticket: t.Ticket}
	}
	s.alive(t.Owner)
	accepted := s.repeated(r, t)
	if !accepted && s.allows(r, t) {
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

// repeated reports whether a settle was accepted before; it is sent again
// after a lost answer and gets the first answer.
func (s *State) repeated(r *request, t message.Settle) bool {
	return r.state == t.State && r.owner == t.Owner && r.attempt == t.Attempt && !r.orphaned
}

func (s *State) allows(r *request, t message.Settle) bool {
	if r.owner != t.Owner || !r.ownedSince(t.Attempt) {
		return false
	}
	if r.state == message.RecordFailed && !r.orphaned {
		return false
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
		return t.Attempt >= r.attempt
	default:
		return false
	}
}

func (s *State) carryOut(r *request, t message.Settle) {
	r.attempt = t.Attempt
	if t.Server != "" {
		r.server = s.intern(t.Server)
	}
	s.outcome(r, t.State, t.Answer)
}

// outcome moves a record and stores its answer, if it has one.
func (s *State) outcome(r *request, to message.RecordState, a *message.Answer) {
	r.orphaned = to == message.RecordFailed && !r.once && a != nil && a.Reopens
	r.reason = ""
	if a != nil {
		r.reason = a.Reason
	}
	if to == message.RecordUnknown {
		r.reason = oriolebend.ReasonOutcomeLost
	}
	s.move(r, to)
	if to == message.RecordAnswered || (to == message.RecordFailed && !r.orphaned) {
		s.store(r, a)
	}
}

// store keeps an answer for replay, unless it is over a bound: the record
// then says that it was answered and that the answer is not kept.
func (s *State) store(r *request, a *message.Answer) {
	if a == nil {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	size := answerBytes(a)
	if size > int64(s.limits.MaxAnswerBytes) || s.answerBytes+size > s.limits.MaxAnswersBytes {
		r.reason = oriolebend.ReasonAnswerNotKept
		return
	}
	r.answer = a
	s.answerBytes += size
}

// resolve gives an unknown record the outcome that its service told.
func (s *State) resolve(m Resolve) message.Settled {
	r, ok := s.ids[hashOf(m.RequestID)]
	if !ok {
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
