package role

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/saturation"
)

// resumeRetryDelay is the delay until the next try to open the port for callers.
const resumeRetryDelay = 100 * time.Millisecond

// applySaturation closes the port for callers while the link is full: a caller that connects sends
// its request at once, which takes capacity of the link even if its connection is reset unread.
func (p *ForwarderProcess) applySaturation(state saturation.State, use saturation.Use) {
	if state == saturation.Link {
		p.callers.Pause()
	} else {
		p.resumeCallers()
	}
	p.process.Logger.Info("new connections of callers", "accepted", state == saturation.Free, "saturated", string(state),
		"sent", use.Sent, "received", use.Received, "waitMs", use.Wait.Milliseconds(), "turnedAway", p.callers.TurnedAway())
}

// resumeCallers opens the port for callers again, and tries until that succeeds, since nothing else
// opens it. It also returns once the port is closed for good.
func (p *ForwarderProcess) resumeCallers() {
	for err := p.callers.Resume(); err != nil; err = p.callers.Resume() {
		p.process.Logger.Error("the port for callers can't be opened", "error", err)
		time.Sleep(resumeRetryDelay)
	}
}

// registerMetrics registers the gauges of the forwarder.
func (p *ForwarderProcess) registerMetrics() {
	gauge := p.process.metrics.Gauge
	p.process.metrics.Registerer().MustRegister(newRetryBudgetCollector(p.forwarder.RetryBudgets))
	gauge("routing_version", "Version of the routing in force.", func() float64 { return float64(p.forwarder.Version()) })
	gauge("control_links", "Control VMs that this forwarder watches.", func() float64 { return float64(p.follower.Links()) })
	gauge("requests_in_progress", "Requests that are read and not yet answered.", func() float64 { return float64(p.callers.Active()) })
	gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(p.callers.Connections()) })
	gauge("caller_connections_turned_away", "Connections of callers that were reset unread while the process was saturated.", func() float64 {
		return float64(p.callers.TurnedAway())
	})
	counts := p.crashes.Reported
	gauge("requests_crash_reported", "Requests during which servers crashed, as far as this forwarder knows.", func() float64 {
		return float64(counts(quarantine.KindRequest).Reported)
	})
	gauge("requests_held", "Requests that are quarantined, as several servers crashed during them.", func() float64 {
		return float64(counts(quarantine.KindRequest).Held)
	})
	gauge("prompt_parts_crash_reported", "Parts of prompts during which servers crashed, as far as this forwarder knows.", func() float64 {
		return float64(counts(quarantine.KindPart).Reported)
	})
	gauge("prompt_parts_held", "Parts of prompts that are quarantined, as several servers crashed during requests with them.", func() float64 {
		return float64(counts(quarantine.KindPart).Held)
	})
	gauge("server_connections_opened", "Connections to backend servers opened so far.", func() float64 { return float64(p.forwarder.Dialled()) })
}
