package caller

import (
	"cmp"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/labstack/echo/v5/middleware"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Headers of the API for callers.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderReplayed     = "Idempotent-Replayed"
	HeaderOperation    = "Oriolebend-Operation"
	HeaderUrgency      = "Oriolebend-Urgency"
	HeaderDeadline     = "Oriolebend-Deadline"
	HeaderOrganisation = "Oriolebend-Organisation"
	HeaderRequestID    = "Oriolebend-Request-Id"
)

// Metrics counts the requests that the handler refuses before they reach the
// Router; the Router counts all others.
type Metrics interface {
	Refused(reason oriolebend.Reason)
}

// Config configures the handler for callers. Router is required; every other field
// may be zero.
type Config struct {
	Router Router
	// Caller holds the limits of requests, and whether they need a token.
	Caller settings.Caller
	// Organisations lists the organisations that may call, with their tokens.
	Organisations []settings.Organisation
	// Operations lists the operations that callers may name in addition to the
	// default one.
	Operations []settings.Operation
	// Services lists the plain services that callers may call.
	Services []settings.ServiceRoute
	// Policy holds the latency targets of operations that set none.
	Policy settings.Policy
	// Logger receives a line for each refusal and failure; nil logs nothing.
	Logger *slog.Logger
	// Metrics counts refusals; nil counts nothing.
	Metrics Metrics
	// Fingerprint returns the fingerprint of a request's command, without its scope;
	// nil means ProvisionalFingerprint.
	Fingerprint func(entry.Request) string
	// CountTokens returns the number of tokens of a prompt; nil estimates four bytes
	// a token.
	CountTokens func(prompt string) int
	// Prefix returns the hashes of a prompt's leading blocks; nil means no hashes.
	Prefix func(model, prompt string) []uint64
	// Held accounts for the bodies of requests in progress. If it is nil, or if
	// Caller.MaxHeldBytes is set, the handler uses an account of its own.
	Held *memorybudget.Account
	// WriteTimeout bounds each write to a caller; a request whose caller reads no
	// output for so long is cancelled. Zero means 10s.
	WriteTimeout time.Duration
}

// Defaults of settings.Caller and Config.
const (
	defaultBodyBytes    = 8 << 20
	defaultPromptTokens = 65536
	defaultOutputTokens = 4096
	// unspecifiedOutputTokens bounds the output of a request that sets no bound.
	unspecifiedOutputTokens = 256
	defaultWriteTimeout     = 10 * time.Second
	defaultFirst            = 1200 * time.Millisecond
	defaultBetween          = 41 * time.Millisecond
)

type handler struct {
	Config
	organisations identities
	operations    map[string]settings.Operation
	services      map[string]settings.ServiceRoute
}

// New returns the HTTP handler for callers.
func New(c Config) http.Handler {
	h := newHandler(c)
	e := echo.NewWithConfig(echo.Config{
		Logger:           h.Logger,
		HTTPErrorHandler: h.writeError,
	})
	e.Use(middleware.Recover())
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.readiness)
	e.GET("/v1/models", h.models)
	e.POST("/v1/completions", h.completions, h.holdBody)
	e.POST("/v1/chat/completions", h.chat, h.holdBody)
	e.GET("/v1/requests/:id", h.record)
	e.GET("/v1/requests/:id/stream", h.attach)
	e.Any("/services/:service", h.call, h.holdBody)
	e.Any("/services/:service/*", h.call, h.holdBody)
	return e
}

func newHandler(c Config) *handler {
	h := &handler{Config: withDefaults(c)}
	h.organisations = newIdentities(c.Organisations)
	h.operations = map[string]settings.Operation{}
	for _, o := range c.Operations {
		h.operations[o.Name] = o
	}
	h.services = map[string]settings.ServiceRoute{}
	for _, s := range c.Services {
		h.services[s.Name] = s
	}
	return h
}

func withDefaults(c Config) Config {
	if c.Caller.MaxBodyBytes == 0 {
		c.Caller.MaxBodyBytes = defaultBodyBytes
	}
	if c.Held == nil || c.Caller.MaxHeldBytes > 0 {
		c.Held = memorybudget.New(memorybudget.Config{Limit: cmp.Or(c.Caller.MaxHeldBytes, settings.Node{}.HeldBytes())})
	}
	if c.Caller.MaxPromptTokens == 0 {
		c.Caller.MaxPromptTokens = defaultPromptTokens
	}
	if c.Caller.MaxOutputTokens == 0 {
		c.Caller.MaxOutputTokens = defaultOutputTokens
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return withFunctions(c)
}

func withFunctions(c Config) Config {
	if c.Fingerprint == nil {
		c.Fingerprint = ProvisionalFingerprint
	}
	if c.CountTokens == nil {
		c.CountTokens = estimateTokens
	}
	if c.Prefix == nil {
		c.Prefix = func(string, string) []uint64 { return nil }
	}
	return c
}

// estimateTokens estimates the tokens of a prompt without its tokeniser, by the
// usual rule of thumb of four bytes a token.
func estimateTokens(prompt string) int {
	const bytesPerToken = 4
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// health reports that the process is alive: it answers whenever the process serves
// requests.
func (h *handler) health(c *echo.Context) error {
	return c.String(http.StatusOK, "alive\n")
}

// readiness tells the platform's load balancer whether to send new callers to this
// process.
func (h *handler) readiness(c *echo.Context) error {
	if !h.Router.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// writeError answers with the problem document of an error that a route
// returned. Once the head of an answer is sent, an error can't be reported any more.
func (h *handler) writeError(c *echo.Context, err error) {
	response, unwrapErr := echo.UnwrapResponse(c.Response())
	if unwrapErr == nil && response.Committed {
		return
	}
	h.writeProblem(c, problemOf(err))
}

// problemOf returns the problem in err, or the problem that corresponds to an error
// of the HTTP library.
func problemOf(err error) *oriolebend.Problem {
	var problem *oriolebend.Problem
	if errors.As(err, &problem) {
		return problem
	}
	status := echo.StatusCode(err)
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return refuse(oriolebend.ReasonUnknownService, "no such path, or not with this method; see docs/callers.md")
	}
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonInternal,
		Ran:    oriolebend.RanUnknown,
		Detail: "the router failed; its log tells more",
		Cause:  err,
	}
}

// refuse returns the problem of a request that the handler refuses before it
// reaches the Router, so that it certainly did not run.
func refuse(reason oriolebend.Reason, detail string) *oriolebend.Problem {
	return &oriolebend.Problem{Reason: reason, Ran: oriolebend.RanNo, Detail: detail}
}
