package service

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Bounds that stand in for zero values of Config.
const (
	defaultCallWithin   = 30 * time.Second
	defaultStatusWithin = 5 * time.Second
	defaultMaxBodyBytes = 8 << 20
	defaultConnections  = 128
)

// identityHeader carries the stable identity of an operation to the service.
const identityHeader = "Idempotency-Key"

// identityField is replaced by the identity in the path of a status call.
const identityField = "{identity}"

// Config sets how a Client reaches its service.
type Config struct {
	// BaseURL is the service's address, such as "http://127.0.0.1:9100".
	BaseURL string
	// CallWithin bounds a call; zero means 30s.
	CallWithin time.Duration
	// StatusWithin bounds a status call; zero means 5s.
	StatusWithin time.Duration
	// MaxBodyBytes bounds an answer's body; zero means 8 MiB.
	MaxBodyBytes int64
	// Transport carries the requests; nil means one of the client's own.
	Transport http.RoundTripper
}

// Client speaks to one plain service over HTTP. Its methods may be called
// from several goroutines.
type Client struct {
	config Config
	http   *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client; it opens no connection yet.
func NewClient(c Config) *Client {
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	c.CallWithin = cmp.Or(c.CallWithin, defaultCallWithin)
	c.StatusWithin = cmp.Or(c.StatusWithin, defaultStatusWithin)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes)
	if c.Transport == nil {
		c.Transport = newTransport()
	}
	// A redirect would run the call a second time at another place.
	client := &http.Client{Transport: c.Transport, CheckRedirect: noRedirect}
	return &Client{config: c, http: client}
}

// newTransport returns a transport that never sends a request twice.
//
// The standard transport sends a request that carries an Idempotency-Key again
// by itself when a kept connection ends before the answer began. A call that
// may run at most once could then run twice, with no sign but the service's
// own count. Connections are therefore used for one request each.
func newTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxConnsPerHost: defaultConnections}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, m message.Call) (message.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallWithin)
	defer cancel()
	request, err := c.request(ctx, m.Method, m.Path, m.Body)
	if err != nil {
		return message.CallAnswer{}, err
	}
	for name, value := range m.Header {
		if passes(name) {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(identityHeader, m.Identity)
	return c.run(request, m.Attempt)
}

// Status implements Service.
func (c *Client) Status(ctx context.Context, q message.StatusQuery) (message.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.StatusWithin)
	defer cancel()
	path := strings.ReplaceAll(q.Path, identityField, url.PathEscape(q.Identity))
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return message.CallAnswer{}, err
	}
	return c.run(request, q.Attempt)
}

// request builds one HTTP request; an error means that nothing was sent.
func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, &Error{Reason: oriolebend.ReasonMalformed, Ran: oriolebend.RanNo, Detail: "path must begin with /"}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Reason: oriolebend.ReasonMalformed, Ran: oriolebend.RanNo, Cause: err}
	}
	return request, nil
}

// run sends a request once and reads its whole answer.
func (c *Client) run(request *http.Request, a message.Attempt) (message.CallAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.http.Do(request)
	if err != nil {
		return message.CallAnswer{}, typed(request.Context(), err, connected.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBodyBytes+1))
	if err != nil {
		return message.CallAnswer{}, typed(request.Context(), err, true)
	}
	if int64(len(body)) > c.config.MaxBodyBytes {
		detail := fmt.Sprintf("answer over %d bytes", c.config.MaxBodyBytes)
		return message.CallAnswer{}, &Error{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, Detail: detail}
	}
	return message.CallAnswer{Attempt: a, Status: response.StatusCode, Header: passing(response.Header), Body: body}, nil
}

// typed types an error of the connection. Only a call that never got a
// connection certainly did not run: anything written may have been read and
// acted on, also if the write itself reported an error.
func typed(ctx context.Context, err error, connected bool) *Error {
	e := &Error{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, Cause: err}
	if !connected {
		e.Reason = oriolebend.ReasonServerLost
		e.Ran = oriolebend.RanNo
	}
	switch cause := context.Cause(ctx); {
	case cause == nil:
	case errors.Is(cause, context.DeadlineExceeded):
		e.Reason = oriolebend.ReasonDeadline
	default:
		e.Reason = oriolebend.ReasonCallerCancelled
	}
	return e
}
