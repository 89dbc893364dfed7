package peer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// gathered returns the sum of the values of each metric, by name and label value.
func gathered(t *testing.T, r *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := r.Gather()
	is.New(t).NoErr(err)
	sums := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := strings.TrimPrefix(family.GetName(), "oriolebend_peer_") + "/" + m.GetLabel()[0].GetValue()
			sums[name] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sums
}

func TestMetricsCount(t *testing.T) {
	i := is.New(t)
	s := newSite(t)
	gate := s.listen(t, "gate", nil)
	metrics, registry := peer.NewMetrics(), prometheus.NewRegistry()
	i.NoErr(metrics.Register(registry))
	entry := s.listen(t, "entry", func(c *peer.Config) { c.Metrics = metrics })
	echoOnce(t, entry, gate.Address())
	session, err := entry.Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.NoErr(session.Send(bogus{AsKind: "nobodyKnows"}))
	_, err = session.Receive()
	i.Equal(peer.CodeOf(err), peer.CodeReset)
	sums := gathered(t, registry)
	i.Equal(sums["sessions_total/opened"], 2.0)
	i.Equal(sums["connections/opened"], 1.0)
	i.Equal(sums["frames_total/sent"], 2.0)
	i.Equal(sums["frames_total/received"], 1.0)
	i.Equal(sums["errors_total/reset"], 1.0)
	frame, err := peer.Codec{}.Append(nil, message.Release{Reason: "deadline"})
	i.NoErr(err)
	i.Equal(sums["frame_bytes_total/received"], float64(len(frame)))
}
