package caller

import (
	"context"
	"fmt"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// output reads the chunks of one answer and checks that they make one whole:
// this is the last place where a part that came twice, late, or from another
// attempt can be told from the next one before the caller has it.
type output struct {
	chunks <-chan Chunk
	// requestID names the record that the answer belongs to.
	requestID string
	// offset is how many output tokens the caller has.
	offset int
	// replayed is true if the answer was stored.
	replayed bool
}

// step is the next thing to give the caller. Exactly one of its parts is set,
// but that Text may come with Finish.
type step struct {
	Text   string
	Finish message.FinishReason
	// Call is the whole answer of a plain service.
	Call *message.CallAnswer
}

// next waits for the next step. Errors are *oriolebend.Problem; that of a
// caller which left has the reason callerCancelled.
func (o *output) next(ctx context.Context) (step, error) {
	for {
		select {
		case <-ctx.Done():
			return step{}, o.problem(oriolebend.ReasonCallerCancelled, "the caller left")
		case chunk, open := <-o.chunks:
			if !open && ctx.Err() != nil {
				return step{}, o.problem(oriolebend.ReasonCallerCancelled, "the caller left")
			}
			if !open {
				return step{}, o.problem(oriolebend.ReasonInternal, "the answer broke off without an outcome")
			}
			taken, useful, err := o.take(chunk)
			if useful || err != nil {
				return taken, err
			}
		}
	}
}

// take turns a chunk into a step; it reports false for one that says nothing
// new.
func (o *output) take(c Chunk) (step, bool, error) {
	if c.RequestID != "" {
		o.requestID = c.RequestID
	}
	switch {
	case c.Problem != nil:
		problem := *c.Problem
		if problem.RequestID == "" {
			problem.RequestID = o.requestID
		}
		return step{}, true, &problem
	case c.Call != nil:
		return step{Call: c.Call}, true, nil
	case c.Replay != nil:
		return o.takeReplay(*c.Replay)
	case c.End != nil:
		return o.takeEnd(*c.End)
	}
	return o.takeText(c)
}

func (o *output) takeText(c Chunk) (step, bool, error) {
	behind := c.Offset + c.Tokens
	if behind <= o.offset && c.Tokens > 0 {
		return step{}, false, nil
	}
	if c.Offset != o.offset {
		return step{}, true, o.problem(oriolebend.ReasonInternal,
			fmt.Sprintf("output at token %d where %d was due", c.Offset, o.offset))
	}
	o.offset = behind
	return step{Text: c.Text}, true, nil
}

func (o *output) takeEnd(e End) (step, bool, error) {
	if e.Tokens != o.offset {
		return step{}, true, o.problem(oriolebend.ReasonInternal,
			fmt.Sprintf("output ended at token %d of %d", o.offset, e.Tokens))
	}
	return step{Finish: e.Finish}, true, nil
}

// takeReplay gives a stored answer. A stored failure is told again as it was.
func (o *output) takeReplay(a message.Answer) (step, bool, error) {
	o.replayed = true
	switch {
	case a.Reason != "":
		problem := o.problem(a.Reason, "stored outcome of the first request with this key")
		if a.Ran != "" {
			problem.Ran = a.Ran
		}
		return step{}, true, problem
	case a.Finish == "":
		return step{Call: &message.CallAnswer{Status: a.Status, Header: a.Header, Body: a.Body}}, true, nil
	}
	o.offset = a.Tokens
	return step{Text: string(a.Body), Finish: a.Finish}, true, nil
}

// problem returns a failure behind the Router, of which nothing says whether
// the request ran.
func (o *output) problem(reason oriolebend.Reason, detail string) *oriolebend.Problem {
	return &oriolebend.Problem{
		Reason:    reason,
		Ran:       oriolebend.RanUnknown,
		Detail:    detail,
		RequestID: o.requestID,
	}
}
