// Package client is a client of the operator API of the control VMs, for programs of
// operators and for the operators' subcommands. It retries requests where a retry is
// safe. Retries of an order carry the same order id, so that an order whose answer was
// lost is executed only once.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config configures a Client.
type Config struct {
	// Addresses are the base URLs of the control VMs' operator API, such as
	// "http://10.0.0.2:7470"; they are tried in turn.
	Addresses []string
	// Token authenticates the operator.
	Token string
	// Who is the name of the operator where no token is required.
	Who string
	// HTTP is the HTTP client to use; nil means a new one.
	HTTP *http.Client
	// Tries bounds how often a request is tried; zero means 8.
	Tries int
	// WaitFirst bounds the random delay before the first retry. The bound doubles with
	// each retry up to WaitMost. Zero means 200ms and 3s.
	WaitFirst time.Duration
	WaitMost  time.Duration
}

// Client is a client of the operator API. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// maxRedirects bounds how often a request follows a redirect to the leader, because the
// leader may change in the meantime.
const maxRedirects = 4

// New returns a client with the given configuration.
func New(config Config) *Client {
	if config.Tries == 0 {
		config.Tries = 8
	}
	if config.WaitFirst == 0 {
		config.WaitFirst = 200 * time.Millisecond
	}
	if config.WaitMost == 0 {
		config.WaitMost = 3 * time.Second
	}
	httpClient := http.Client{}
	if config.HTTP != nil {
		httpClient = *config.HTTP
	}
	if httpClient.Transport == nil {
		httpClient.Transport = http.DefaultTransport
	}
	httpClient.Transport = &httpclient.Transport{Base: httpClient.Transport}
	// net/http would follow a redirect to another VM without the token.
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{config: config, http: &httpClient}
}

// Options are the options of an order.
type Options struct {
	// Expect is the revision that the resource must be at; zero means that the
	// resource must not exist yet, nil that any revision will do.
	Expect *uint64
	// OrderID is the id of the order; empty means a new id. The id of an earlier call
	// returns the answer to that call.
	OrderID string
	// DryRun returns the result that the order would have, without a change.
	DryRun bool
	// Force drains a server even if its pool then falls below its minimum.
	Force bool
	// Stop makes the sidecar of a drained server stop.
	Stop bool
	// Undo makes a drained server accept work again.
	Undo bool
}

func (o Options) query() url.Values {
	query := url.Values{}
	if o.Expect != nil {
		query.Set("expect", strconv.FormatUint(*o.Expect, 10))
	}
	for name, set := range map[string]bool{"dryRun": o.DryRun, "force": o.Force, "stop": o.Stop, "undo": o.Undo} {
		if set {
			query.Set(name, "true")
		}
	}
	return query
}

// request is one call of the API.
type request struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	orderID string
}

// maxDecodeTries bounds how often a request is sent if the body of its answer is
// incomplete.
const maxDecodeTries = 3

// call sends a request and decodes the answer. If the answer is incomplete, it sends the
// request again; an order keeps its order id.
func (c *Client) call(ctx context.Context, r request, into any) error {
	if r.orderID == "" && r.method != http.MethodGet {
		r.orderID = uuid.NewString()
	}
	var decodeErr error
	for range maxDecodeTries {
		response, err := c.send(ctx, r)
		if err != nil {
			return err
		}
		decodeErr = json.NewDecoder(response.Body).Decode(into)
		drainBody(response)
		if decodeErr == nil {
			return nil
		}
	}
	return &Error{Problem: answerLostProblem(r, decodeErr), cause: decodeErr}
}

// send sends a request to one control VM after another until one answers with success
// or with a refusal that a retry would not change.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	if len(c.config.Addresses) == 0 {
		return nil, &Error{Problem: oriolebend.OperatorProblem{
			Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: "no address of a control VM is given",
		}}
	}
	var failure *Error
	for try := range c.config.Tries {
		base := c.config.Addresses[try%len(c.config.Addresses)]
		response, err := c.sendToLeader(ctx, base, r)
		if err == nil {
			return response, nil
		}
		failure = err
		if !failure.retryable || ctx.Err() != nil || try == c.config.Tries-1 {
			break
		}
		if !pause.For(ctx, max(c.retryDelay(try), failure.retryAfter)) {
			break
		}
	}
	return nil, failure
}

// retryDelay returns a random delay whose upper bound doubles with each try.
func (c *Client) retryDelay(try int) time.Duration {
	bound := min(c.config.WaitFirst<<min(try, 16), c.config.WaitMost)
	return time.Duration(rand.Int64N(int64(bound) + 1))
}

// sendToLeader sends a request to a control VM and follows its redirects to the leader.
func (c *Client) sendToLeader(ctx context.Context, base string, r request) (*http.Response, *Error) {
	target := strings.TrimSuffix(base, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	for range maxRedirects {
		response, err := c.sendOnce(ctx, target, r)
		if err != nil {
			return nil, &Error{Problem: answerLostProblem(r, err), retryable: true, cause: err}
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return checkStatus(response, r)
		}
		target = response.Header.Get("Location")
		drainBody(response)
	}
	return nil, &Error{retryable: true, Problem: oriolebend.OperatorProblem{
		Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo, OrderID: r.orderID,
		Detail: "the control VMs do not agree on who leads",
	}}
}

func (c *Client) sendOnce(ctx context.Context, target string, r request) (*http.Response, error) {
	sent, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	if c.config.Token != "" {
		sent.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if c.config.Who != "" {
		sent.Header.Set(oriolebend.HeaderWho, c.config.Who)
	}
	if r.orderID != "" {
		sent.Header.Set(oriolebend.HeaderOrderID, r.orderID)
	}
	if len(r.body) > 0 {
		sent.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(sent)
}

// checkStatus returns the response if its status is 200, and otherwise an error with the
// problem in its body, or with ReasonInternal if the body holds no problem.
func checkStatus(response *http.Response, r request) (*http.Response, *Error) {
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer drainBody(response)
	failure := &Error{}
	if err := json.NewDecoder(response.Body).Decode(&failure.Problem); err != nil || failure.Problem.Reason == "" {
		failure.Problem = oriolebend.OperatorProblem{
			Title: response.Status, Status: response.StatusCode,
			Reason: oriolebend.ReasonInternal, Ran: oriolebend.RanUnknown, OrderID: r.orderID,
		}
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.retryAfter = time.Duration(seconds) * time.Second
	}
	// A 502 from a gateway says no more about the outcome than a broken connection.
	switch response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		failure.retryable = true
	}
	return nil, failure
}

// answerLostProblem returns the problem of a request that got no answer. An order may
// have been accepted nevertheless.
func answerLostProblem(r request, err error) oriolebend.OperatorProblem {
	problem := oriolebend.OperatorProblem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, OrderID: r.orderID, Detail: err.Error(),
	}
	if r.method != http.MethodGet {
		problem.Ran = oriolebend.RanUnknown
	}
	return problem
}

func drainBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	_ = response.Body.Close()
}

// Error reports that the operator API refused or failed a request.
type Error struct {
	// Problem is the problem that the control VM answered with, or one that the client
	// made because no answer arrived.
	Problem oriolebend.OperatorProblem

	retryable  bool
	retryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Problem.Reason)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.Ran == oriolebend.RanUnknown && e.Problem.OrderID != "" {
		text += " (the order may have been accepted; its id is " + e.Problem.OrderID + ")"
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// ReasonOf returns the reason of an *Error, and the empty reason for any other error.
func ReasonOf(err error) oriolebend.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Problem.Reason
	}
	return ""
}
