package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// NoticeHeaders names the headers, besides Retry-After, in which servers report their state.
type NoticeHeaders struct{ Leaving, Limit string }

// NoticeError is the error of a header in a server's answer that can't be parsed. Such a header is
// ignored.
type NoticeError struct{ Name, Value string }

// Error implements error.
func (e *NoticeError) Error() string {
	return fmt.Sprintf("forwarder: invalid header %s in a server's answer: %q", e.Name, e.Value)
}

const (
	retryAfter = "Retry-After"
	// maxBackoff bounds the backoff period that a server can request.
	maxBackoff = 24 * time.Hour
)

// Read parses the notice of an answer. If a header occurs several times, the strictest value
// counts; if one value can't be parsed, none counts. The error joins a *NoticeError for each header
// that can't be parsed.
func (n NoticeHeaders) Read(status int, h http.Header) (dispatch.Notice, error) {
	var notice dispatch.Notice
	leaving, _, errLeaving := decimals(h, n.Leaving)
	switch leaving {
	case 0:
	case 1:
		notice.Leaving = true
	default:
		errLeaving = invalidHeader(h, n.Leaving)
	}
	_, limit, errLimit := decimals(h, n.Limit)
	if len(h[n.Limit]) > 0 && errLimit == nil {
		notice.Limited, notice.PerSecond = true, limit
	}
	if status != http.StatusServiceUnavailable {
		return notice, errors.Join(errLeaving, errLimit)
	}
	backoff, _, errBackoff := decimals(h, retryAfter)
	notice.Backoff = time.Duration(min(backoff, maxBackoff.Seconds()) * float64(time.Second))
	return notice, errors.Join(errLeaving, errLimit, errBackoff)
}

// decimals parses the values of a header that holds a non-negative decimal number, and returns the
// highest and the lowest. Both are zero if the header is missing or a value can't be parsed.
func decimals(h http.Header, name string) (highest, lowest float64, err error) {
	lowest = math.Inf(1)
	for _, text := range h[name] {
		value, valid := decimal(strings.TrimSpace(text))
		if !valid {
			return 0, 0, invalidHeader(h, name)
		}
		highest, lowest = max(highest, value), min(lowest, value)
	}
	if len(h[name]) == 0 {
		lowest = 0
	}
	return highest, lowest, nil
}

func invalidHeader(h http.Header, name string) error {
	return &NoticeError{Name: name, Value: strings.Join(h[name], ", ")}
}

// decimal parses digits with at most one decimal point. Signs, exponents and words are no limit or
// time that a server could mean.
func decimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// send sends a caller's request to a server, and applies the state that the server reports with its
// answer.
func (f *Forwarder) send(ctx context.Context, server message.BackendServer, r backend.Request) (*backend.Response, error) {
	bytes := longBytes(r.Body)
	if !f.inflight.add(server.Address, bytes) {
		return nil, backlogError()
	}
	defer f.inflight.remove(server.Address, bytes)
	began := f.now()
	response, err := f.pool.Do(ctx, server.Address, r)
	if err != nil {
		return nil, err
	}
	f.applyNotice(began, server, response, response.Status < http.StatusMultipleChoices)
	return response, nil
}

// callEngine calls an engine's own interface and reads the complete answer, which is short. State
// that the engine reports there is applied. A missing header has no meaning there, since an engine
// may report its state only in answers to callers.
func (f *Forwarder) callEngine(ctx context.Context, server message.BackendServer, r backend.Request) (int, []byte, error) {
	// Engine calls have no ID, and share connections with requests: an answer that names a request is not theirs.
	r.Owner = func(h http.Header) backend.Owner { return f.config.Dialect.Owner(h, "") }
	began := f.now()
	response, err := f.pool.Do(ctx, server.Address, r)
	if err != nil {
		return 0, nil, err
	}
	f.applyNotice(began, server, response, false)
	body, err := response.ReadBody(maxSmallBytes)
	return response.Status, body, err
}

// applyNotice applies the state that a server reports in the headers of an answer.
func (f *Forwarder) applyNotice(sent time.Time, server message.BackendServer, r *backend.Response, served bool) {
	if r.Status == http.StatusMisdirectedRequest {
		return // the answer comes from another server, or from a server with another role
	}
	notice, err := f.config.Dialect.Notice(r.Status, r.Header)
	if err != nil {
		f.config.Observer.Count("noticeUnreadable", "", "")
		f.config.Logger.Info("what a server says of itself can't be read", "server", server.Instance, "address", server.Address, "error", err)
	}
	for _, effect := range f.reduce(dispatch.NoticeReceived{At: f.now(), Sent: sent, Server: server, Notice: notice, Served: served && err == nil}) {
		changes, _ := effect.(dispatch.NoticeChanges)
		f.logChanges(server, changes)
		if changes.Ended {
			f.config.Limits.Ended(server, f.now().Sub(sent))
		}
	}
}

// logChanges logs each change of the state that a server reports.
func (f *Forwarder) logChanges(server message.BackendServer, c dispatch.NoticeChanges) {
	line := func(event, text string, more ...any) {
		f.config.Observer.Count(event, "", "")
		f.config.Logger.Info(text, append([]any{"server", server.Instance, "address", server.Address, "service", server.Service}, more...)...)
	}
	if c.Leaving {
		line("serverLeaves", "server says that it leaves")
	}
	if c.Backoff > 0 {
		line("serverRests", "server asks for rest", "restMs", c.Backoff.Milliseconds())
	}
	if c.Limited {
		line("serverLimited", "server names its limit", "perSecond", c.PerSecond)
	}
	if c.Ended {
		line("serverUnlimited", "server names no limit any more")
	}
}
