package forwarder

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// result is the result of one send of a plain call.
type result struct {
	grant dispatch.Grant
	// status, header and body are the server's answer if err is nil. The part of the body that did
	// not fit into the memory for held answers is still to be read.
	status  int
	header  http.Header
	body    http1.Body
	verdict Verdict
	trace   backend.Trace
	// declined is the reason why a server that had reported a limit, a backoff period or its
	// leaving did not run the request.
	declined oriolebend.Reason
	err      error
}

// succeeded reports whether the answer is a success that can be forwarded.
func (r result) succeeded() bool {
	return r.err == nil && r.verdict.Signed && r.verdict.Doubt == "" && r.status < http.StatusMultipleChoices
}

// forwardable reports whether the answer is the server's own and can be forwarded, whatever its
// status. If the request may have run and may run only once, an answer whose status promises that
// it has not run is not forwardable: the caller would send the request again.
func (w *work) forwardable(r result) bool {
	if r.err != nil || !r.verdict.Signed || r.verdict.Ran == oriolebend.RanNo || r.status < http.StatusMultipleChoices {
		return false
	}
	return w.route.Repeat.Repeatable() || !promisesNotRun(r.status)
}

// call forwards a request whose answer is held completely before it is forwarded. If there is no
// memory left to hold it, the rest is forwarded as it arrives, so that a caller that reads slowly
// slows down its server: the memory of this process would not suffice for the answers of all such
// callers.
//
// Sends of an idempotent request overlap: once a part of the target has passed without an
// answer, the request is sent to a second server as well, and the first complete answer
// is forwarded. Otherwise a server that hangs would be noticed only when the caller's time is over.
func (w *work) call(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.releaseAnswers()
	defer cancel()
	w.countRequest()
	results := make(chan result, max(1, w.route.Attempts))
	running, refused := w.sendCall(ctx, results)
	if refused != nil {
		w.giveUp(ctx, refused.reason, refused.after)
		return
	}
	var fallback *result
	exhausted := false // no further send is granted
	for running > 0 {
		select {
		case r := <-results:
			running--
			if w.handleResult(ctx, r, &fallback) {
				return
			}
		case <-w.hedge(running, exhausted):
		case <-ctx.Done():
			w.giveUpOnContext(ctx)
			return
		}
		if !exhausted && running < 2 && w.maySendAgain(ctx) {
			started, refused := w.sendCall(ctx, results)
			running += started
			exhausted = refused != nil
		}
	}
	w.answerFailed(ctx, fallback)
}

// hedgeShare is the share of the target after which an idempotent request is sent to a second
// server in addition to the first. At half of the target the second server can still answer in
// time, and few healthy servers take that long.
const hedgeShare = 0.5

// hedge returns a channel that fires when a second send is due, nil if no second send is allowed.
func (w *work) hedge(running int, exhausted bool) <-chan time.Time {
	if exhausted || w.route.Repeat != oriolebend.RepeatIdempotent || running > 1 || w.sent >= w.route.Attempts {
		return nil
	}
	if w.f.overloaded(w.service.Name, time.Duration(w.route.AnswerWithin)) {
		return nil
	}
	within := time.Duration(float64(w.route.AnswerWithin) * hedgeShare)
	if within <= 0 {
		return nil
	}
	return time.After(time.Until(w.request.Received.Add(within * time.Duration(w.sent))))
}

// sendCall starts one send and returns the number of sends that it started.
func (w *work) sendCall(ctx context.Context, results chan<- result) (int, *refusal) {
	if refused := w.requestSend(); refused != nil {
		return 0, refused
	}
	grant, refused := w.placeCall(ctx)
	if refused != nil {
		w.withdrawRepeats()
		return 0, refused
	}
	w.recordSend(grant.Server)
	w.recordArrival(dispatch.RepeatRetry)
	request := w.outgoing(grant.Server, SendOptions{})
	held := w.f.config.Held.Open(memorybudget.Answer, grant.Server.Address)
	w.answers = append(w.answers, held)
	w.f.background.Go(func() { results <- w.exchange(ctx, grant, request, held) })
	return 1, nil
}

