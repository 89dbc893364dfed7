package role

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/internal/reducer/order"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SidecarProcess is the running process of a sidecar with its ports.
type SidecarProcess struct {
	process  Process
	sidecar  *Sidecar
	endpoint *peer.Endpoint
	metrics  *httpserver.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// StartSidecar starts a sidecar; Stop ends it.
func StartSidecar(p Process) (*SidecarProcess, error) {
	p = p.withMetrics(peer.RoleSidecar)
	process := &SidecarProcess{process: p, done: make(chan struct{})}
	serve := func(ctx context.Context, s peer.Stream) { process.sidecar.Serve(ctx, s) }
	ready := make(chan struct{})
	gated := func(ctx context.Context, s peer.Stream) { <-ready; serve(ctx, s) }
	endpoint, err := p.listen(map[message.Kind]peer.Handler{
		message.KindReserve:     gated,
		message.KindStatusQuery: gated,
	})
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	process.endpoint = endpoint
	announcer := &Announcer{Dialer: endpoint, Control: p.controlAddresses(), Logger: p.Logger}
	announcer.Prepare()
	process.sidecar = NewSidecar(p.sidecarConfig(endpoint, announcer))
	close(ready)
	process.metrics, err = p.serveMetrics(process.Ready)
	if err != nil {
		return nil, errors.Join(err, endpoint.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	p.metrics.Gauge("sessions_open", "Open sessions of entries.", func() float64 { return float64(process.sidecar.sessionsOpen()) })
	p.metrics.Gauge("events_waiting", "Events in the queue of the reducer.", func() float64 { return float64(process.sidecar.loop.Waiting()) })
	p.metrics.Gauge("declared_age_seconds", "Time since the declared state in force was known to be the newest.", func() float64 { return process.sidecar.follower.Age().Seconds() })
	go announcer.Run(ctx)
	go func() {
		defer close(process.done)
		process.sidecar.Run(ctx)
	}()
	return process, nil
}

// declaredTimeout is how long a new sidecar waits for the declared state of its
// server before it accepts work without it.
const declaredTimeout = 5 * time.Second

func (p Process) sidecarConfig(endpoint *peer.Endpoint, announcer *Announcer) SidecarConfig {
	s := p.Settings
	incarnation := newIncarnation()
	config := SidecarConfig{
		Reducer: gate.Config{
			Lease:         s.Policy.Lease.Or(0),
			BetweenWithin: s.Policy.BetweenWithin.Or(0),
			Concurrency:   s.Sidecar.Concurrency,
			Shares:        shares(s.Organisations),
			// Without the wait a restarted sidecar of a leaving server would accept
			// new work until it knows that the server leaves. The wait is bounded, as
			// unreachable control VMs must not keep the server out for long.
			DeclaredWithin: declaredTimeout,
		},
		Orders: order.Config{
			Server:        s.Sidecar.Server,
			Incarnation:   incarnation,
			ChecksFencing: s.Sidecar.ChecksFencing,
			Service:       s.Sidecar.Service != "",
			Seed:          incarnation,
		},
		Server: oriolebend.Server{
			Name:          s.Sidecar.Server,
			Region:        s.Node.Region,
			FailureDomain: s.Node.FailureDomain,
			GateAddress:   endpoint.Address(),
			Incarnation:   incarnation,
		},
		Follow:    p.followConfig("sidecar"),
		Dialer:    endpoint,
		Announcer: announcer,
		Left:      func() { p.Logger.Info("server has left, this process may be stopped") },
		Observer:  p.observer(),
		Logger:    p.Logger,
	}
	if s.Sidecar.Service != "" {
		config.Reducer.Role = oriolebend.Service
		config.Reducer.Service = s.Sidecar.Service
		config.Server.Role = oriolebend.Service
		config.Server.Service = s.Sidecar.Service
		config.Service = service.NewClient(service.Config{BaseURL: s.Sidecar.ServiceURL})
		return config
	}
	config.Engine = engine.NewClient(engine.Config{BaseURL: s.Sidecar.Engine})
	return config
}

// Ready reports whether the server behind the gate accepts new work.
func (p *SidecarProcess) Ready() bool { return p.sidecar.Ready() }

// Stop ends the sidecar gracefully. It refuses new work, waits until the work in
// progress has ended, and then closes the port.
func (p *SidecarProcess) Stop(ctx context.Context) error {
	drained := p.sidecar.Stop(ctx)
	p.cancel()
	<-p.done
	return p.process.stopError(drained, closeEndpoint(p.endpoint), p.metrics.Close())
}

// Kill ends the sidecar at once, as a crash would.
func (p *SidecarProcess) Kill() error {
	closed := errors.Join(p.endpoint.Close(), p.metrics.Close())
	p.cancel()
	<-p.done
	return closed
}
