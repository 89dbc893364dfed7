// Package metrics counts and measures what a role does, for Prometheus.
package metrics

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const namespace = "oriolebend"

// otherOrganisation stands for every organisation that is not in the settings:
// a label must not take values that callers make up.
const otherOrganisation = "other"

// Config sets up the metrics of one role.
type Config struct {
	// Role is "entry", "sidecar" or "control".
	Role string
	// Node is the name of the process, or of the server beside a sidecar.
	Node string
	// Organisations lists those that are counted by name.
	Organisations []string
	// Logger is told of counts and measures without a metric; nil is told
	// nothing.
	Logger *slog.Logger
}

// Metrics counts and measures for one role. Every counter exists at zero for
// every reason from the start, so that a rate over its first rise is right. Its
// methods may be called from several goroutines.
type Metrics struct {
	logger        *slog.Logger
	registry      *prometheus.Registry
	labelled      prometheus.Registerer
	organisations map[string]bool

	byReason       map[string]*prometheus.CounterVec
	events         *prometheus.CounterVec
	byOrganisation *prometheus.CounterVec
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
	for what, described := range reasonCounters {
		vec := m.counter(described.Name, described.Help, "reason")
		for _, reason := range oriolebend.Reasons() {
			vec.WithLabelValues(string(reason))
		}
		m.byReason[what] = vec
	}
	m.events = m.counter("events_total", "Events that need no action, by kind; see docs/OPERATING.md.", "event")
	for _, event := range events {
		m.events.WithLabelValues(event)
	}
	m.wastedTokens = m.counter("wasted_prefill_tokens_total", "Prompt tokens whose prefill was computed and not used.", "urgency")
	for _, urgency := range urgencies {
		m.wastedTokens.WithLabelValues(string(urgency))
	}
}

func (m *Metrics) registerMeasures() {
	for what, described := range measures {
		vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: described.Name, Help: described.Help, Buckets: described.Buckets,
		}, []string{"urgency"})
		m.labelled.MustRegister(vec)
		for _, urgency := range urgencies {
			vec.WithLabelValues(string(urgency))
		}
		m.measures[what] = vec
	}
}

func (m *Metrics) registerOrganisations(names []string) {
	m.byOrganisation = m.counter("refusals_by_organisation_total", "Requests refused, by organisation.", "organisation")
	for _, name := range append(names, otherOrganisation) {
		m.organisations[name] = true
		m.byOrganisation.WithLabelValues(name)
	}
}

// Count adds one to the counter of what happened and why. The organisation may
// be empty.
func (m *Metrics) Count(what string, reason oriolebend.Reason, organisation string) {
	if what == whatRefusal && organisation != "" {
		m.countOrganisation(organisation)
	}
	if vec, found := m.byReason[what]; found {
		vec.WithLabelValues(string(reason)).Inc()
		return
	}
	if !knownEvents[what] {
		m.logger.Warn("an event without a counter", "event", what)
		return
	}
	m.events.WithLabelValues(what).Inc()
}

func (m *Metrics) countOrganisation(name string) {
	if !m.organisations[name] {
		name = otherOrganisation
	}
	m.byOrganisation.WithLabelValues(name).Inc()
}

// Refused counts a request that the callers' side refused on its own.
func (m *Metrics) Refused(reason oriolebend.Reason) {
	m.Count(whatRefusal, reason, "")
}

// Observe records a measure of one request, in seconds, as a ratio, or, for
// wasted prefill, in tokens.
func (m *Metrics) Observe(what string, urgency oriolebend.Urgency, value float64) {
	if what == whatWastedTokens {
		m.wastedTokens.WithLabelValues(string(urgency)).Add(value)
		return
	}
	vec, found := m.measures[what]
	if !found {
		m.logger.Warn("a measure without a metric", "measure", what)
		return
	}
	vec.WithLabelValues(string(urgency)).Observe(value)
}

// Registerer takes the metrics of parts that make their own; they get the
// labels of the role.
func (m *Metrics) Registerer() prometheus.Registerer { return m.labelled }

// CounterByReason publishes counters that another part keeps, one for each
// reason. The name is without the prefix "oriolebend_".
func (m *Metrics) CounterByReason(name, help string, value func(oriolebend.Reason) float64) {
	for _, reason := range oriolebend.Reasons() {
		m.labelled.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: help,
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return value(reason) }))
	}
}

// Gauge publishes a value that is read at each scrape. The name is without the
// prefix "oriolebend_"; it must not be published twice.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.labelled.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}
