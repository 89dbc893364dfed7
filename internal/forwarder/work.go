package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// work is the state of one request while it is forwarded.
type work struct {
	f       *Forwarder
	request *http1.Request
	answer  *http1.Answer
	info    RequestInfo
	route   *oriolebend.Route
	service *oriolebend.RouteService
	// organisation is the organisation that holds the caller's key; nil if the caller needs no key
	// and shows none.
	organisation *oriolebend.Organisation
	// identified is set if the routing in force requires keys from callers.
	identified bool
	// charged is the part of its organisation's quota that the request has used, quota the state of
	// the quota when it was charged.
	charged  Charge
	quota    QuotaState
	version  uint64
	deadline time.Time
	// fingerprint identifies the content of the request over all tries of its caller.
	fingerprint quarantine.Fingerprint
	// parts identify the parts of the prompt that other requests to the service may share.
	parts []quarantine.Fingerprint
	// retried is set if the caller seems to have been refused before.
	retried bool

	// answers holds the memory of the answers to the sends of this request.
	answers []*memorybudget.Holding

	// origin is the origin of the stream that the request resumes, or of the stream that it has
	// begun; nil until one of them is known. originRecorded is set once an event of the stream is
	// about to be sent to the caller.
	origin         *message.StreamOrigin
	originRecorded bool

	// sent counts the servers that the request was sent to, tried names them.
	sent  int
	tried []string
	// addresses are the addresses that the request or its prompt was sent to.
	addresses []string
	// ownID is the ID under which a request without an ID of its caller is sent.
	ownID string
	// softwareVersion is the software version of the server that the request was sent to last,
	// as far as this forwarder knew it then.
	softwareVersion string
	// declined is the reason of the last server that did not run the request because of a limit, a
	// backoff period or its leaving that it had reported before; empty if the last refusal was for
	// another reason.
	declined oriolebend.Reason
	// skipped counts the servers that the request could not be sent to because they read too
	// slowly.
	skipped int
	// prefills counts the prefills whose result was not used, because the send after them was not
	// made. After the first of them, Need.Retry is set.
	prefills int
	// prompted is set once a prefill engine was asked to read the prompt, promptAccepted once one has
	// accepted it.
	prompted, promptAccepted bool
	// arrivals counts the sends that have reached a server, or may have, without prompts that are
	// prefilled separately.
	arrivals int
	// repeats are the times at which further arrivals were counted against the retry budget.
	repeats []time.Time
	// ran is the combined result of all sends: "yes" or "unknown" once one of them may have run.
	ran oriolebend.Ran
	// interrupted is when the stream last broke off after an event, zero if it did not.
	interrupted time.Time
	// placed, prefilled and first are the times from the arrival of a stream's request to its
	// placement, the end of its prefill and its first event; zero if that did not happen.
	placed, prefilled, first time.Duration
	// pause is the longest time between two events of a stream.
	pause time.Duration
}

// refusal is the reason why a request is not sent, or not sent again.
type refusal struct {
	reason oriolebend.Reason
	after  time.Duration
}

// need returns the requirements of the next send.
func (w *work) need() dispatch.Need {
	return dispatch.Need{
		Service: w.service.Name, Prompt: w.info.Prompt, Output: w.info.output(),
		FirstWithin: time.Duration(w.route.AnswerWithin), Arrived: w.request.Received, Deadline: w.deadline,
		PauseWithin: time.Duration(w.route.PauseWithin), Returned: w.retried,
		FailureDomain: w.f.config.Dispatch.FailureDomain,
		Tried:         w.tried, Origin: w.origin, Retry: w.sent+w.prefills > 0,
	}
}

// recordSend records that the request is about to be sent to a server.
func (w *work) recordSend(server message.BackendServer) {
	w.sent++
	w.tried = append(w.tried, server.Instance)
	w.softwareVersion = server.SoftwareVersion
}

// recordRan records that a send may have run the request.
func (w *work) recordRan(ran oriolebend.Ran) {
	if ran != oriolebend.RanNo && w.ran != oriolebend.RanYes {
		w.ran = ran
	}
}

// notRun reports whether no send can have run the request.
func (w *work) notRun() bool { return w.ran == "" || w.ran == oriolebend.RanNo }

// waited returns how long the caller has waited for an event: since the arrival of its request, or
// since its stream broke off.
func (w *work) waited() time.Duration {
	if !w.interrupted.IsZero() {
		return time.Since(w.interrupted)
	}
	return time.Since(w.request.Received)
}

