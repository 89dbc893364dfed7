package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// result is what one sending of a plain call brought.
type result struct {
	grant dispatch.Grant
	// status, header and body are the server's answer, if err is nil. What there was no
	// room for of the body is still to be read.
	status  int
	header  http.Header
	body    http1.Body
	verdict Verdict
	// declined is why a server that has said of itself that it takes less did not run it.
	declined oriolebend.Reason
	err      error
}

// good reports whether an answer is a success that can be passed on.
func (r result) good() bool {
	return r.err == nil && r.verdict.Signed && r.status < http.StatusMultipleChoices
}

// passable reports whether an answer is the server's own and can be passed on, whatever it
// says. One that callers would take for a promise is not, where the request may have run: they
// would send it again, and it may run only once.
func (w *work) passable(r result) bool {
	if r.err != nil || !r.verdict.Signed || r.verdict.Ran == oriolebend.RanNo {
		return false
	}
	return w.route.Repeat.Repeatable() || !promisesNotRun(r.status)
}

// promisesNotRun reports whether a status tells callers that their request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// call carries a request whose answer is held whole before it is passed on, unless there is
// no room for it: a caller that reads slowly is then kept waiting for its server, as the
// memory of this process would not suffice for all such callers.
//
// Sendings of an idempotent request overlap: once the first has been out for a
// part of the target without an answer, a second server is asked beside it, and
// the first whole answer is passed on. A server that stands still is otherwise
// noticed only when the caller's time is gone.
func (w *work) call(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.releaseAnswers()
	defer cancel()
	results := make(chan result, max(1, w.route.Attempts))
	running, refused := w.sendCall(ctx, results)
	if refused != nil {
		w.giveUp(ctx, refused.reason, refused.after)
		return
	}
	var spare *result
	exhausted := false // no further sending is granted
	for running > 0 {
		select {
		case r := <-results:
			running--
			if w.settle(ctx, r, &spare) {
				return
			}
		case <-w.hedge(running, exhausted):
		case <-ctx.Done():
			w.abandoned(ctx)
			return
		}
		if !exhausted && running < 2 && w.mayGoOn(ctx) {
			started, refused := w.sendCall(ctx, results)
			running += started
			exhausted = refused != nil
		}
	}
	w.conclude(ctx, spare)
}

// hedgeAfter is the share of the target after which an idempotent request is
// sent to a second server beside the first. At half of the target the second
// can still be in time, and few sound servers take that long.
const hedgeAfter = 0.5

// hedge fires when a second sending is due; never if there may be none.
func (w *work) hedge(running int, exhausted bool) <-chan time.Time {
	if exhausted || w.route.Repeat != oriolebend.RepeatIdempotent || running > 1 || w.sent >= w.route.Attempts {
		return nil
	}
	if w.f.loaded(w.service.Name, time.Duration(w.route.AnswerWithin)) {
		return nil
	}
	within := time.Duration(float64(w.route.AnswerWithin) * hedgeAfter)
	if within <= 0 {
		return nil
	}
	return time.After(time.Until(w.request.Received.Add(within * time.Duration(w.sent))))
}

// sendCall starts one sending; it returns how many were started.
func (w *work) sendCall(ctx context.Context, results chan<- result) (int, *refusal) {
	grant, refused := w.placeCall(ctx)
	if refused != nil {
		return 0, refused
	}
	w.sent++
	w.tried = append(w.tried, grant.Server.Instance)
	request := w.outgoing(Sending{Instance: grant.Server.Instance})
	held := w.f.config.Held.Open(heldbytes.Answer, grant.Server.Address)
	w.answers = append(w.answers, held)
	w.f.background.Go(func() { results <- w.exchange(ctx, grant, request, held) })
	return 1, nil
}

// releaseAnswers gives back the memory of all answers, also of those that are still being
// read.
func (w *work) releaseAnswers() {
	for _, held := range w.answers {
		held.Close()
	}
}

// exchange sends a plain call once and reads its answer.
func (w *work) exchange(ctx context.Context, g dispatch.Grant, request backend.Request, held *heldbytes.Holding) result {
	r := result{grant: g}
	response, err := w.f.send(ctx, g.Server, request)
	if err != nil {
		r.err = err
		w.brokeEarly(g.Server, err)
		w.ended(g, outcomeOf(err), 0)
		return r
	}
	r.status, r.header = response.Status, response.Header
	body, err := response.Hold(held, w.f.config.MaxAnswerBytes)
	r.body, r.err = body, err
	if r.err != nil {
		w.brokeEarly(g.Server, r.err)
		w.ended(g, outcomeOf(r.err), 0)
		return r
	}
	r.verdict = w.f.config.Dialect.Judge(r.status, r.header, g.Server.Instance)
	r.declined = w.f.declined(g.Server, r.verdict)
	w.ended(g, r.outcome(), response.Took)
	return r
}

