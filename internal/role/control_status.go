package role

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/replica"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// readyConfirmationAge is the age of the last confirmation below which a control
// VM is ready. A VM that is isolated by a network partition loses its readiness
// after this time.
const readyConfirmationAge = 5 * time.Second

// Ready reports whether a quorum confirmed this control VM's state as the newest
// a short time ago.
func (c *ControlProcess) Ready() bool {
	age, ever := c.confirmer.Age(time.Now())
	return ever && age < readyConfirmationAge && !c.replica.Status().Recovering
}

// registerMetrics registers gauges that read the state of the replicated log at
// each scrape.
func (c *ControlProcess) registerMetrics(followers *ReachedTable) {
	gauge := func(name, help string, value func(replica.Status) float64) {
		c.process.metrics.Gauge("control_"+name, help, func() float64 { return value(c.replica.Status()) })
	}
	gauge("leads", "1 while this control VM leads.", func(s replica.Status) float64 { return boolToFloat(s.Role == agreement.Leader) })
	gauge("has_leader", "1 while this control VM knows a leader.", func(s replica.Status) float64 { return boolToFloat(s.Leader != "") })
	gauge("term", "Term of the replicated log.", func(s replica.Status) float64 { return float64(s.Term) })
	gauge("timeout_scale", "Factor by which the timeouts of elections and leases are longer than configured, as messages arrive late.", func(s replica.Status) float64 { return float64(s.TimeoutScale) })
	gauge("committed", "Index up to which the log is committed.", func(s replica.Status) float64 { return float64(s.Committed) })
	gauge("applied", "Index up to which the log is applied.", func(s replica.Status) float64 { return float64(s.Applied) })
	gauge("recovering", "1 while this control VM grants no vote, as it lost its data folder.", func(s replica.Status) float64 { return boolToFloat(s.Recovering) })
	gauge("disk_full", "1 while the disk has no space left for writes.", func(s replica.Status) float64 { return boolToFloat(s.DiskFull) })
	c.process.metrics.Gauge("control_confirmed_age_seconds", "Time since a quorum confirmed this control VM's state; -1 means never.", func() float64 {
		age, ever := c.confirmer.Age(time.Now())
		if !ever {
			return -1
		}
		return age.Seconds()
	})
	c.process.metrics.Gauge("control_followers", "Processes whose report of the state in force is known to this control VM.", func() float64 {
		return float64(len(followers.List()))
	})
	c.process.metrics.Gauge("quota_lease_share", "Share of each quota that this control VM grants under leases.", func() float64 {
		return c.quotas.LeaseStatus().Share
	})
	c.process.metrics.Counter("quota_lease_granted_total", "Requests granted under quota leases.", func() float64 {
		return float64(c.quotas.LeaseStatus().Granted)
	})
	c.process.metrics.Gauge("stream_records", "Origins of streams, and of contents of requests, that this control VM holds.", func() float64 {
		return float64(c.streams.Len())
	})
	c.process.metrics.CounterByReason("control_refusals_total", "Proposals, changes and confirmations refused, by reason.", func(r oriolebend.Reason) float64 {
		return float64(c.replica.Status().Refusals[r])
	})
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
