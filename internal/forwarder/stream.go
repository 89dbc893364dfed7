package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stream carries a request whose answer is a stream of events.
func (w *work) stream(ctx context.Context) {
	after := ""
	for {
		s, refused := w.reserve(ctx)
		if refused != nil {
			w.giveUp(ctx, refused.reason, refused.after)
			return
		}
		w.sent++
		w.tried = append(w.tried, s.grant.Server.Instance)
		s.after = after
		end := s.run(ctx)
		if end.done {
			return
		}
		if end.unsent {
			w.sent--
			w.prefills++
		}
		after = s.after
		if !w.mayGoOn(ctx) {
			if end.after > 0 {
				w.giveUp(ctx, end.reason, end.after)
				return
			}
			w.giveUpSoon(ctx, end.reason)
			return
		}
		w.f.config.Observer.Count("retry", end.reason, "")
	}
}

// sending is one sending of a stream's request.
type sending struct {
	*work
	grant   dispatch.Grant
	permits permits
	// hold names the reservation at the grant's server, empty if there is none.
	hold string
	// after is the last event that the caller was given.
	after string
	// streaming is set from the first event, which came at begun.
	streaming bool
	begun     time.Time
	// parts is how many events came.
	parts int
}

// ending is how a sending ended: done if the caller has its whole answer, or
// can't be given any.
type ending struct {
	done   bool
	reason oriolebend.Reason
	// unsent is set if its server was sent nothing: another one can be.
	unsent bool
	// after is when the caller may come back, if the request is given up; zero means soon.
	after time.Duration
}

// run carries one sending out.
func (s *sending) run(ctx context.Context) ending {
	s.placed = time.Since(s.request.Received)
	if left, held := s.f.config.Quarantine.Quarantined(s.fingerprint); held {
		s.unusedPrefill()
		return s.giveBack(nil, ending{reason: oriolebend.ReasonCrashesServers, after: left, unsent: true})
	}
	source, err := s.prefill(ctx)
	s.read = time.Since(s.request.Received)
	if err != nil && ctx.Err() != nil {
		return s.giveBack(nil, ending{reason: backend.ReasonOfEnd(ctx)})
	}
	if left, held := s.f.config.Quarantine.Quarantined(s.fingerprint); held {
		return s.giveBack(source, ending{reason: oriolebend.ReasonCrashesServers, after: left, unsent: true})
	}
	reason := s.f.refusesStill(s.grant)
	if reason == "" && !s.permit(ctx, s.permits, s.grant.Server) {
		reason = oriolebend.ReasonServerLimit
	}
	if reason != "" {
		s.logSending(s.grant, "server takes nothing any more, the prompt was read in vain", 0, reason, nil)
		return s.giveBack(source, ending{reason: reason, unsent: true})
	}
	return s.decode(ctx, source)
}

// giveBack gives back what was taken for a sending that is not made.
func (s *sending) giveBack(source *PrefillResult, end ending) ending {
	s.dropHold()
	s.freeResult(source)
	s.ended(s.grant, dispatch.OutcomeCancelled, 0)
	return end
}

// decode sends the request to the grant's server; source names the KV cache to
// fetch, nil has the server compute it.
func (s *sending) decode(ctx context.Context, source *PrefillResult) ending {
	sending := Sending{Instance: s.grant.Server.Instance, Hold: s.hold, After: s.after}
	if source != nil {
		sending.Source = s.grant.Prefill.Address + "/" + source.Handle
	}
	response, err := s.f.send(ctx, s.grant.Server, s.outgoing(sending))
	if err != nil {
		s.brokeEarly(s.grant.Server, err)
		s.ended(s.grant, outcomeOf(err), 0)
		s.mayHaveRun(ranOf(err))
		s.logSending(s.grant, "stream not begun", 0, reasonOf(err), err)
		s.freeResult(source)
		return ending{reason: reasonOf(err), unsent: reasonOf(err) == oriolebend.ReasonMemoryShort}
	}
	defer response.Close()
	verdict := s.f.config.Dialect.Judge(response.Status, response.Header, s.grant.Server.Instance)
	if response.Status == http.StatusOK && verdict.Signed && verdict.Ran != oriolebend.RanNo {
		return s.pump(response)
	}
	if source != nil && verdict.Ran == oriolebend.RanNo && !verdict.Moved && s.mayRepeat(ctx) {
		return s.decodeAgain(ctx, response)
	}
	return s.notStreaming(ctx, response, verdict)
}

