package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stream carries a request whose answer is a stream of events.
func (w *work) stream(ctx context.Context) {
	after := ""
	for {
		grant, refused := w.f.place(w.need())
		if refused != nil {
			w.giveUp(ctx, refused.reason, refused.after)
			return
		}
		w.sent++
		w.tried = append(w.tried, grant.Server.Instance)
		s := &sending{work: w, grant: grant, after: after}
		end := s.run(ctx)
		if end.done {
			return
		}
		after = s.after
		if !w.mayGoOn(ctx) {
			w.giveUp(ctx, end.reason, retryRefused)
			return
		}
		w.f.config.Observer.Count("retry", end.reason, "")
	}
}

// sending is one sending of a stream's request.
type sending struct {
	*work
	grant dispatch.Grant
	// after is the last event that the caller was given.
	after string
	// read is set once the reducer was told that the prompt is read.
	read bool
}

// ending is how a sending ended: done if the caller has its whole answer, or
// can't be given any.
type ending struct {
	done   bool
	reason oriolebend.Reason
}

// run carries one sending out.
func (s *sending) run(ctx context.Context) ending {
	began := s.f.now()
	source := ""
	if s.grant.Prefill != nil {
		var failed *ending
		if source, failed = s.prefill(ctx); failed != nil {
			s.ended(s.grant, dispatch.OutcomeCancelled, 0)
			return *failed
		}
	}
	request := s.outgoing(Sending{Instance: s.grant.Server.Instance, Source: source, After: s.after})
	response, err := s.f.pool.Do(ctx, s.grant.Server.Address, request)
	if err != nil {
		s.promptRead(0)
		s.ended(s.grant, outcomeOf(err), 0)
		s.mayHaveRun(ranOf(err))
		s.logSending(s.grant, "stream not begun", 0, reasonOf(err), err)
		return ending{reason: reasonOf(err)}
	}
	defer response.Close()
	verdict := s.f.config.Dialect.Judge(response.Status, response.Header, s.grant.Server.Instance)
	if response.Status != http.StatusOK || !verdict.Signed || verdict.Ran == oriolebend.RanNo {
		return s.notStreaming(response, verdict)
	}
	return s.pump(response, began)
}

// promptRead tells the reducer once that the prompt is out of the way.
func (s *sending) promptRead(took time.Duration) {
	if s.read {
		return
	}
	s.read = true
	if s.grant.Prefill == nil {
		s.f.reduce(dispatch.PromptRead{At: s.f.now(), Grant: s.grant, Took: took})
	}
}

// prefill has the grant's prefill engine read the prompt. If that fails the
// decode engine reads it itself.
func (s *sending) prefill(ctx context.Context) (string, *ending) {
	engine := *s.grant.Prefill
	began := s.f.now()
	request := s.outgoing(Sending{Instance: engine.Instance, PrefillOnly: true})
	result, err := s.readPrompt(ctx, engine.Address, request)
	s.f.reduce(dispatch.PromptRead{At: s.f.now(), Grant: s.grant, Took: s.f.now().Sub(began), Failed: err != nil})
	if err == nil {
		return engine.Address + "/" + result.Handle, nil
	}
	s.logSending(s.grant, "prefill brought no result", 0, reasonOf(err), err)
	if ctx.Err() != nil {
		s.promptRead(0)
		return "", &ending{reason: reasonOfEnd(ctx)}
	}
	return "", nil
}

// maxPrefillBytes bounds the answer to a prefill, which only names a result.
const maxPrefillBytes = 64 << 10

// PrefillError is an answer to a prefill that names no result.
type PrefillError struct{ Status int }

// Error implements error.
func (e *PrefillError) Error() string {
	return fmt.Sprintf("prefill answered with status %d", e.Status)
}

func (s *sending) readPrompt(ctx context.Context, address string, request backend.Request) (PrefillResult, error) {
	response, err := s.f.pool.Do(ctx, address, request)
	if err != nil {
		return PrefillResult{}, err
	}
	body, err := response.Whole(maxPrefillBytes)
	if err != nil {
		return PrefillResult{}, err
	}
	if response.Status != http.StatusOK {
		return PrefillResult{}, &PrefillError{Status: response.Status}
	}
	return s.f.config.Dialect.PrefillResult(body)
}

// maxFailureBytes bounds the body of an answer that is no stream.
const maxFailureBytes = 1 << 20

// notStreaming takes in an answer that is not the stream.
func (s *sending) notStreaming(response *backend.Response, verdict Verdict) ending {
	s.promptRead(0)
	body, err := response.Whole(maxFailureBytes)
	r := result{grant: s.grant, status: response.Status, header: response.Header, body: body, verdict: verdict, err: err}
	s.ended(s.grant, r.outcome(), 0)
	s.note(r)
	if verdict.Ran == oriolebend.RanNo {
		return ending{reason: oriolebend.ReasonQueueFull}
	}
	final := !s.route.Repeat.Repeatable() || s.sent >= s.route.Attempts
	if r.passable() && final && !s.answer.Begun() {
		s.pass(r)
		return ending{done: true}
	}
	return ending{reason: oriolebend.ReasonEngineFailed}
}

// pump passes events on as they come. Only whole events are passed on: a server
// may stop in the middle of one, and another server then goes on behind the
// last whole one.
func (s *sending) pump(response *backend.Response, began time.Time) ending {
	events := newEventReader(response)
	for {
		event, err := events.next()
		if err != nil {
			return s.pumpEnded(response, err)
		}
		if !s.read {
			s.promptRead(s.f.now().Sub(began))
			s.f.config.Observer.Observe("firstToken", urgency(s.route), time.Since(s.request.Received).Seconds())
		}
		if event.id != "" && !later(event.id, s.after) {
			continue
		}
		if !s.deliver(response, event) {
			s.ended(s.grant, dispatch.OutcomeCancelled, 0)
			s.log(0, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown)
			return ending{done: true}
		}
	}
}

// deliver gives an event to the caller.
func (s *sending) deliver(response *backend.Response, event event) bool {
	s.mayHaveRun(oriolebend.RanUnknown)
	if !s.answer.Begun() && !s.answer.Begin(response.Status, response.Header) {
		return false
	}
	if event.id != "" {
		s.after = event.id
	}
	return s.answer.Write(event.raw)
}

// pumpEnded takes in the end of a server's stream.
func (s *sending) pumpEnded(response *backend.Response, err error) ending {
	s.promptRead(0)
	if errors.Is(err, io.EOF) {
		if !s.answer.Begun() && !s.answer.Begin(response.Status, response.Header) {
			return ending{done: true}
		}
		s.answer.End()
		s.ended(s.grant, dispatch.OutcomeAnswered, response.Took)
		s.log(response.Status, "", oriolebend.RanYes)
		return ending{done: true}
	}
	s.mayHaveRun(oriolebend.RanUnknown)
	failed := &backend.Error{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, Detail: "read the stream", Cause: err}
	outcome := dispatch.OutcomeBroken
	if response.Ended() != nil {
		failed.Reason, outcome = response.Ended().Reason, dispatch.OutcomeCancelled
	}
	s.ended(s.grant, outcome, 0)
	s.logSending(s.grant, "stream broken off", response.Status, failed.Reason, failed)
	return ending{reason: failed.Reason}
}
