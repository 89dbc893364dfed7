// Package operator implements the HTTP API that control VMs offer to operators.
// It reads, changes and watches the declared resources, and reports how far the
// system has reached the declared state.
package operator

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
)

// Config holds the settings and the dependencies of the handler.
type Config struct {
	// Node is the name of this control VM.
	Node string
	// Log is the replicated log. Store holds the state that the log is applied to.
	Log   control.Log
	Store *Store
	// Group is the group of control VMs; nil means that the API has no routes
	// for it.
	Group Group
	// Routing is the declared routing; nil means that the API has no routes for
	// it.
	Routing Routing
	// Quarantine knows what crashes servers; nil means that the API has no routes for it.
	Quarantine Quarantine
	// Reports returns the revision that each follower has in force; nil means
	// that there are no reports.
	Reports func() []reached.Report
	// Announcements returns the latest announcement of each server. Only the
	// leader has them. Nil means that this VM does not know them.
	Announcements func() map[string]message.Announce
	// Confirmed returns how long ago a quorum last confirmed that this VM has
	// all changes, and whether that ever happened. With nil, answers do not
	// contain that age.
	Confirmed func() (time.Duration, bool)
	// OperatorURL returns the base URL of another control VM's operator API,
	// such as "http://10.0.0.2:7470", for redirects to the leader. With nil or
	// an empty URL, this VM refuses orders unless it leads.
	OperatorURL func(node string) string
	// Tokens are the tokens that operators authenticate with, each written as
	// "name=secret". The audit records the name. For a token without a name it
	// records a name made from the hash of the token.
	Tokens []string
	// Open permits requests without a token. The operator's name is then taken
	// from the header Oriolebend-Who.
	Open bool
	// MaxBodyBytes limits the body of a request; zero means 1 MiB.
	MaxBodyBytes int64
	// WriteTimeout is how long an order may wait for the log; zero means 10s.
	WriteTimeout time.Duration
	// BookmarkInterval is how often a watch without changes sends a bookmark, which
	// shows that the watch still works; zero means 5s.
	BookmarkInterval time.Duration
	// Registry is where the counters are registered; nil means that they are not
	// exported.
	Registry prometheus.Registerer
	// Logger is the logger of the handler; nil means the default logger.
	Logger *slog.Logger
}

// Default values of Config.
const (
	defaultMaxBodyBytes     = 1 << 20
	defaultWriteTimeout     = 10 * time.Second
	defaultBookmarkInterval = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.BookmarkInterval == 0 {
		c.BookmarkInterval = defaultBookmarkInterval
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c
}

// api holds the state of the handler.
type api struct {
	Config
	operators map[[32]byte]string
	outcomes  *prometheus.CounterVec
}

// New returns the handler of the operator API.
func New(config Config) http.Handler {
	a := &api{Config: config.withDefaults()}
	a.operators = operatorsByHash(config.Tokens)
	a.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oriolebend_operator_requests_total",
		Help: "Requests of operators, by what they met.",
	}, []string{"operation", "outcome"})
	if config.Registry != nil {
		config.Registry.MustRegister(a.outcomes)
	}
	e := echo.NewWithConfig(echo.Config{Logger: a.Logger, HTTPErrorHandler: a.answerError})
	a.routes(e)
	a.initCounters(e.Router().Routes())
	return e
}

// initCounters creates the series of every refusal at the start. Otherwise a rate
// would not count the first increment of a series.
func (a *api) initCounters(routes echo.Routes) {
	for _, r := range routes {
		a.outcomes.WithLabelValues(r.Method+" "+r.Path, outcomeOK)
		for reason := range statuses {
			a.outcomes.WithLabelValues(r.Method+" "+r.Path, string(reason))
		}
	}
}

func (a *api) routes(e *echo.Echo) {
	e.Use(a.limitBody, a.authorize, a.setAgeHeader)
	e.GET("/v1/resources", a.list)
	e.GET("/v1/resources/:kind", a.list)
	e.GET("/v1/resources/:kind/:name", a.get)
	e.PUT("/v1/resources/:kind/:name", a.put)
	e.DELETE("/v1/resources/:kind/:name", a.remove)
	e.GET("/v1/watch", a.watch)
	e.GET("/v1/status", a.status)
	e.GET("/v1/explain/:kind/:name", a.explain)
	e.GET("/v1/servers", a.servers)
	e.POST("/v1/servers/:name/drain", a.drain)
	e.GET("/v1/audit", a.audit)
	e.POST("/v1/advance", a.advance)
	a.groupRoutes(e)
	a.routingRoutes(e)
	a.quarantineRoutes(e)
}