// mayRepeat reports whether the request may be sent to the same server once more. The
// permission that it had is used up.
func (s *sending) mayRepeat(ctx context.Context) bool {
	delete(s.permits, s.grant.Server.Start())
	return s.permit(ctx, s.permits, s.grant.Server) && s.f.mayRepeatAt(s.grant)
}

// decodeAgain sends the request once more to a server that could not get the
// KV cache, which it then computes itself: the result has lapsed or its engine
// is gone, and the place at this server is still free.
func (s *sending) decodeAgain(ctx context.Context, response *backend.Response) ending {
	if _, err := response.Whole(maxSmallBytes); err != nil {
		response.Close()
	}
	s.f.config.Observer.Count("retry", oriolebend.ReasonResultExpired, "")
	s.logSending(s.grant, "prefill result not taken", response.Status, oriolebend.ReasonResultExpired, nil)
	s.hold = ""
	return s.decode(ctx, nil)
}

// notStreaming takes in an answer that is not the stream.
func (s *sending) notStreaming(ctx context.Context, response *backend.Response, verdict Verdict) ending {
	body, err := response.Whole(maxSmallBytes)
	r := result{
		grant: s.grant, status: response.Status, header: response.Header, body: (*http1.Bytes)(&body),
		verdict: verdict, declined: s.f.declined(s.grant.Server, verdict), err: err,
	}
	s.ended(s.grant, r.outcome(), 0)
	s.note(r)
	if verdict.Ran == oriolebend.RanNo {
		return ending{reason: cmp.Or(r.declined, oriolebend.ReasonQueueFull)}
	}
	final := !s.route.Repeat.Repeatable() || s.sent >= s.route.Attempts
	if s.passable(r) && final && !s.answer.Begun() {
		s.pass(ctx, r)
		return ending{done: true}
	}
	return ending{reason: oriolebend.ReasonEngineFailed}
}

// pump passes events on as they come. Only whole events are passed on: a server
// may stop in the middle of one, and another server then goes on behind the
// last whole one.
func (s *sending) pump(response *backend.Response) ending {
	held := s.f.config.Held.Open(heldbytes.Answer, s.grant.Server.Address)
	defer held.Close()
	events := newEventReader(response, held)
	last := time.Now()
	for {
		event, err := events.next()
		if s.streaming {
			s.pause = max(s.pause, time.Since(last))
		}
		last = time.Now()
		if err != nil {
			return s.pumpEnded(response, err)
		}
		if !s.streaming {
			s.streaming, s.begun = true, last
			s.readHere()
			s.first = time.Since(s.request.Received)
			s.f.config.Observer.Observe("firstToken", urgency(s.route), time.Since(s.request.Received).Seconds())
		}
		s.parts++
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

// readHere counts a prompt that the engine has read itself, as work that the prefill
// pool would have had.
func (s *sending) readHere() {
	if s.grant.Prefill == nil && s.ask.Prompt > 0 {
		s.f.reduce(dispatch.Read{Need: s.expectedNeed(), Took: time.Since(s.request.Received), Here: true})
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
	if errors.Is(err, io.EOF) {
		if !s.answer.Begun() && !s.answer.Begin(response.Status, response.Header) {
			return ending{done: true}
		}
		s.answer.End()
		if s.streaming {
			s.f.config.Quarantine.Answered(s.fingerprint)
			s.f.reduce(dispatch.Written{Need: s.expectedNeed(), Took: time.Since(s.request.Received) - s.first, Parts: s.parts})
		}
		s.ended(s.grant, dispatch.OutcomeAnswered, 0)
		s.log(response.Status, "", oriolebend.RanYes)
		return ending{done: true}
	}
	s.mayHaveRun(oriolebend.RanUnknown)
	failed := response.Lost("read the stream", err)
	reason, outcome := reasonOf(failed), dispatch.OutcomeCancelled
	if reason == oriolebend.ReasonOutcomeLost {
		outcome = dispatch.OutcomeCut
	}
	if !s.streaming || time.Since(s.begun) < justBegun {
		s.brokeEarly(s.grant.Server, failed)
	}
	s.ended(s.grant, outcome, 0)
	s.logSending(s.grant, "stream broken off", response.Status, reason, failed)
	return ending{reason: reason}
}
