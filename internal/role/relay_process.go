package role

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/crashreports"
	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/streamrecord"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// RelayProcess is a control VM without a disk. It stores no part of the replicated
// log and never votes, as a restart would lose the entries that it had accepted. It
// receives announcements of backend servers and knows the leader.
type RelayProcess struct {
	process  Process
	endpoint *peer.Endpoint
	metrics  *httpserver.Server
	routes   *routewatch.Server
	follower *routewatch.Follower
	streams  streamrecord.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// StartRelay starts a relay; Stop ends it.
func StartRelay(p Process) (*RelayProcess, error) {
	p = p.withMetrics(peer.RoleControl)
	r := &RelayProcess{process: p, done: make(chan struct{})}
	crashes := quarantine.New(quarantine.Config{
		SendReports: func(reports []message.CrashReport) { r.routes.SendReports(reports) }, Logger: p.Logger,
	})
	r.routes = &routewatch.Server{
		Store:     routing.NewStore(),
		Confirmed: func() (time.Duration, bool) { return 0, false },
		Controls:  func() []string { return nil },
		Leader:    r.leader,
		Term:      func() uint64 { return r.follower.LeaderTerm() },
		Connected: func() bool { return r.follower.Connected() },
		Reports:   crashes.Reports,
		Logger:    p.Logger,
	}
	r.routes.Prepare()
	endpoint, err := p.listen(map[message.Kind]peer.Handler{
		message.KindRouteWatch: r.routes.Serve, message.KindCrashReports: crashreports.Serve(crashes),
		message.KindStreamRecordRequest: r.streams.Serve,
	})
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	r.endpoint = endpoint
	r.follower = &routewatch.Follower{
		Dialer:    endpoint,
		Seeds:     p.seeds(),
		MaxFormer: maxFormerControls,
		Observers: r.routes.Observers,
		Watch: message.RouteWatch{
			Node: p.self(), FailureDomain: p.Settings.Node.FailureDomain,
			Observes: true, Address: p.Settings.Peer.Listen, Incarnation: newIncarnation(),
		},
		Sink:    relaySink{},
		Reports: func(reports []message.CrashReport) { crashes.ApplyReports(reports, true) },
		Logger:  p.Logger,
	}
	if r.metrics, err = p.serveMetrics(func() bool { return r.follower.Links() > 0 }); err != nil {
		return nil, errors.Join(err, endpoint.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.routes.Run(ctx)
	go r.streams.Run(ctx)
	go func() {
		defer close(r.done)
		r.follower.Run(ctx)
	}()
	return r, nil
}

// relaySink discards everything: forwarders receive routings from the members.
type relaySink struct{}

// SetRouting implements routewatch.Sink.
func (relaySink) SetRouting(oriolebend.Routing) {}

// ChangeServers implements routewatch.Sink.
func (relaySink) ChangeServers(registry.Changes, int) {}

// Version implements routewatch.Sink. It returns the highest version, so that no
// routing is sent to the relay.
func (relaySink) Version() uint64 { return ^uint64(0) }

// Loads implements routewatch.Sink.
func (relaySink) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (relaySink) Expire() {}

func (r *RelayProcess) leader() string { return r.follower.Leader() }

// Declare fails with reason notLeader, as a relay never leads.
func (r *RelayProcess) Declare(context.Context, oriolebend.Routing, []byte) (routing.Replaced, error) {
	return routing.Replaced{}, notLeaderError()
}

// Routing fails with reason notLeader, as a relay never leads.
func (r *RelayProcess) Routing(context.Context) (routing.InForce, error) {
	return routing.InForce{}, notLeaderError()
}

func notLeaderError() error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo, Detail: "this control VM has no disk and never leads",
	}
}

// Leads returns false, as a relay never leads.
func (r *RelayProcess) Leads() bool { return false }

// LeaderIP returns the IP of the control VM that leads, empty if none is known.
func (r *RelayProcess) LeaderIP() string { return hostOf(r.leader()) }

// Announce applies an announcement of a backend server.
func (r *RelayProcess) Announce(ctx context.Context, server message.BackendServer) error {
	return r.routes.Announce(ctx, server)
}

// AnnounceTo returns the IP of the control VM to which an instance should send its
// announcements from now on; empty means this one.
func (r *RelayProcess) AnnounceTo(instance string) string {
	return hostOf(r.routes.AnnounceTo(instance))
}

// Withdraw removes a backend server that leaves. incarnation is zero if the server
// did not report it.
func (r *RelayProcess) Withdraw(ctx context.Context, instance string, incarnation uint64) error {
	return r.routes.Withdraw(ctx, instance, incarnation)
}

// Reload applies the settings that may change while the process runs, which are
// the seeds of the control VMs.
func (r *RelayProcess) Reload(s settings.Settings) {
	r.follower.SetSeeds(Process{Settings: s}.seeds())
}

// Stop ends the process.
func (r *RelayProcess) Stop(context.Context) error {
	r.cancel()
	<-r.done
	return r.process.stopError(closeEndpoint(r.endpoint), r.metrics.Close())
}

// Unreadable counts an announcement that names no usable server.
func (r *RelayProcess) Unreadable(reason oriolebend.Reason) { r.process.countUnreadable(reason) }
