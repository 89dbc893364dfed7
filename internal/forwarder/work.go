package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// work is one request on its way.
type work struct {
	f       *Forwarder
	request *http1.Request
	answer  *http1.Answer
	ask     Ask
	route   *oriolebend.Route
	service *oriolebend.RouteService
	// organisation holds the caller's key; nil if it needs none and shows none.
	organisation *oriolebend.Organisation
	// identified is set if callers of the routing in force show keys.
	identified bool
	// charged is what the request has taken of its organisation's quota, quota what was
	// known of that.
	charged  Charge
	quota    QuotaState
	version  uint64
	deadline time.Time
	// fingerprint is what the request asks for.
	fingerprint quarantine.Fingerprint
	// returned is set if the caller seems to have been refused before.
	returned bool

	// answers are the memory of answers to its sendings.
	answers []*heldbytes.Holding

	// sent counts the servers that the request was sent to, tried names them.
	sent  int
	tried []string
	// declined is why the last server that refused it did, if it had said of itself that it
	// takes less.
	declined oriolebend.Reason
	// passes counts the servers that could not be sent it, as they take too slowly.
	passes int
	// prefills counts the prefills that were asked for in vain, before a sending that
	// was not made. A second one counts as a repeat.
	prefills int
	// prompted is set once a prefill engine was asked to read the prompt.
	prompted bool
	// ran is what is known of the request over all sendings: "yes" or "unknown"
	// once one of them may have run.
	ran oriolebend.Ran
	// placed, read and first are when a stream had its place, its prompt read
	// and its first event, counted from its arrival; zero if it did not come to
	// that.
	placed, read, first time.Duration
	// pause is the longest time between two events of a stream.
	pause time.Duration
}

// refusal is why a request is not sent, or not sent again.
type refusal struct {
	reason oriolebend.Reason
	after  time.Duration
}

// need is what the next sending asks of a server.
func (w *work) need() dispatch.Need {
	return dispatch.Need{
		Service: w.service.Name, Prompt: w.ask.Prompt, Output: w.ask.output(),
		FirstWithin: time.Duration(w.route.AnswerWithin), Arrived: w.request.Received,
		PauseWithin: time.Duration(w.route.PauseWithin), Returned: w.returned,
		FailureDomain: w.f.config.Dispatch.FailureDomain,
		Tried:         w.tried, Again: w.sent+w.prefills > 0,
	}
}

// mayHaveRun notes that a sending may have run.
func (w *work) mayHaveRun(ran oriolebend.Ran) {
	if ran != oriolebend.RanNo && w.ran != oriolebend.RanYes {
		w.ran = ran
	}
}

// notRun reports whether no sending can have run.
func (w *work) notRun() bool { return w.ran == "" || w.ran == oriolebend.RanNo }

// left is what is left of the caller's time.
func (w *work) left() time.Duration { return time.Until(w.deadline) }

// mayGoOn reports whether another sending is allowed at all: the operator's
// bound, the caller's time, the repeat rule of the route, and what the request did to
// servers before.
func (w *work) mayGoOn(ctx context.Context) bool {
	const worthwhile = 5 * time.Millisecond
	if ctx.Err() != nil || w.sent >= max(1, w.route.Attempts) || w.left() < worthwhile {
		return false
	}
	if _, held := w.f.config.Quarantine.Quarantined(w.fingerprint); held {
		return false
	}
	return w.notRun() || w.route.Repeat.Repeatable()
}

// outgoing is the request as it goes to a server.
func (w *work) outgoing(s Sending) backend.Request {
	s.Within = w.left()
	s.Identified, s.Organisation = w.identified, w.organisationName()
	return backend.Request{
		Method: w.request.Method, Target: w.request.Target, Host: w.request.Host, Body: w.request.Body,
		Header:    w.f.config.Dialect.Outgoing(http1.EndToEnd(w.request.Header), s),
		Matches:   func(h http.Header) bool { return w.f.config.Dialect.Matches(h, w.ask.ID) },
		Freshness: w.freshness(),
	}
}

// Connections that have lain unused for longer are not used again. A server may
// drop an unused connection without notice, and what is sent on it next is
// reset: a request that may run only once is then lost, since nobody can tell
// whether it ran.
const (
	freshForOnce   = 2 * time.Second
	freshForRepeat = 8 * time.Second
)

func (w *work) freshness() time.Duration {
	if w.route.Repeat.Repeatable() {
		return freshForRepeat
	}
	return freshForOnce
}

// ended reports the end of a sending to the reducer.
func (w *work) ended(g dispatch.Grant, outcome dispatch.Outcome, took time.Duration) {
	w.f.ended(dispatch.Ended{At: w.f.now(), Grant: g, Outcome: outcome, Took: took})
}

// reasonOf is the reason of a failed exchange.
func reasonOf(err error) oriolebend.Reason {
	var e *backend.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return oriolebend.ReasonOutcomeLost
}

// ranOf is what a failed exchange tells of its request.
func ranOf(err error) oriolebend.Ran {
	var e *backend.Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return oriolebend.RanUnknown
}

