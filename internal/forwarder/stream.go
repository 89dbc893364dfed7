package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stream forwards a request whose answer is a stream of events.
func (w *work) stream(ctx context.Context) {
	w.countRequest()
	ctx, endWatch := w.cancelIfQuarantined(ctx)
	defer endWatch()
	lastEvent := ""
	for {
		s, refused := w.reserve(ctx)
		if refused != nil {
			w.giveUpRefused(ctx, *refused)
			return
		}
		s.begun = endWatch
		w.recordSend(s.grant.Server)
		s.lastEvent = lastEvent
		end := s.run(ctx)
		if end.done {
			return
		}
		if end.unsent {
			w.sent--
			w.prefills++
		}
		lastEvent = s.lastEvent
		if w.originRecorded {
			w.interrupted = time.Now()
		}
		if !w.maySendAgain(ctx) {
			w.giveUpWithRetry(ctx, end.reason)
			return
		}
		w.f.config.Observer.Count("retry", end.reason, "")
	}
}

// giveUpRefused answers a stream's request for which there is no placement.
func (w *work) giveUpRefused(ctx context.Context, r refusal) {
	if r.reason == oriolebend.ReasonCrashesServers {
		w.giveUpWithRetry(ctx, r.reason)
		return
	}
	w.giveUp(ctx, r.reason, r.after)
}

// streamSend is one send of a stream's request.
type streamSend struct {
	*work
	grant       dispatch.Grant
	permissions permissions
	// reservation names the memory reservation at the grant's server, empty if there is none.
	reservation string
	// lastEvent is the ID of the last event that was forwarded to the caller.
	lastEvent string
	// streaming is set from the first event on, which was received at started.
	streaming bool
	started   time.Time
	// begun is called at the first event. sound is set once the request is known not to crash the
	// server.
	begun func()
	sound bool
	// events counts the received events, the last of which was received at lastReceived.
	events       int
	lastReceived time.Time
}

// streamResult is the result of a send. done is set if the caller has received the complete answer,
// or can't receive any.
type streamResult struct {
	done   bool
	reason oriolebend.Reason
	// unsent is set if nothing was sent to the server; another server can be tried.
	unsent bool
}

// run makes one send: it requests the prefill, checks that the request may still be sent to the
// decode engine, and sends it.
func (s *streamSend) run(ctx context.Context) streamResult {
	s.placed = time.Since(s.request.Received)
	if _, held := s.quarantined(); held {
		s.releasePrefill()
		return s.abandon(nil, streamResult{reason: oriolebend.ReasonCrashesServers, unsent: true})
	}
	source, err := s.prefill(ctx)
	s.prefilled = time.Since(s.request.Received)
	if err != nil && ctx.Err() != nil {
		return s.abandon(nil, streamResult{reason: backend.ContextReason(ctx)})
	}
	if _, held := s.quarantined(); held {
		return s.abandon(source, streamResult{reason: oriolebend.ReasonCrashesServers, unsent: true})
	}
	reason := s.f.refusalForGrant(s.grant)
	if reason == "" && !s.acquirePermission(ctx, s.permissions, s.grant.Server) {
		reason = oriolebend.ReasonServerLimit
	}
	if reason != "" {
		s.logSend(s.grant, "server takes nothing any more, the prompt was read in vain", 0, reason, nil)
		return s.abandon(source, streamResult{reason: reason, unsent: true})
	}
	s.recordArrival(dispatch.RepeatRetry)
	return s.decode(ctx, source)
}

// abandon releases what was acquired for a send that is not made.
func (s *streamSend) abandon(source *PrefillResult, end streamResult) streamResult {
	s.withdrawRepeats()
	s.releaseReservation()
	s.freeResult(source)
	s.reportEnded(s.grant, dispatch.OutcomeCancelled, 0)
	return end
}