// remaining returns what remains of the caller's time.
func (w *work) remaining() time.Duration { return time.Until(w.deadline) }

// maySendAgain reports whether another send is allowed by the operator's limit, the caller's time,
// the repeat rule of the route and the quarantine.
func (w *work) maySendAgain(ctx context.Context) bool {
	const worthwhile = 5 * time.Millisecond
	if ctx.Err() != nil || w.sent >= max(1, w.route.Attempts) || w.remaining() < worthwhile {
		return false
	}
	if _, held := w.quarantined(); held {
		return false
	}
	return w.notRun() || w.route.Repeat.Repeatable()
}

// outgoing returns the request as it is sent to a server, and records the send.
func (w *work) outgoing(server message.BackendServer, s SendOptions) backend.Request {
	s.Instance, s.ID = server.Instance, w.sendID()
	s.Within = w.remaining()
	s.Identified, s.Organisation = w.identified, w.organisationName()
	return backend.Request{
		Method: w.request.Method, Target: w.request.Target, Host: w.request.Host, Body: w.request.Body,
		Header: w.f.config.Dialect.Outgoing(http1.EndToEnd(w.request.Header), s),
		Owner:  func(h http.Header) backend.Owner { return w.f.config.Dialect.Owner(h, s.ID) }, Named: true,
		Freshness: w.freshness(server.Address),
	}
}

// sendID returns the ID under which the request is sent. A request without an ID gets one, since a
// refusal that names no request is not believed.
func (w *work) sendID() string {
	if w.info.ID != "" {
		return w.info.ID
	}
	if w.ownID == "" {
		w.ownID = strconv.FormatUint(rand.Uint64(), 16)
	}
	return w.ownID
}

// Connections that were idle for longer are not used again. A server may drop an idle connection
// without notice, and the next request on it is reset. A request that may run only once is then
// lost, since it is unknown whether it ran.
const (
	maxIdleOnce       = 2 * time.Second
	maxIdleRepeatable = 8 * time.Second
)

// freshness returns how long a connection to the address may have been idle. Zero, for a new one, if
// the request was sent to the address before: a late answer to that send names the request as well.
func (w *work) freshness(address string) time.Duration {
	if slices.Contains(w.addresses, address) {
		return 0
	}
	w.addresses = append(w.addresses, address)
	if w.route.Repeat.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleOnce
}

// reportEnded reports the end of a send to the reducer.
func (w *work) reportEnded(g dispatch.Grant, outcome dispatch.Outcome, took time.Duration) {
	w.f.reportEnded(dispatch.Ended{At: w.f.now(), Grant: g, Outcome: outcome, Took: took})
}

// reasonOf returns the reason of a failed exchange.
func reasonOf(err error) oriolebend.Reason {
	var e *backend.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return oriolebend.ReasonOutcomeLost
}

// ranOf returns whether the request of a failed exchange may have run.
func ranOf(err error) oriolebend.Ran {
	var e *backend.Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return oriolebend.RanUnknown
}

// outcomeOf classifies a failed exchange for the reducer.
func outcomeOf(err error) dispatch.Outcome {
	switch reasonOf(err) {
	case oriolebend.ReasonCallerCancelled, oriolebend.ReasonCrashesServers:
		return dispatch.OutcomeCancelled
	case oriolebend.ReasonMemoryShort:
		return dispatch.OutcomeWithheld // nothing was sent
	}
	return dispatch.OutcomeBroken
}

// refuse answers a request that has not run and will not, with a retry delay.
func (w *work) refuse(r refusal) {
	w.f.config.Observer.Count("refusal", r.reason, w.organisationName())
	if w.f.config.RefusedRank != nil && w.route != nil {
		w.f.config.RefusedRank(w.route.Rank, r.reason)
	}
	w.refund()
	header := http.Header{}
	if r.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	status := http.StatusServiceUnavailable
	if r.reason == oriolebend.ReasonQuota {
		status = http.StatusTooManyRequests
	}
	w.respond(status, header, r.reason, oriolebend.RanNo)
}

// reject answers a request that is invalid in itself.
func (w *work) reject(status int, reason oriolebend.Reason, cause error) {
	w.f.config.Observer.Count("refusal", reason, "")
	if cause != nil {
		w.f.config.Logger.Info("request malformed", "request", w.info.ID, "error", cause)
	}
	w.respond(status, http.Header{}, reason, oriolebend.RanNo)
}

