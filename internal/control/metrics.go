package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
)

// Metrics counts the effects of the commands that this control VM proposed as leader, and measures
// its records. Its Observe is meant for a ServerConfig.
type Metrics struct {
	// Claims counts claims by "outcome".
	Claims *prometheus.CounterVec
	// Settles counts settles by the requested "state" and by "accepted".
	Settles *prometheus.CounterVec
	// Resolved counts lost outcomes that were resolved, by "state".
	Resolved *prometheus.CounterVec
	// Passed counts expired leases, records and answers, evicted answers, and records whose owner's
	// lease expired, by "what".
	Passed *prometheus.CounterVec

	gauges []prometheus.Collector
}

// Label values of Passed.
const (
	passedLeaseExpired = "ownerGone"
	passedNotRun       = "notRun"
	passedUnknown      = "unknown"
	passedFailed       = "failed"
	passedAnswers      = "answerExpired"
	passedEvicted      = "answerEvicted"
	passedRecords      = "recordExpired"
)

// NewMetrics returns metrics that are not registered yet.
func NewMetrics(records *Records) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "oriolebend", Subsystem: "records", Name: name, Help: help,
		}, labels)
	}
	gauge := func(name, help string, value func(record.Sizes) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "oriolebend", Subsystem: "records", Name: name, Help: help,
		}, func() float64 { return value(records.Sizes()) })
	}
	m := &Metrics{
		Claims:   counter("claims_total", "Claims of requests, by what they met.", "outcome"),
		Settles:  counter("settles_total", "Moves of request records by their owners.", "state", "accepted"),
		Resolved: counter("resolved_total", "Lost outcomes that a service or gate told.", "state"),
		Passed:   counter("passed_total", "Ends of leases and retentions.", "what"),
		gauges: []prometheus.Collector{
			gauge("held", "Records held.", func(z record.Sizes) float64 { return float64(z.Records) }),
			gauge("unknown", "Records whose outcome is lost.", func(z record.Sizes) float64 { return float64(z.Unknown) }),
			gauge("owners", "Entries with a lease.", func(z record.Sizes) float64 { return float64(z.Owners) }),
			gauge("bytes", "Memory of the records without answers, as counted.", func(z record.Sizes) float64 { return float64(z.Bytes) }),
			gauge("answer_bytes", "Memory of the stored answers.", func(z record.Sizes) float64 { return float64(z.AnswerBytes) }),
		},
	}
	m.initSeries()
	return m
}

// initSeries creates every series at zero, so that a rate over its first increase is right.
func (m *Metrics) initSeries() {
	for _, outcome := range []message.ClaimOutcome{
		message.ClaimOwned, message.ClaimAttach, message.ClaimReplay,
		message.ClaimConflict, message.ClaimUnknown, message.ClaimRefused,
	} {
		m.Claims.WithLabelValues(string(outcome))
	}
	for _, state := range []message.RecordState{
		message.RecordRunning, message.RecordAnswered, message.RecordFailed,
		message.RecordNotRun, message.RecordUnknown,
	} {
		m.Settles.WithLabelValues(string(state), "true")
		m.Settles.WithLabelValues(string(state), "false")
	}
	for _, what := range []string{
		passedLeaseExpired, passedNotRun, passedUnknown, passedFailed, passedAnswers, passedEvicted, passedRecords,
	} {
		m.Passed.WithLabelValues(what)
	}
}

// Register registers the metrics.
func (m *Metrics) Register(r prometheus.Registerer) error {
	collectors := append([]prometheus.Collector{m.Claims, m.Settles, m.Resolved, m.Passed}, m.gauges...)
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return &MetricsError{Cause: err}
		}
	}
	return nil
}

// MetricsError means that the metrics of the records could not be registered.
type MetricsError struct{ Cause error }

// Error implements error.
func (e *MetricsError) Error() string {
	return "control: register the metrics of records: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// Observe counts the requests of one command and its result. It is called on the control VM that
// proposed the command.
func (m *Metrics) Observe(c record.Command, r record.Result) {
	for _, claimed := range r.Claimed {
		m.Claims.WithLabelValues(string(claimed.Outcome)).Inc()
	}
	for i, settled := range r.Settled[:min(len(r.Settled), len(c.Settle))] {
		m.Settles.WithLabelValues(string(c.Settle[i].State), boolLabel(settled.Accepted)).Inc()
	}
	for _, resolved := range r.Resolved {
		if resolved.Accepted {
			m.Resolved.WithLabelValues(string(resolved.State)).Inc()
		}
	}
	for what, count := range map[string]int{
		passedLeaseExpired: r.Expired.Owners,
		passedNotRun:       r.Expired.NotRun,
		passedUnknown:      r.Expired.Unknown,
		passedFailed:       r.Expired.Failed,
		passedAnswers:      r.Expired.Answers,
		passedEvicted:      r.Evicted,
		passedRecords:      r.Expired.Records,
	} {
		m.Passed.WithLabelValues(what).Add(float64(count))
	}
}

func boolLabel(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
