// Package operator speaks HTTP to operators, on the control VMs: they read,
// change and watch the declared resources, and see what is reached.
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

// Config sets what the handler stands on.
type Config struct {
	// Node is the name of this control VM.
	Node string
	// Log is the agreed log, and Store the state that it is applied to.
	Log   control.Log
	Store *Store
	// Group is the group of control VMs; nil leaves its routes out.
	Group Group
	// Routing is the declared routing; nil leaves its routes out.
	Routing Routing
	// Reports returns what each follower has in force; nil means none.
	Reports func() []reached.Report
	// Announcements returns the latest announcement of each server, on the
	// leader; nil means that they are not known here.
	Announcements func() map[string]message.Announce
	// Confirmed tells how long ago this VM knew from a quorum that it has all
	// changes, and whether it ever did; nil leaves that out of answers.
	Confirmed func() (time.Duration, bool)
	// OperatorURL returns the base URL of another control VM's operator API,
	// such as "http://10.0.0.2:7470", for redirects to the leader; nil or an
	// empty URL means that orders are refused here unless this VM leads.
	OperatorURL func(node string) string
	// Tokens let operators in, each written "name=secret"; the name is kept in
	// the audit. One without a name is kept under a hash of it.
	Tokens []string
	// Open lets operators in without a token, under the name they give
	// themselves in Oriolebend-Who.
	Open bool
	// MaxBodyBytes bounds a request's body; zero means 1 MiB.
	MaxBodyBytes int64
	// WriteWithin bounds how long an order waits for the log; zero means 10s.
	WriteWithin time.Duration
	// BookmarkEvery is how often a quiet watch says that it lives; zero means
	// 5s.
	BookmarkEvery time.Duration
	// Registry takes the counters; nil means that they are not shown.
	Registry prometheus.Registerer
	// Logger takes faults of the handler itself; nil means the default one.
	Logger *slog.Logger
}

// Defaults of Config.
const (
	defaultMaxBodyBytes  = 1 << 20
	defaultWriteWithin   = 10 * time.Second
	defaultBookmarkEvery = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.WriteWithin == 0 {
		c.WriteWithin = defaultWriteWithin
	}
	if c.BookmarkEvery == 0 {
		c.BookmarkEvery = defaultBookmarkEvery
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c
}

// api is the handler's state.
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
	a.zero(e.Router().Routes())
	return e
}

// zero makes each refusal's series exist from the start, so that a rate over
// its first rise is right.
func (a *api) zero(routes echo.Routes) {
	for _, r := range routes {
		a.outcomes.WithLabelValues(r.Method+" "+r.Path, outcomeOK)
		for reason := range statuses {
			a.outcomes.WithLabelValues(r.Method+" "+r.Path, string(reason))
		}
	}
}

func (a *api) routes(e *echo.Echo) {
	e.Use(a.limitBody, a.authorize, a.stampAge)
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
}
