// Package client speaks to the operator API of the control VMs. It retries
// what may be retried, keeping the order id, so that an order whose answer was
// lost is carried out once.
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

	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config sets whom to speak to.
type Config struct {
	// Addresses are the base URLs of the control VMs' operator API, such as
	// "http://10.0.0.2:7470"; each is tried in turn.
	Addresses []string
	// Token lets the operator in.
	Token string
	// Who names the operator where no token is asked for.
	Who string
	// HTTP carries the requests; nil means a client of its own.
	HTTP *http.Client
	// Tries bounds how often a request is sent; zero means 8.
	Tries int
	// WaitFirst and WaitMost bound the waits between tries; zero means 200ms
	// and 3s.
	WaitFirst time.Duration
	WaitMost  time.Duration
}

// Client is a client of the operator API; it may be used by several
// goroutines.
type Client struct {
	config Config
	http   *http.Client
}

// maxRedirects bounds how often a request is sent on to a leader; leaders may
// change while it is on its way.
const maxRedirects = 4

// New returns a client.
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
	carrier := http.Client{}
	if config.HTTP != nil {
		carrier = *config.HTTP
	}
	// The library would follow a redirect to another VM without the token.
	carrier.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{config: config, http: &carrier}
}

// Options are those of an order.
type Options struct {
	// Expect is the revision that the resource must be at: zero for none yet,
	// nil for any.
	Expect *uint64
	// OrderID names the order; empty means a new one. Give the one of an
	// earlier call to learn its answer.
	OrderID string
	// DryRun asks what the order would meet.
	DryRun bool
	// Force drains a server even if its pool then is under its minimum.
	Force bool
	// Stop has a drained server's sidecar stop.
	Stop bool
	// Undo has a drained server take work again.
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

// maxBroken bounds how often a request is sent again because its answer broke
// off in the middle.
const maxBroken = 3

// call sends a request until it is answered, and decodes the answer.
func (c *Client) call(ctx context.Context, r request, into any) error {
	if r.orderID == "" && r.method != http.MethodGet {
		r.orderID = uuid.NewString()
	}
	var broken error
	for range maxBroken {
		response, err := c.send(ctx, r)
		if err != nil {
			return err
		}
		broken = json.NewDecoder(response.Body).Decode(into)
		drainBody(response)
		if broken == nil {
			return nil
		}
	}
	return &Error{Problem: lost(r, broken), cause: broken}
}

// send sends a request to one control VM after another, until one answers
// well or with a refusal that another try does not change.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	if len(c.config.Addresses) == 0 {
		return nil, &Error{Problem: oriolebend.OperatorProblem{
			Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, Detail: "no address of a control VM is given",
		}}
	}
	var failure *Error
	for try := range c.config.Tries {
		base := c.config.Addresses[try%len(c.config.Addresses)]
		response, err := c.follow(ctx, base, r)
		if err == nil {
			return response, nil
		}
		failure = err
		if !failure.again || ctx.Err() != nil || try == c.config.Tries-1 {
			break
		}
		if !pause.For(ctx, max(c.wait(try), failure.retryAfter)) {
			break
		}
	}
	return nil, failure
}

// wait returns a jittered time that doubles with each try.
func (c *Client) wait(try int) time.Duration {
	bound := min(c.config.WaitFirst<<min(try, 16), c.config.WaitMost)
	return time.Duration(rand.Int64N(int64(bound) + 1))
}

// follow sends a request once, and on to the leader if the answer says so.
func (c *Client) follow(ctx context.Context, base string, r request) (*http.Response, *Error) {
	target := strings.TrimSuffix(base, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	for range maxRedirects {
		response, err := c.once(ctx, target, r)
		if err != nil {
			return nil, &Error{Problem: lost(r, err), again: true, cause: err}
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return checked(response, r)
		}
		target = response.Header.Get("Location")
		drainBody(response)
	}
	return nil, &Error{again: true, Problem: oriolebend.OperatorProblem{
		Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo, OrderID: r.orderID,
		Detail: "the control VMs do not agree on who leads",
	}}
}

func (c *Client) once(ctx context.Context, target string, r request) (*http.Response, error) {
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

// checked returns a good answer, or an error made of any other.
func checked(response *http.Response, r request) (*http.Response, *Error) {
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
	// A gateway's 502 tells no more than a broken connection does.
	switch response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		failure.again = true
	}
	return nil, failure
}

// lost is the problem of a request that got no answer. An order may have been
// accepted all the same.
func lost(r request, err error) oriolebend.OperatorProblem {
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

// Error is a refusal or failure of the operator API.
type Error struct {
	// Problem is what the control VM answered, or what stands for an answer
	// that did not come.
	Problem oriolebend.OperatorProblem

	again      bool
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

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.cause }

// ReasonOf returns the reason of an error of this package, empty if it is
// another's.
func ReasonOf(err error) oriolebend.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Problem.Reason
	}
	return ""
}
