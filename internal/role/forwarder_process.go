package role

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/crashreports"
	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/http1"
	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/placements"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/quota"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/saturation"
	"github.com/oriolebend/oriolebend/internal/serverlimit"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/streamrecord"
)

const (
	// defaultForwardStopDelay is how long a load balancer with a health check
	// every second takes to remove a forwarder, with a margin.
	defaultForwardStopDelay = 3 * time.Second
	// defaultForwardStopWithin bounds a graceful stop; it is longer than streams
	// take.
	defaultForwardStopWithin = 30 * time.Second
	// stopMargin is the part of a stop that is reserved for closing the ports.
	stopMargin = 800 * time.Millisecond
	// unreadyAfter is for how long a forwarder is saturated, or its port closed, until the load
	// balancer is asked to send callers elsewhere.
	unreadyAfter = 500 * time.Millisecond
	// readyAfter is for how long it must then be free: a load balancer asks once a second, and
	// removes a forwarder that has not been ready twice in a row.
	readyAfter = 2500 * time.Millisecond
)

// ForwarderProcess is the running process of a forwarder with its ports.
type ForwarderProcess struct {
	process       Process
	endpoint      *peer.Endpoint
	forwarder     *forwarder.Forwarder
	follower      *routewatch.Follower
	places        *placements.Client
	quotas        *quota.Client
	limits        *serverlimit.Client
	streams       *streamrecord.Client
	crashes       *quarantine.Store
	crashReporter *crashreports.Sender
	callers       *http1.Server
	meter         *saturation.Meter
	metrics       *httpserver.Server
	stopping      chan struct{}
	cancel        context.CancelFunc
	done          chan struct{}
}

// StartForwarder starts a forwarder that uses a dialect towards callers and
// backend servers; Stop ends it.
func StartForwarder(p Process, dialect forwarder.Dialect) (*ForwarderProcess, error) {
	p = p.withMetrics(peer.RoleForwarder)
	process := &ForwarderProcess{process: p, stopping: make(chan struct{}), done: make(chan struct{})}
	process.meter = saturation.New(saturation.Config{
		LinkBytes: p.Settings.Node.LinkBytes(), MaxWait: time.Duration(p.Settings.Node.MaxProcessorWait), Changed: process.applySaturation,
	})
	process.crashReporter = &crashreports.Sender{
		Controls: func() []string { return process.follower.Open() },
		Peers:    func() []string { return process.follower.Peers() },
		Logger:   p.Logger,
	}
	process.crashReporter.Prepare()
	process.crashes = quarantine.New(quarantine.Config{SendsRequests: true, SendReports: process.crashReporter.Send, Logger: p.Logger})
	endpoint, err := p.listen(map[message.Kind]peer.Handler{message.KindCrashReports: crashreports.Serve(process.crashes)})
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	process.endpoint, process.crashReporter.Dialer = endpoint, endpoint
	process.buildClients()
	process.forwarder = forwarder.New(process.forwarderConfig(dialect))
	process.follower = process.newFollower()
	if err := process.serve(); err != nil {
		return nil, errors.Join(err, endpoint.Close())
	}
	process.registerMetrics()
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go func() {
		defer close(process.done)
		var running sync.WaitGroup
		running.Go(func() { process.places.Run(ctx) })
		running.Go(func() { process.crashReporter.Run(ctx) })
		running.Go(func() { process.streams.Run(ctx) })
		running.Go(func() { process.meter.Run(ctx) })
		process.follower.Run(ctx)
		running.Wait()
	}()
	return process, nil
}

// buildClients builds the clients of the forwarder's control VMs.
func (p *ForwarderProcess) buildClients() {
	s, logger := p.process.Settings, p.process.Logger
	leader := func() string { return p.follower.Leader() }
	controls := func() []string { return p.follower.Open() }
	p.places = &placements.Client{
		Node: s.Node.Name, FailureDomain: s.Node.FailureDomain, Dialer: p.endpoint, Logger: logger, Leader: leader,
		Speeds: func() []message.EngineSpeed { return p.forwarder.EngineSpeeds() },
	}
	p.places.Prepare()
	p.quotas = &quota.Client{Dialer: p.endpoint, Logger: logger, Leader: leader, Controls: controls}
	p.quotas.Prepare()
	p.limits = &serverlimit.Client{Dialer: p.endpoint, Logger: logger, Leader: leader}
	p.limits.Prepare()
	p.streams = streamrecord.NewClient(streamrecord.Config{
		Dialer: p.endpoint, Logger: logger, Controls: controls, Known: func() int { return p.follower.Known() },
	})
}

