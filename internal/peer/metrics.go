package peer

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of an Endpoint.
type Metrics struct {
	// Sessions counts sessions by "side": "opened" or "accepted".
	Sessions *prometheus.CounterVec
	// Frames and Bytes count frames by "direction": "sent" or "received".
	Frames *prometheus.CounterVec
	Bytes  *prometheus.CounterVec
	// Connections is the number of open connections by "side".
	Connections *prometheus.GaugeVec
	// Errors counts connections and sessions that ended other than by a clean
	// close, by "code".
	Errors *prometheus.CounterVec
}

// traffic holds the counters of frames, looked up once: a session counts each
// frame, and the lookup by label costs more than the increment.
type traffic struct {
	framesSent, framesReceived prometheus.Counter
	bytesSent, bytesReceived   prometheus.Counter
}

func (m *Metrics) traffic() traffic {
	return traffic{
		framesSent:     m.Frames.WithLabelValues(directionSent),
		framesReceived: m.Frames.WithLabelValues(directionReceived),
		bytesSent:      m.Bytes.WithLabelValues(directionSent),
		bytesReceived:  m.Bytes.WithLabelValues(directionReceived),
	}
}

// countedReader counts the bytes read from a reader.
type countedReader struct {
	reader io.Reader
	count  prometheus.Counter
}

// Read implements io.Reader.
func (c countedReader) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	c.count.Add(float64(n))
	return n, err
}

// Label values of Metrics.
const (
	sideOpened        = "opened"
	sideAccepted      = "accepted"
	directionSent     = "sent"
	directionReceived = "received"
)

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "oriolebend", Subsystem: "peer", Name: name, Help: help,
		}, []string{label})
	}
	m := &Metrics{
		Sessions: counter("sessions_total", "Sessions with peers.", "side"),
		Frames:   counter("frames_total", "Frames exchanged with peers.", "direction"),
		Bytes:    counter("frame_bytes_total", "Bytes of frames exchanged with peers, before encryption.", "direction"),
		Errors:   counter("errors_total", "Connections and sessions that ended other than by a clean close.", "code"),
		Connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "oriolebend", Subsystem: "peer", Name: "connections", Help: "Connections with peers that are open.",
		}, []string{"side"}),
	}
	// Each series exists from the start, so that a rate over its first increase is
	// correct.
	for _, code := range Codes() {
		m.Errors.WithLabelValues(string(code))
	}
	for _, side := range []string{sideOpened, sideAccepted} {
		m.Sessions.WithLabelValues(side)
	}
	return m
}

// Register registers the metrics.
func (m *Metrics) Register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.Sessions, m.Frames, m.Bytes, m.Errors, m.Connections} {
		if err := r.Register(c); err != nil {
			return errorf(CodeAddress, "", err, "register the metrics of peers")
		}
	}
	return nil
}