// decode sends the request to the grant's server. source identifies the KV cache to fetch; if nil,
// the server computes it.
func (s *streamSend) decode(ctx context.Context, source *PrefillResult) streamResult {
	options := SendOptions{Hold: s.reservation, After: s.lastEvent}
	if source != nil {
		options.Source = s.grant.Prefill.Address + "/" + source.Handle
	}
	response, err := s.f.send(ctx, s.grant.Server, s.outgoing(s.grant.Server, options))
	if err != nil {
		s.detectCrash(s.grant.Server, err)
		s.reportEnded(s.grant, outcomeOf(err), 0)
		s.recordNotArrived(err)
		s.recordRan(ranOf(err))
		s.logSend(s.grant, "stream not begun", 0, reasonOf(err), err)
		s.freeResult(source)
		unsent := reasonOf(err) == oriolebend.ReasonMemoryShort || notReached(s.grant.Server, err)
		return streamResult{reason: reasonOf(err), unsent: unsent}
	}
	defer response.Close()
	if s.f.beginsStream(s.grant.Server, response) {
		return s.forwardEvents(response)
	}
	body, err := response.ReadBody(maxSmallBytes)
	r := result{
		grant: s.grant, status: response.Status, header: response.Header, body: (*http1.Bytes)(&body),
		trace: response.Trace, err: err, verdict: s.f.verdict(s.grant.Server, response),
	}
	if source != nil && r.refused() && s.mayRepeat(ctx) {
		return s.retryDecode(ctx, r)
	}
	return s.handleNonStream(ctx, r)
}

// mayRepeat reports whether the request may be sent to the same server once more. It acquires a new
// permission if one is needed, since the previous send has used up the earlier one.
func (s *streamSend) mayRepeat(ctx context.Context) bool {
	if _, held := s.quarantined(); held {
		return false
	}
	delete(s.permissions, s.grant.Server.Start())
	return s.acquirePermission(ctx, s.permissions, s.grant.Server) && s.requestResend()
}

// retryDecode sends the request once more to a server that could not fetch the KV cache and now
// computes it itself. The prefill result has expired or its engine has exited, and the placement at
// this server is still available.
func (s *streamSend) retryDecode(ctx context.Context, r result) streamResult {
	s.f.config.Observer.Count("retry", oriolebend.ReasonResultExpired, "")
	s.logSend(s.grant, "prefill result not taken", r.status, oriolebend.ReasonResultExpired, nil, r.details()...)
	s.reservation = ""
	s.recordArrival(dispatch.RepeatResend)
	return s.decode(ctx, nil)
}

// handleNonStream handles an answer that is not the expected stream.
func (s *streamSend) handleNonStream(ctx context.Context, r result) streamResult {
	r.declined = s.f.declineReason(s.grant.Server, r.verdict)
	s.reportEnded(s.grant, r.outcome(), 0)
	s.recordFailure(r)
	if r.verdict.Ran == oriolebend.RanNo {
		return streamResult{reason: cmp.Or(r.declined, oriolebend.ReasonQueueFull)}
	}
	final := !s.route.Repeat.Repeatable() || s.sent >= s.route.Attempts
	if s.forwardable(r) && final && !s.answer.Begun() {
		s.forwardAnswer(ctx, r)
		return streamResult{done: true}
	}
	return streamResult{reason: oriolebend.ReasonEngineFailed}
}

// forwardEvents forwards events as they arrive. Only complete events are forwarded: if the server
// stops in the middle of an event, another server can continue after the last complete one.
func (s *streamSend) forwardEvents(response *backend.Response) streamResult {
	held := s.f.config.Held.Open(memorybudget.Answer, s.grant.Server.Address)
	defer held.Close()
	reader := newEventReader(response, held)
	last := time.Now()
	for {
		event, err := reader.next()
		if s.streaming {
			s.pause = max(s.pause, time.Since(last))
		}
		last = time.Now()
		if errors.Is(err, io.EOF) && s.brokeOff(response) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return s.finishStream(response, err)
		}
		if !s.streaming {
			s.streaming, s.started = true, last
			s.begun()
			s.recordLocalPrefill()
			s.first = time.Since(s.request.Received)
			s.f.config.Observer.Observe("firstToken", urgency(s.route), time.Since(s.request.Received).Seconds())
		}
		s.events++
		s.lastReceived = last
		s.recordSound(last)
		if event.id != "" && !follows(event.id, s.lastEvent) {
			continue
		}
		if !s.deliver(response, event) {
			s.reportStreamEnded(dispatch.OutcomeCancelled)
			s.log(0, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown)
			return streamResult{done: true}
		}
	}
}

