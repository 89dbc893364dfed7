package caller

import (
	"context"
	"fmt"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// output reads the chunks of one answer and checks that they follow one another.
// This is the last place where a chunk that arrives twice, late or from another
// attempt can be detected before it is sent to the caller.
type output struct {
	chunks <-chan Chunk
	// requestID identifies the record that the answer belongs to.
	requestID string
	// offset is the number of output tokens that were returned by next.
	offset int
	// replayed is true if the answer is a stored one.
	replayed bool
}

// step is the next part of an answer to write. Exactly one of its fields is set,
// except that Text and Finish may both be set.
type step struct {
	Text   string
	Finish message.FinishReason
	// Call is the complete answer of a plain service.
	Call *message.CallAnswer
}

// next waits for the next step. Errors are *oriolebend.Problem; if the caller has
// disconnected, the reason is callerCancelled.
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
			result, found, err := o.stepOf(chunk)
			if found || err != nil {
				return result, err
			}
		}
	}
}

// stepOf converts a chunk to a step. It reports false for a chunk whose output was
// returned before.
func (o *output) stepOf(c Chunk) (step, bool, error) {
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
		return o.replayStep(*c.Replay)
	case c.End != nil:
		return o.endStep(*c.End)
	}
	return o.textStep(c)
}

func (o *output) textStep(c Chunk) (step, bool, error) {
	end := c.Offset + c.Tokens
	if end <= o.offset && c.Tokens > 0 {
		return step{}, false, nil
	}
	if c.Offset != o.offset {
		return step{}, true, o.problem(oriolebend.ReasonInternal,
			fmt.Sprintf("output at token %d where %d was due", c.Offset, o.offset))
	}
	o.offset = end
	return step{Text: c.Text}, true, nil
}

func (o *output) endStep(e End) (step, bool, error) {
	if e.Tokens != o.offset {
		return step{}, true, o.problem(oriolebend.ReasonInternal,
			fmt.Sprintf("output ended at token %d of %d", o.offset, e.Tokens))
	}
	return step{Finish: e.Finish}, true, nil
}

// replayStep converts a stored answer to a step. A stored failure is returned as it
// was stored.
func (o *output) replayStep(a message.Answer) (step, bool, error) {
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

// problem returns a failure after the request reached the Router; whether the
// request ran is unknown.
func (o *output) problem(reason oriolebend.Reason, detail string) *oriolebend.Problem {
	return &oriolebend.Problem{
		Reason:    reason,
		Ran:       oriolebend.RanUnknown,
		Detail:    detail,
		RequestID: o.requestID,
	}
}
