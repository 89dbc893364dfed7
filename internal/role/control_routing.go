package role

import (
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/placements"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Declare proposes a routing, which must have been validated. It returns the
// version in force once a quorum has stored it. Errors are *oriolebend.Problem
// values; after one with reason notLeader the caller should try the VM that
// LeaderIP names.
func (c *ControlProcess) Declare(ctx context.Context, r oriolebend.Routing, document []byte) (routing.Replaced, error) {
	command, err := routing.EncodeReplace(routing.Replace{Routing: r, Document: document})
	if err != nil {
		return routing.Replaced{}, &control.MalformedError{What: "routing", Cause: err}
	}
	log := control.PartLog{Log: c.replica, Part: control.PartRouting}
	result, err := log.Propose(ctx, command)
	if err != nil {
		return routing.Replaced{}, err
	}
	var replaced routing.Replaced
	if err := cbor.Unmarshal(result, &replaced); err != nil {
		return routing.Replaced{}, &control.MalformedError{What: "result of a routing", Cause: err}
	}
	return replaced, nil
}

// Routing returns the routing in force once a quorum has confirmed that no newer
// one was accepted. Its errors are the same as those of Declare.
func (c *ControlProcess) Routing(ctx context.Context) (routing.InForce, error) {
	if err := c.replica.Confirm(ctx); err != nil {
		return routing.InForce{}, err
	}
	current, _ := c.routing.Current()
	return current, nil
}

// LeaderIP returns the IP of the control VM that leads, empty if none is known.
func (c *ControlProcess) LeaderIP() string {
	_, address := c.replica.Leader()
	return hostOf(address)
}

// Leads reports whether this control VM leads.
func (c *ControlProcess) Leads() bool {
	name, _ := c.replica.Leader()
	return name == c.process.self()
}

// otherLeads reports whether another control VM is known to lead.
func (c *ControlProcess) otherLeads() bool {
	name, _ := c.replica.Leader()
	return name != "" && name != c.process.self()
}

// Announce applies an announcement of a backend server.
func (c *ControlProcess) Announce(ctx context.Context, server message.BackendServer) error {
	return c.routes.Announce(ctx, server)
}

// AnnounceTo returns the IP of the control VM to which an instance should send its
// announcements from now on; empty means this one.
func (c *ControlProcess) AnnounceTo(instance string) string {
	return hostOf(c.routes.AnnounceTo(instance))
}

// Backends lists the backend servers that announced themselves to this VM.
func (c *ControlProcess) Backends() []message.BackendServer { return c.routes.Servers() }

// Withdraw removes a backend server that leaves. incarnation is zero if the server
// did not report it.
func (c *ControlProcess) Withdraw(ctx context.Context, instance string, incarnation uint64) error {
	return c.routes.Withdraw(ctx, instance, incarnation)
}

// Unreadable counts an announcement that names no usable server.
func (c *ControlProcess) Unreadable(reason oriolebend.Reason) { c.process.countUnreadable(reason) }

// Reload applies the settings that may change while the process runs, which are
// the seeds of the control VMs.
func (c *ControlProcess) Reload(s settings.Settings) {
	if c.joiner != nil {
		seeds := Process{Settings: s}.seeds()
		c.joiner.SetSeeds(seeds)
		c.observer.SetSeeds(seeds)
	}
}

// Done returns a channel that is closed once the replicated log has stopped.
func (c *ControlProcess) Done() <-chan struct{} { return c.done }

// Ended returns the error that stopped the replicated log, nil after a graceful
// stop.
func (c *ControlProcess) Ended() error { return c.runErr }

// buildObserver sets up the watch through which this VM follows the state of
// backend servers that all control VMs know. While it leads, it allocates
// placements and divides model engines between prefill and decode by that state.
func (c *ControlProcess) buildObserver(name string) {
	p := c.process
	c.places = &placements.Allocator{
		Leads: c.Leads, Replaced: c.otherLeads, Logger: p.Logger,
		IgnoreSpeeds: !p.Settings.Control.Enabled(settings.FeatureEngineSpeeds),
		Count:        func(event string) { p.observer().Count(event, "", "") },
		DisableRanks: !p.Settings.Control.Enabled(settings.FeatureMemoryRanks),
	}
	c.places.Prepare()
	sinks := routewatch.Sinks{c.places}
	if p.Orders != nil {
		c.pools = &PoolController{Self: name, Orders: p.Orders, Announce: c.routes.RoleChanges, Status: c.replica.Status, Leads: c.Leads, Limited: c.limits.Limited, Logger: p.Logger}
		c.pools.Prepare()
		c.routes.Loads = c.pools.ApplyLoads
		sinks = append(sinks, c.pools)
	}
	if c.known != nil {
		sinks = append(sinks, c.known)
	}
	former := c.loadControls()
	c.observer = &routewatch.Follower{
		Dialer:    c.endpoint,
		Seeds:     slices.Concat(p.controlAddresses(), c.memberAddresses()),
		Former:    former,
		MaxFormer: maxFormerControls,
		Changed:   c.controls.RequestSave,
		Observers: c.routes.Observers,
		Watch: message.RouteWatch{
			Node: name, FailureDomain: p.Settings.Node.FailureDomain,
			Observes: true, Address: p.Settings.Peer.Listen, Incarnation: newIncarnation(),
		},
		Sink:    sinks,
		Reports: func(reports []message.CrashReport) { c.crashes.ApplyReports(reports, true) },
		Logger:  p.Logger,
	}
}

// newJoiner returns the Joiner that keeps this VM a member of a group that is
// found through seeds.
func (c *ControlProcess) newJoiner(name string) *Joiner {
	p := c.process
	return &Joiner{
		Self:    message.Member{Name: name, Address: p.Settings.Peer.Listen, FailureDomain: p.Settings.Node.FailureDomain},
		Seeds:   p.seeds(),
		Replica: c.replica,
		Dialer:  c.endpoint,
		Known:   func() []string { return append(c.observer.Addresses(), c.observer.Leader()) },
		Logger:  p.Logger,
	}
}

// serveJoin serves a control VM that requests to join. A group whose members are
// all listed in the settings admits none.
func (c *ControlProcess) serveJoin(ctx context.Context, s peer.Stream) {
	if c.joiner != nil {
		c.joiner.Serve(ctx, s)
	}
}

// memberAddresses lists the peer addresses of the members.
func (c *ControlProcess) memberAddresses() []string {
	var addresses []string
	for _, m := range c.replica.Status().Members {
		if m.Address != "" {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
