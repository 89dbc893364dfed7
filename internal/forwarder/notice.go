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

// NoticeHeaders names the headers in which servers say something of themselves, beside
// Retry-After.
type NoticeHeaders struct{ Leaving, Limit string }

// NoticeError is a header of a server's answer that can't be read. It counts as not there.
type NoticeError struct{ Name, Value string }

// Error implements error.
func (e *NoticeError) Error() string {
	return fmt.Sprintf("forwarder: a server's %s can't be read: %q", e.Name, e.Value)
}

const (
	retryAfter = "Retry-After"
	// restMost is the longest rest that a server is granted.
	restMost = 24 * time.Hour
)

// Read reads the notice of an answer. Of a header that comes several times the strictest
// value counts, and none of them if one can't be read. The error joins a *NoticeError for each
// header that can't be read.
func (n NoticeHeaders) Read(status int, h http.Header) (dispatch.Notice, error) {
	var notice dispatch.Notice
	leaving, _, errLeaving := decimals(h, n.Leaving)
	switch leaving {
	case 0:
	case 1:
		notice.Leaving = true
	default:
		errLeaving = unreadable(h, n.Leaving)
	}
	_, limit, errLimit := decimals(h, n.Limit)
	if len(h[n.Limit]) > 0 && errLimit == nil {
		notice.Limited, notice.PerSecond = true, limit
	}
	if status != http.StatusServiceUnavailable {
		return notice, errors.Join(errLeaving, errLimit)
	}
	rest, _, errRest := decimals(h, retryAfter)
	notice.Backoff = time.Duration(min(rest, restMost.Seconds()) * float64(time.Second))
	return notice, errors.Join(errLeaving, errLimit, errRest)
}

// decimals reads the values of a header that holds a decimal number from 0, and returns the
// highest and the lowest; zero if there is none, or one can't be read.
func decimals(h http.Header, name string) (highest, lowest float64, err error) {
	lowest = math.Inf(1)
	for _, text := range h[name] {
		value, readable := decimal(strings.TrimSpace(text))
		if !readable {
			return 0, 0, unreadable(h, name)
		}
		highest, lowest = max(highest, value), min(lowest, value)
	}
	if len(h[name]) == 0 {
		lowest = 0
	}
	return highest, lowest, nil
}

func unreadable(h http.Header, name string) error {
	return &NoticeError{Name: name, Value: strings.Join(h[name], ", ")}
}

// decimal reads digits with at most one point. Signs, exponents and words are no limit or
// time that a server could mean.
func decimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// send sends a request of a caller to a server, and takes in what the server says of itself
// with its answer.
func (f *Forwarder) send(ctx context.Context, server message.BackendServer, r backend.Request) (*backend.Response, error) {
	bytes := longBytes(r.Body)
	if !f.crowds.enter(server.Address, bytes) {
		return nil, crowdedError()
	}
	defer f.crowds.leave(server.Address, bytes)
	began := f.now()
	response, err := f.pool.Do(ctx, server.Address, r)
	if err != nil {
		return nil, err
	}
	f.notice(began, server, response, response.Status < http.StatusMultipleChoices)
	return response, nil
}

// callEngine calls an engine's own interface and reads the whole answer, which is short. What the
// engine says of itself there counts, but it may leave out there what it says to callers.
func (f *Forwarder) callEngine(ctx context.Context, server message.BackendServer, r backend.Request) (int, []byte, error) {
	began := f.now()
	response, err := f.pool.Do(ctx, server.Address, r)
	if err != nil {
		return 0, nil, err
	}
	f.notice(began, server, response, false)
	body, err := response.Whole(maxSmallBytes)
	return response.Status, body, err
}

// notice takes in what a server says of itself.
func (f *Forwarder) notice(sent time.Time, server message.BackendServer, r *backend.Response, served bool) {
	if r.Status == http.StatusMisdirectedRequest {
		return // it is another server's word, or of another role
	}
	said, err := f.config.Dialect.Notice(r.Status, r.Header)
	if err != nil {
		f.config.Observer.Count("noticeUnreadable", "", "")
		f.config.Logger.Info("what a server says of itself can't be read", "server", server.Instance, "address", server.Address, "error", err)
	}
	for _, effect := range f.reduce(dispatch.NoticeReceived{At: f.now(), Sent: sent, Server: server, Notice: said, Served: served && err == nil}) {
		learnt, _ := effect.(dispatch.NoticeChanges)
		f.logLearnt(server, learnt)
		if learnt.Ended {
			f.config.Limits.Ended(server, f.now().Sub(sent))
		}
	}
}

// logLearnt writes a line for each thing that a server has newly said of itself.
func (f *Forwarder) logLearnt(server message.BackendServer, l dispatch.NoticeChanges) {
	line := func(event, text string, more ...any) {
		f.config.Observer.Count(event, "", "")
		f.config.Logger.Info(text, append([]any{"server", server.Instance, "address", server.Address, "service", server.Service}, more...)...)
	}
	if l.Leaving {
		line("serverLeaves", "server says that it leaves")
	}
	if l.Backoff > 0 {
		line("serverRests", "server asks for rest", "restMs", l.Backoff.Milliseconds())
	}
	if l.Limited {
		line("serverLimited", "server names its limit", "perSecond", l.PerSecond)
	}
	if l.Ended {
		line("serverUnlimited", "server names no limit any more")
	}
}