// releaseAnswers releases the memory of all answers, including those that are still being read.
func (w *work) releaseAnswers() {
	for _, held := range w.answers {
		held.Close()
	}
}

// exchange sends a plain call once and reads its answer.
func (w *work) exchange(ctx context.Context, g dispatch.Grant, request backend.Request, held *memorybudget.Holding) result {
	r := result{grant: g}
	response, err := w.f.send(ctx, g.Server, request)
	if err != nil {
		r.err = err
		w.detectCrash(g.Server, err)
		w.reportEnded(g, outcomeOf(err), 0)
		return r
	}
	r.status, r.header, r.trace = response.Status, response.Header, response.Trace
	body, err := response.Hold(held, w.f.config.MaxAnswerBytes)
	if err == nil && w.f.cutByCrash(g.Server, response) {
		body.Release()
		err = response.BodyError("read the body", io.ErrUnexpectedEOF)
	}
	r.body, r.err = body, err
	if r.err != nil {
		w.detectCrash(g.Server, r.err)
		w.reportEnded(g, outcomeOf(r.err), 0)
		return r
	}
	r.verdict = w.f.verdict(g.Server, response)
	r.declined = w.f.declineReason(g.Server, r.verdict)
	w.reportEnded(g, r.outcome(), response.Took)
	return r
}

// outcome classifies the server's answer for the reducer.
func (r result) outcome() dispatch.Outcome {
	switch {
	case r.verdict.Moved:
		return dispatch.OutcomeMoved
	case r.declined != "":
		return dispatch.OutcomeDeclined
	case r.verdict.Ran == oriolebend.RanNo:
		return dispatch.OutcomeRefused
	case !r.verdict.Signed:
		return dispatch.OutcomeBroken
	case r.status >= http.StatusInternalServerError:
		return dispatch.OutcomeFailed
	}
	return dispatch.OutcomeAnswered
}

// handleResult forwards a successful result and returns true. It records any other result as a
// failure; the first failure that can be forwarded becomes the fallback in case no other server
// does better.
func (w *work) handleResult(ctx context.Context, r result, fallback **result) bool {
	if r.succeeded() {
		w.forwardAnswer(ctx, r)
		return true
	}
	w.recordFailure(r)
	if w.forwardable(r) && *fallback == nil {
		*fallback = &r
	}
	return false
}

// recordFailure updates the state of the request after a result without success, and counts and
// logs it.
func (w *work) recordFailure(r result) {
	reason := oriolebend.ReasonOutcomeLost
	switch {
	case r.err != nil:
		reason = reasonOf(r.err)
		if reason == oriolebend.ReasonMemoryShort {
			w.recordNotSent(reason)
		} else if notReached(r.grant.Server, r.err) {
			w.skipServer()
		}
		w.recordNotArrived(r.err)
		w.recordRan(ranOf(r.err))
	case r.verdict.Ran == oriolebend.RanNo:
		reason = cmp.Or(r.declined, oriolebend.ReasonQueueFull)
		w.declined = r.declined
	case r.verdict.Signed:
		reason = oriolebend.ReasonEngineFailed
		w.recordRan(oriolebend.RanYes)
	default:
		w.recordRan(oriolebend.RanUnknown)
	}
	w.f.config.Observer.Count("retry", reason, "")
	w.logSend(r.grant, "sending brought no success", r.status, reason, r.err, r.details()...)
}

// recordNotSent records that a send was not made because its server has not yet read the requests
// that it was sent before. Another server can be tried. After maxSkippedServers such servers each
// further one counts as a send, so that the request ends if all servers are like that.
func (w *work) recordNotSent(reason oriolebend.Reason) {
	w.declined = reason
	w.skipServer()
}

