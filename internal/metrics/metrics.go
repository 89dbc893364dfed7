// Package metrics collects the Prometheus metrics of each role that package role runs, and
// serves them over HTTP together with the health of the process.
package metrics

import (
	"log/slog"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const namespace = "oriolebend"

// otherOrganisation is the label value for every organisation that is not in the
// settings. Callers must not be able to create label values.
const otherOrganisation = "other"

// Config configures the metrics of one role.
type Config struct {
	// Role is "entry", "forwarder", "sidecar" or "control".
	Role string
	// Node is the name of the process, or of a sidecar's backend server.
	Node string
	// Organisations lists the organisations that are counted by name.
	Organisations []string
	// Logger receives warnings about events and measurements without a metric; nil
	// discards them.
	Logger *slog.Logger
}

// Metrics holds the metrics of one role. Every counter exists with value zero for every
// reason from the start, so that a rate over its first increment is correct. It is safe
// for concurrent use.
type Metrics struct {
	logger        *slog.Logger
	registry      *prometheus.Registry
	labelled      prometheus.Registerer
	organisations map[string]bool

	byReason       map[string]*prometheus.CounterVec
	events         *prometheus.CounterVec
	byOrganisation *prometheus.CounterVec
	byRank         *prometheus.CounterVec
	repeats        *prometheus.CounterVec
	wastedTokens   *prometheus.CounterVec
	measures       map[string]*prometheus.HistogramVec
}

// New returns the metrics of a role.
func New(c Config) *Metrics {
	registry := prometheus.NewRegistry()
	m := &Metrics{
		logger:        c.Logger,
		registry:      registry,
		labelled:      prometheus.WrapRegistererWith(prometheus.Labels{"role": c.Role, "node": c.Node}, registry),
		organisations: map[string]bool{},
		byReason:      map[string]*prometheus.CounterVec{},
		measures:      map[string]*prometheus.HistogramVec{},
	}
	if m.logger == nil {
		m.logger = slog.New(slog.DiscardHandler)
	}
	m.registerCounters()
	m.registerMeasures()
	m.registerOrganisations(c.Organisations)
	return m
}

func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.labelled.MustRegister(vec)
	return vec
}

func (m *Metrics) registerCounters() {
	for name, definition := range reasonCounters {
		vec := m.counter(definition.Name, definition.Help, "reason")
		for _, reason := range oriolebend.Reasons() {
			vec.WithLabelValues(string(reason))
		}
		m.byReason[name] = vec
	}
	m.events = m.counter("events_total", "Events that need no action, by kind; see docs/OPERATING.md.", "event")
	for _, event := range events {
		m.events.WithLabelValues(event)
	}
	m.byRank = m.counter("refusals_by_rank_total", "Requests refused, by rank and reason.", "rank", "reason")
	m.repeats = m.counter("repeats_total", "Arrivals of requests at servers beyond the first of each, by service and kind.", "service", "kind")
	m.wastedTokens = m.counter("wasted_prefill_tokens_total", "Prompt tokens whose prefill was computed and not used.", "urgency")
	for _, urgency := range urgencies {
		m.wastedTokens.WithLabelValues(string(urgency))
	}
}

func (m *Metrics) registerMeasures() {
	for name, definition := range measures {
		vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: definition.Name, Help: definition.Help, Buckets: definition.Buckets,
		}, []string{"urgency"})
		m.labelled.MustRegister(vec)
		for _, urgency := range urgencies {
			vec.WithLabelValues(string(urgency))
		}
		m.measures[name] = vec
	}
}

func (m *Metrics) registerOrganisations(names []string) {
	m.byOrganisation = m.counter("refusals_by_organisation_total", "Requests refused, by organisation.", "organisation")
	for _, name := range append(names, otherOrganisation) {
		m.organisations[name] = true
		m.byOrganisation.WithLabelValues(name)
	}
}

// Count increments the counter of an event with a reason. Reason and organisation may be
// empty.
func (m *Metrics) Count(event string, reason oriolebend.Reason, organisation string) {
	if event == eventRefusal && organisation != "" {
		m.countOrganisation(organisation)
	}
	if vec, found := m.byReason[event]; found {
		vec.WithLabelValues(string(reason)).Inc()
		return
	}
	if !knownEvents[event] {
		m.logger.Warn("no counter exists for an event", "event", event)
		return
	}
	m.events.WithLabelValues(event).Inc()
}

func (m *Metrics) countOrganisation(name string) {
	if !m.organisations[name] {
		name = otherOrganisation
	}
	m.byOrganisation.WithLabelValues(name).Inc()
}

// Refused counts a request that the HTTP server for callers refused itself.
func (m *Metrics) Refused(reason oriolebend.Reason) {
	m.Count(eventRefusal, reason, "")
}

// maxRanks is the number of ranks that are counted apart; less urgent ones count as the last.
const maxRanks = 10

// RefusedRank counts a refused request by its rank. The counter of a rank and a reason exists from
// their first refusal on, since most ranks are not in use.
func (m *Metrics) RefusedRank(rank int, reason oriolebend.Reason) {
	rank = min(max(rank, 0), maxRanks-1)
	m.byRank.WithLabelValues(strconv.Itoa(rank), string(reason)).Inc()
}

// Repeated counts an arrival of a request at a server of a service, beyond the request's first. The
// service must be a declared one, so that callers can't create label values.
func (m *Metrics) Repeated(service, kind string) {
	m.repeats.WithLabelValues(service, kind).Inc()
}

// Observe records a measurement of one request: in seconds, as a ratio, or, for wasted
// prefill, in tokens.
func (m *Metrics) Observe(measure string, urgency oriolebend.Urgency, value float64) {
	if measure == measureWastedTokens {
		m.wastedTokens.WithLabelValues(string(urgency)).Add(value)
		return
	}
	vec, found := m.measures[measure]
	if !found {
		m.logger.Warn("no metric exists for a measurement", "measure", measure)
		return
	}
	vec.WithLabelValues(string(urgency)).Observe(value)
}

// Registerer returns the registerer for components that define their own metrics. It
// adds the labels of the role.
func (m *Metrics) Registerer() prometheus.Registerer { return m.labelled }

// CounterByReason publishes counters that another component keeps, one for each reason.
// The name is without the prefix "oriolebend_".
func (m *Metrics) CounterByReason(name, help string, value func(oriolebend.Reason) float64) {
	for _, reason := range oriolebend.Reasons() {
		m.labelled.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: help,
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return value(reason) }))
	}
}

// Counter publishes a counter that another component keeps. The name is without the prefix
// "oriolebend_" and must not be published twice.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.labelled.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Gauge publishes a value that is read at each scrape. The name is without the prefix
// "oriolebend_" and must not be published twice.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.labelled.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}