// brokeOff reports whether a server broke off a stream that ends with its connection, between two events
// or before the first one. A stream that is resumed after its last event has no further one.
func (s *streamSend) brokeOff(response *backend.Response) bool {
	if !response.Unframed {
		return false
	}
	resumes := s.lastEvent != "" || s.info.resumesStream()
	return !s.streaming && !resumes || s.f.refusesConnections(s.grant.Server.Address, unframedStreamDelays)
}

// recordLocalPrefill counts a prompt that the decode engine read itself, as work that the prefill
// pool would have done.
func (s *streamSend) recordLocalPrefill() {
	if s.grant.Prefill == nil && s.info.Prompt > 0 {
		s.f.reduce(dispatch.PrefillMeasured{At: s.f.now(), Need: s.expectedNeed(), Took: time.Since(s.request.Received)})
	}
}

// eventOverheadBytes is what an event takes of the link in addition to its own bytes: the headers of a
// packet, and the framing of a chunk.
const eventOverheadBytes = 70

// deliver writes an event to the caller. It returns false if the caller can't be reached.
func (s *streamSend) deliver(response *backend.Response, event event) bool {
	s.recordRan(oriolebend.RanUnknown)
	s.recordOrigin(s.grant.Server)
	if !s.answer.Begun() && !s.answer.Begin(response.Status, response.Header) {
		return false
	}
	if event.id != "" {
		s.lastEvent = event.id
	}
	response.CountForwarded(eventOverheadBytes)
	return s.answer.Write(event.raw)
}

// reportStreamEnded reports the end of the send, how many events the engine wrote, and how long that
// took. The time after the last event is not included: in a stream that broke off it is a timeout.
func (s *streamSend) reportStreamEnded(outcome dispatch.Outcome) {
	s.f.reportEnded(dispatch.Ended{
		At: s.f.now(), Grant: s.grant, Outcome: outcome, Writing: s.lastReceived.Sub(s.started), Events: s.events,
	})
}

// finishStream handles the end of a server's stream.
func (s *streamSend) finishStream(response *backend.Response, err error) streamResult {
	if errors.Is(err, io.EOF) {
		if s.streaming {
			if !s.sound {
				s.f.config.Quarantine.Answered(s.suspects(), s.started)
			}
			s.f.reduce(dispatch.GenerationMeasured{Need: s.expectedNeed(), Took: time.Since(s.request.Received) - s.first, Parts: s.events})
		}
		// The engine has finished, however long the caller takes to read the rest.
		s.reportStreamEnded(dispatch.OutcomeAnswered)
		if !s.answer.Begun() && !s.answer.Begin(response.Status, response.Header) {
			return streamResult{done: true}
		}
		s.answer.End()
		s.f.config.Streams.Finished(s.streamID())
		s.log(response.Status, "", oriolebend.RanYes)
		return streamResult{done: true}
	}
	s.recordRan(oriolebend.RanUnknown)
	failed := response.BodyError("read the stream", err)
	reason, outcome := reasonOf(failed), dispatch.OutcomeCancelled
	if reason == oriolebend.ReasonOutcomeLost {
		outcome = dispatch.OutcomeCut
	}
	if !s.streaming || time.Since(s.started) < earlyStreamPeriod {
		s.detectCrash(s.grant.Server, failed)
	} else {
		s.detectExit(s.grant.Server, failed)
	}
	s.reportStreamEnded(outcome)
	s.logSend(s.grant, "stream broken off", response.Status, reason, failed)
	return streamResult{reason: reason}
}