// skipServer does not count a send that was not made, for a few servers.
func (w *work) skipServer() {
	if w.skipped++; w.skipped <= maxSkippedServers {
		w.sent--
	}
}

// notReached reports whether a send failed before anything was sent, to a server that a control VM
// restored and that has not announced itself since. Such a server may have ended before the restart,
// and the send does not count as one of the request's attempts.
func notReached(server message.BackendServer, err error) bool {
	return server.Unconfirmed && ranOf(err) == oriolebend.RanNo
}

// forwardAnswer forwards the server's answer to the caller.
func (w *work) forwardAnswer(ctx context.Context, r result) {
	if r.succeeded() {
		w.f.config.Quarantine.Answered(w.suspects(), time.Now())
	}
	if err := w.answer.SendBody(r.status, r.header, r.body); err != nil {
		w.handleCutAnswer(ctx, r, err)
		return
	}
	if !w.answer.WritesSucceeded() {
		w.f.config.Observer.Count("givenUp", oriolebend.ReasonCallerCancelled, "")
	}
	w.log(r.status, "", oriolebend.RanYes)
	w.f.config.Observer.Observe("answer", urgency(w.route), time.Since(w.request.Received).Seconds())
}

// handleCutAnswer handles an answer that the server cut off while it was forwarded as it arrived.
// The caller sees that the answer is incomplete.
func (w *work) handleCutAnswer(ctx context.Context, r result, err error) {
	w.recordRan(oriolebend.RanUnknown)
	w.logSend(r.grant, "answer cut off by the server", r.status, reasonOf(err), err)
	w.giveUp(ctx, reasonOf(err), 0)
}

// giveUpOnContext ends a request whose deadline has passed or whose caller has disconnected.
func (w *work) giveUpOnContext(ctx context.Context) {
	w.recordRan(oriolebend.RanUnknown)
	w.giveUp(ctx, backend.ContextReason(ctx), 0)
}

// answerFailed answers a request that no server answered with success.
func (w *work) answerFailed(ctx context.Context, fallback *result) {
	if fallback != nil {
		w.forwardAnswer(ctx, *fallback)
		return
	}
	reason := oriolebend.ReasonOutcomeLost
	if w.notRun() {
		reason = cmp.Or(w.declined, oriolebend.ReasonQueueFull)
	}
	if ctx.Err() != nil {
		reason = backend.ContextReason(ctx)
	}
	w.giveUpWithRetry(ctx, reason)
}

// retryAfterRefusal is the retry delay for callers whose request was refused by servers for lack of
// capacity: the queues of servers are short.
const retryAfterRefusal = 100 * time.Millisecond

// retryAfterBacklog is the retry delay for callers whose request is longer than servers can accept
// now. Requests to a server that reads nothing are given up within a few seconds.
const retryAfterBacklog = time.Second

// giveUpWithRetry answers a request that no server served. The caller may retry soon, or, if all
// servers are closed, when the first of them accepts requests again, or at the end of a quarantine.
func (w *work) giveUpWithRetry(ctx context.Context, reason oriolebend.Reason) {
	if hold, held := w.quarantined(); held && w.notRun() {
		w.giveUp(ctx, oriolebend.ReasonCrashesServers, hold.After)
		return
	}
	if refused, closed := w.allClosed(); closed && w.notRun() {
		w.giveUp(ctx, refused.reason, max(refused.after, retryAfterRefusal))
		return
	}
	after := retryAfterRefusal
	if reason == oriolebend.ReasonMemoryShort {
		after = retryAfterBacklog
	}
	w.giveUp(ctx, reason, after)
}

// urgency returns the urgency that the metrics report for a route: streams are long work.
func urgency(r *oriolebend.Route) oriolebend.Urgency {
	if r.Stream {
		return oriolebend.Patient
	}
	return oriolebend.Urgent
}