func (p *ForwarderProcess) forwarderConfig(dialect forwarder.Dialect) forwarder.Config {
	return forwarder.Config{
		Dialect:    dialect,
		Dispatch:   dispatchConfig(p.process.Settings),
		Pool:       backend.PoolConfig{Meter: p.meter},
		Places:     p.places,
		Quarantine: p.crashes,
		Quotas:     p.quotas,
		Limits:     p.limits,
		Streams:    p.streams,
		Current:    func() bool { return p.follower.Connected() },
		Observer:   p.process.observer(),
		Logger:     p.process.Logger,
		Held:       p.process.Held,

		RefusedRank: p.process.refusedRank,
		Repeated:    p.process.repeated,
	}
}

// newFollower returns the follower that keeps the forwarder's routing and servers up to date.
func (p *ForwarderProcess) newFollower() *routewatch.Follower {
	s := p.process.Settings
	return &routewatch.Follower{
		Dialer: p.endpoint,
		Seeds:  p.process.controlAddresses(),
		Watch: message.RouteWatch{
			Node: s.Node.Name, FailureDomain: s.Node.FailureDomain, Incarnation: newIncarnation(), Listen: s.Peer.Listen,
		},
		Sink:    p.forwarder,
		Reports: func(reports []message.CrashReport) { p.crashes.ApplyReports(reports, false) },
		Found: func(address string) {
			p.crashReporter.SendTo(address, p.crashes.Reports())
			p.streams.Restarted(address)
		},
		Logger: p.process.Logger,
	}
}

func dispatchConfig(s settings.Settings) dispatch.Config {
	return dispatch.Config{
		FailureDomain: s.Node.FailureDomain,
		Seed:          newIncarnation(),
		RetryShare:    s.Forward.RetryShare,
		RetrySlack:    s.Forward.RetrySlack,
		RetryWindow:   time.Duration(s.Forward.RetryWindow),
		Started:       time.Now(),
	}
}

// serve opens the ports for callers and metrics.
func (p *ForwarderProcess) serve() error {
	var err error
	p.metrics, err = p.process.serveMetrics(p.Ready)
	if err != nil {
		return err
	}
	s := p.process.Settings
	listener, err := http1.Listen(s.Forward.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for callers: %w", err), p.metrics.Close())
	}
	p.callers = http1.Serve(listener, http1.Config{
		Handler:        p.forwarder.Serve,
		Limits:         p.forwarder.Limits,
		Logger:         p.process.Logger,
		MaxConnections: cmp.Or(s.Forward.MaxConnections, s.Node.Connections()),
		Held:           p.process.Held,
		Meter:          p.meter,
		Refused:        p.recordRefusal,
	})
	return nil
}

// recordRefusal counts and logs a request that was refused before it was read.
func (p *ForwarderProcess) recordRefusal(r http1.Refusal) {
	p.process.observer().Count("refusal", r.Reason, "")
	p.process.Logger.Info("request not read", "status", r.Status, "reason", r.Reason, "detail", r.Detail)
}

// Ready reports whether the load balancer should send callers to this forwarder.
func (p *ForwarderProcess) Ready() bool {
	select {
	case <-p.stopping:
		return false
	default:
		return p.follower.Ready() && !p.meter.SaturatedFor(unreadyAfter, readyAfter) && !p.callers.PausedFor(unreadyAfter)
	}
}

// Reload applies the settings that may change while the process runs, which are
// the addresses of the control VMs.
func (p *ForwarderProcess) Reload(s settings.Settings) {
	p.follower.SetSeeds(Process{Settings: s}.controlAddresses())
}

// Address returns the address at which callers reach the forwarder.
func (p *ForwarderProcess) Address() string { return p.callers.Address() }

// Stop ends the forwarder gracefully. It first waits until the load balancer has
// removed the forwarder, then until the requests in progress have ended, and then
// closes the ports.
func (p *ForwarderProcess) Stop(ctx context.Context) error {
	close(p.stopping)
	p.callers.Drain()
	s := p.process.Settings.Forward
	within, cancel := context.WithTimeout(ctx, s.StopWithin.Or(defaultForwardStopWithin)-stopMargin)
	defer cancel()
	wait(within, s.StopDelay.Or(defaultForwardStopDelay))
	p.callers.Stop(within)
	p.forwarder.Wait()
	p.quotas.Close()
	p.limits.Close()
	p.cancel()
	<-p.done
	return p.process.stopError(closeEndpoint(p.endpoint), p.metrics.Close())
}

// Kill ends the forwarder at once, as a crash would.
func (p *ForwarderProcess) Kill() error {
	closed := errors.Join(p.endpoint.Close(), p.metrics.Close())
	p.callers.Close()
	p.cancel()
	<-p.done
	return closed
}