// giveUp answers a request that got no answer from a server: as not run if that is certain, otherwise
// as failed, which leaves open whether it ran.
func (w *work) giveUp(ctx context.Context, reason oriolebend.Reason, after time.Duration) {
	if w.answer.Begun() {
		w.log(0, reason, w.ran) // the connection is closed, so that the answer can't look complete
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
	w.respond(status, http.Header{}, reason, w.ran)
}

// problem is the body of an answer of the router itself.
type problem struct {
	Reason oriolebend.Reason `json:"reason"`
	Ran    oriolebend.Ran    `json:"ran"`
}

// respond sends an answer of the router itself.
func (w *work) respond(status int, header http.Header, reason oriolebend.Reason, ran oriolebend.Ran) {
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(problem{Reason: reason, Ran: ran})
	if err != nil {
		body = nil // a struct of two strings always encodes
	}
	w.answer.SendBytes(status, header, body)
	w.log(status, reason, ran)
}

// log writes the one log line that states the result of a request and its reason.
func (w *work) log(status int, reason oriolebend.Reason, ran oriolebend.Ran) {
	attributes := []slog.Attr{
		slog.String("request", w.info.ID), slog.String("fingerprint", w.fingerprint.String()), slog.Int("status", status),
		slog.String("ran", string(ran)), slog.Int("sent", w.sent), slog.Int("arrivals", w.arrivals),
		slog.Int64("tookMs", time.Since(w.request.Received).Milliseconds()),
		slog.Int64("withinMs", w.info.Within.Milliseconds()), slog.Uint64("routing", w.version),
	}
	if w.route != nil {
		attributes = append(attributes, slog.String("route", w.route.Name))
	}
	if w.info.Prompt > 0 {
		attributes = append(attributes,
			slog.Int("promptTokens", w.info.Prompt), slog.Int("outputTokens", w.info.Output),
			slog.Int64("placedMs", w.placed.Milliseconds()), slog.Int64("readMs", w.prefilled.Milliseconds()),
			slog.Int64("firstMs", w.first.Milliseconds()), slog.Int64("pauseMs", w.pause.Milliseconds()))
	}
	if len(w.parts) > 0 {
		attributes = append(attributes, slog.String("parts", partsText(w.parts)))
	}
	if w.identified {
		attributes = append(attributes, slog.String("organisation", w.organisationName()))
	}
	if reason == oriolebend.ReasonQuota || reason == oriolebend.ReasonControlAway {
		attributes = append(attributes, w.quota.attributes(w.organisation)...)
	}
	if len(w.tried) > 0 {
		attributes = append(attributes, slog.String("server", w.tried[len(w.tried)-1]), slog.String("softwareVersion", w.softwareVersion))
	}
	if w.info.resumesStream() {
		attributes = append(attributes, slog.String("resumes", w.info.FirstTry))
	}
	if reason != "" {
		attributes = append(attributes, slog.String("reason", string(reason)))
	}
	if reason == oriolebend.ReasonRetryBudget {
		attributes = append(attributes, slog.Group("retryBudget", budgetAttributes(w.f.retryBudget(w.service.Name))...))
	}
	if reason != "" && w.route != nil {
		attributes = append(attributes, slog.Int("rank", w.route.Rank))
	}
	w.f.config.Logger.LogAttrs(context.Background(), slog.LevelInfo, "request answered", attributes...)
}

// logSend logs a send that did not bring the answer. The details are added to the line.
func (w *work) logSend(g dispatch.Grant, text string, status int, reason oriolebend.Reason, err error, details ...slog.Attr) {
	attributes := []slog.Attr{
		slog.String("request", w.info.ID), slog.String("fingerprint", w.fingerprint.String()),
		slog.String("server", g.Server.Instance),
		slog.String("address", g.Server.Address), slog.String("reason", string(reason)),
		slog.String("softwareVersion", g.Server.SoftwareVersion),
	}
	if g.Prefill != nil {
		attributes = append(attributes, slog.String("prefill", g.Prefill.Instance))
	}
	if len(w.parts) > 0 {
		attributes = append(attributes, slog.String("parts", partsText(w.parts)))
	}
	if status != 0 {
		attributes = append(attributes, slog.Int("status", status))
	}
	if err != nil {
		attributes = append(attributes, slog.String("error", err.Error()))
	}
	w.f.config.Logger.LogAttrs(context.Background(), slog.LevelInfo, text, append(attributes, details...)...)
}