// outcome judges the server by its answer.
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

// settle takes a result in. It returns true once the request is answered; an
// answer that tells of a failure is kept aside while another server may do
// better.
func (w *work) settle(ctx context.Context, r result, spare **result) bool {
	if r.good() {
		w.pass(ctx, r)
		return true
	}
	w.note(r)
	if w.passable(r) && *spare == nil {
		*spare = &r
	}
	return false
}

// note takes in what a result without success tells of the request.
func (w *work) note(r result) {
	reason := oriolebend.ReasonOutcomeLost
	switch {
	case r.err != nil:
		reason = reasonOf(r.err)
		if reason == oriolebend.ReasonMemoryShort {
			w.passedOver(reason)
		}
		w.mayHaveRun(ranOf(r.err))
	case r.verdict.Ran == oriolebend.RanNo:
		reason = cmp.Or(r.declined, oriolebend.ReasonQueueFull)
		w.declined = r.declined
	case r.verdict.Signed:
		reason = oriolebend.ReasonEngineFailed
		w.mayHaveRun(oriolebend.RanYes)
	default:
		w.mayHaveRun(oriolebend.RanUnknown)
	}
	w.f.config.Observer.Count("retry", reason, "")
	w.logSending(r.grant, "sending brought no success", r.status, reason, r.err)
}

// passedOver takes in that a sending was not made, as its server has not taken yet what it was
// sent before: another one can be asked. Where all are like that, the request ends.
func (w *work) passedOver(reason oriolebend.Reason) {
	w.declined = reason
	if w.passes++; w.passes <= mostPlaces {
		w.sent--
	}
}

// pass gives the caller the server's answer.
func (w *work) pass(ctx context.Context, r result) {
	if r.good() {
		w.f.config.Quarantine.Answered(w.fingerprint)
	}
	if err := w.answer.From(r.status, r.header, r.body); err != nil {
		w.brokenOff(ctx, r, err)
		return
	}
	if !w.answer.Reached() {
		w.f.config.Observer.Count("givenUp", oriolebend.ReasonCallerCancelled, "")
	}
	w.log(r.status, "", oriolebend.RanYes)
	w.f.config.Observer.Observe("answer", urgency(w.route), time.Since(w.request.Received).Seconds())
}

// brokenOff takes in that a server broke off an answer that was passed on as it came. The
// caller sees that it is not whole.
func (w *work) brokenOff(ctx context.Context, r result, err error) {
	w.mayHaveRun(oriolebend.RanUnknown)
	w.logSending(r.grant, "answer broken off", r.status, reasonOf(err), err)
	w.giveUp(ctx, reasonOf(err), 0)
}

// abandoned ends a request whose time is over or whose caller has left.
func (w *work) abandoned(ctx context.Context) {
	w.mayHaveRun(oriolebend.RanUnknown)
	w.giveUp(ctx, backend.ReasonOfEnd(ctx), 0)
}

// conclude answers a request that no server answered with success.
func (w *work) conclude(ctx context.Context, spare *result) {
	if spare != nil {
		w.pass(ctx, *spare)
		return
	}
	reason := oriolebend.ReasonOutcomeLost
	if w.notRun() {
		reason = cmp.Or(w.declined, oriolebend.ReasonQueueFull)
	}
	if ctx.Err() != nil {
		reason = backend.ReasonOfEnd(ctx)
	}
	w.giveUpSoon(ctx, reason)
}

// retryRefused is when a caller may come back whose request servers refused for
// lack of room: their queues are short.
const retryRefused = 100 * time.Millisecond

// retryHeld is when a caller may come back whose request is longer than servers take now: one
// that takes nothing is given up within a few seconds.
const retryHeld = time.Second

// giveUpSoon answers a request that no server served. Its caller may come back soon, or once
// the first server takes something if none does now.
func (w *work) giveUpSoon(ctx context.Context, reason oriolebend.Reason) {
	if refused, closed := w.allClosed(); closed && w.notRun() {
		w.giveUp(ctx, refused.reason, max(refused.after, retryRefused))
		return
	}
	after := retryRefused
	if reason == oriolebend.ReasonMemoryShort {
		after = retryHeld
	}
	w.giveUp(ctx, reason, after)
}

// urgency sorts routes for the metrics: streams are long work.
func urgency(r *oriolebend.Route) oriolebend.Urgency {
	if r.Stream {
		return oriolebend.Patient
	}
	return oriolebend.Urgent
}