// outcomeOf judges a server by a failed exchange.
func outcomeOf(err error) dispatch.Outcome {
	switch reasonOf(err) {
	case oriolebend.ReasonCallerCancelled:
		return dispatch.OutcomeCancelled
	case oriolebend.ReasonMemoryShort:
		return dispatch.OutcomeWithheld // nothing was sent
	}
	return dispatch.OutcomeBroken
}

// refuse answers a request that has not run and will not, and says when to come
// back.
func (w *work) refuse(r refusal) {
	w.f.config.Observer.Count("refusal", r.reason, w.organisationName())
	w.refund()
	header := http.Header{}
	if r.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	status := http.StatusServiceUnavailable
	if r.reason == oriolebend.ReasonQuota {
		status = http.StatusTooManyRequests
	}
	w.own(status, header, r.reason, oriolebend.RanNo)
}

// reject answers a request that is wrong in itself.
func (w *work) reject(status int, reason oriolebend.Reason, cause error) {
	w.f.config.Observer.Count("refusal", reason, "")
	if cause != nil {
		w.f.config.Logger.Info("request malformed", "request", w.ask.ID, "error", cause)
	}
	w.own(status, http.Header{}, reason, oriolebend.RanNo)
}

// giveUp answers a request that has no answer of a server: as not run if that
// is certain, else as failed, which promises nothing.
func (w *work) giveUp(ctx context.Context, reason oriolebend.Reason, after time.Duration) {
	if w.answer.Begun() {
		w.log(0, reason, w.ran) // the connection is cut; the answer can't look whole
		w.f.config.Observer.Count("givenUp", reason, "")
		return
	}
	if w.notRun() {
		w.refuse(refusal{reason: reason, after: after})
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || reason == oriolebend.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	w.f.config.Observer.Count("givenUp", reason, "")
	w.own(status, http.Header{}, reason, w.ran)
}

// problem is the body of an answer of the router itself.
type problem struct {
	Reason oriolebend.Reason `json:"reason"`
	Ran    oriolebend.Ran    `json:"ran"`
}

// own sends an answer of the router itself.
func (w *work) own(status int, header http.Header, reason oriolebend.Reason, ran oriolebend.Ran) {
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(problem{Reason: reason, Ran: ran})
	if err != nil {
		body = nil // two plain words always encode
	}
	w.answer.Whole(status, header, body)
	w.log(status, reason, ran)
}

// log writes the one line that tells what became of a request, and why.
func (w *work) log(status int, reason oriolebend.Reason, ran oriolebend.Ran) {
	attributes := []slog.Attr{
		slog.String("request", w.ask.ID), slog.String("fingerprint", w.fingerprint.String()), slog.Int("status", status),
		slog.String("ran", string(ran)), slog.Int("sent", w.sent),
		slog.Int64("tookMs", time.Since(w.request.Received).Milliseconds()),
		slog.Int64("withinMs", w.ask.Within.Milliseconds()), slog.Uint64("routing", w.version),
	}
	if w.route != nil {
		attributes = append(attributes, slog.String("route", w.route.Name))
	}
	if w.ask.Prompt > 0 {
		attributes = append(attributes,
			slog.Int("promptTokens", w.ask.Prompt), slog.Int("outputTokens", w.ask.Output),
			slog.Int64("placedMs", w.placed.Milliseconds()), slog.Int64("readMs", w.read.Milliseconds()),
			slog.Int64("firstMs", w.first.Milliseconds()), slog.Int64("pauseMs", w.pause.Milliseconds()))
	}
	if w.identified {
		attributes = append(attributes, slog.String("organisation", w.organisationName()))
	}
	if reason == oriolebend.ReasonQuota || reason == oriolebend.ReasonControlAway {
		attributes = append(attributes, w.quota.attributes(w.organisation)...)
	}
	if len(w.tried) > 0 {
		attributes = append(attributes, slog.String("server", w.tried[len(w.tried)-1]))
	}
	if reason != "" {
		attributes = append(attributes, slog.String("reason", string(reason)))
	}
	w.f.config.Logger.LogAttrs(context.Background(), slog.LevelInfo, "request answered", attributes...)
}

// logSending writes a line for a sending that did not bring the answer.
func (w *work) logSending(g dispatch.Grant, what string, status int, reason oriolebend.Reason, err error) {
	attributes := []slog.Attr{
		slog.String("request", w.ask.ID), slog.String("fingerprint", w.fingerprint.String()),
		slog.String("server", g.Server.Instance),
		slog.String("address", g.Server.Address), slog.String("reason", string(reason)),
	}
	if g.Prefill != nil {
		attributes = append(attributes, slog.String("prefill", g.Prefill.Instance))
	}
	if status != 0 {
		attributes = append(attributes, slog.Int("status", status))
	}
	if err != nil {
		attributes = append(attributes, slog.String("error", err.Error()))
	}
	w.f.config.Logger.LogAttrs(context.Background(), slog.LevelInfo, what, attributes...)
}
