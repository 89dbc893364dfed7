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

	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Defaults of Config, and the limit of connections to a service.
const (
	defaultCallWithin   = 30 * time.Second
	defaultStatusWithin = 5 * time.Second
	defaultMaxBodyBytes = 8 << 20
	defaultConnections  = 128
)

// identityHeader carries the stable identity of an operation to the service.
const identityHeader = "Idempotency-Key"

// identityPlaceholder is replaced by the identity in the path of a status call.
const identityPlaceholder = "{identity}"

// Config configures a Client.
type Config struct {
	// BaseURL is the service's address, such as "http://127.0.0.1:9100".
	BaseURL string
	// CallWithin bounds the time of a call; zero means 30s.
	CallWithin time.Duration
	// StatusWithin bounds the time of a status call; zero means 5s.
	StatusWithin time.Duration
	// MaxBodyBytes bounds the body of an answer; zero means 8 MiB.
	MaxBodyBytes int64
	// Transport sends the requests; nil means a transport of the client's own.
	Transport http.RoundTripper
}

// Client calls one plain service over HTTP. Its methods may be called from several
// goroutines.
type Client struct {
	config Config
	http   *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client. It opens no connection.
func NewClient(c Config) *Client {
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	c.CallWithin = cmp.Or(c.CallWithin, defaultCallWithin)
	c.StatusWithin = cmp.Or(c.StatusWithin, defaultStatusWithin)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes)
	if c.Transport == nil {
		c.Transport = newTransport()
	}
	// Following a redirect would run the call a second time at another address.
	client := &http.Client{Transport: &httpclient.Transport{Base: c.Transport}, CheckRedirect: noRedirect}
	return &Client{config: c, http: client}
}

// newTransport returns a transport that never sends a request twice.
//
// The default transport resends a request with an Idempotency-Key if a reused
// connection ends before the answer begins. A call that may run at most once could
// then run twice, and only the service itself could detect it. Each connection is
// therefore used for one request only.
func newTransport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxConnsPerHost: defaultConnections, DialContext: httpclient.Dial,
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, m message.Call) (message.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallWithin)
	defer cancel()
	request, err := c.newRequest(ctx, m.Method, m.Path, m.Body)
	if err != nil {
		return message.CallAnswer{}, err
	}
	for name, value := range m.Header {
		if forwards(name) {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(identityHeader, m.Identity)
	return c.send(request, m.Attempt)
}

// Status implements Service.
func (c *Client) Status(ctx context.Context, q message.StatusQuery) (message.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.StatusWithin)
	defer cancel()
	path := strings.ReplaceAll(q.Path, identityPlaceholder, url.PathEscape(q.Identity))
	request, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return message.CallAnswer{}, err
	}
	return c.send(request, q.Attempt)
}

// newRequest returns an HTTP request; an error means that nothing was sent.
func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, &Error{Reason: oriolebend.ReasonMalformed, Ran: oriolebend.RanNo, Detail: "path must begin with /"}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Reason: oriolebend.ReasonMalformed, Ran: oriolebend.RanNo, Cause: err}
	}
	return request, nil
}

// send sends a request once and reads its complete answer.
func (c *Client) send(request *http.Request, a message.Attempt) (message.CallAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.http.Do(request)
	if err != nil {
		return message.CallAnswer{}, newError(request.Context(), err, connected.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBodyBytes+1))
	if err != nil {
		return message.CallAnswer{}, newError(request.Context(), err, true)
	}
	if int64(len(body)) > c.config.MaxBodyBytes {
		detail := fmt.Sprintf("answer over %d bytes", c.config.MaxBodyBytes)
		return message.CallAnswer{}, &Error{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, Detail: detail}
	}
	return message.CallAnswer{Attempt: a, Status: response.StatusCode, Header: forwardedHeaders(response.Header), Body: body}, nil
}

// newError returns the error of a failed exchange. Only a call that never had a
// connection certainly did not run: the service may have read and run anything that
// was written, even if the write returned an error.
func newError(ctx context.Context, err error, connected bool) *Error {
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
