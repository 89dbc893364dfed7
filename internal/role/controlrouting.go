package role

import (
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/places"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Declare has a routing agreed on. It returns once a quorum holds it, with the
// version in force. The routing must have passed its checks. Errors are
// *oriolebend.Problem; one with reason notLeader asks to go to Leader.
func (c *ControlProcess) Declare(ctx context.Context, r oriolebend.Routing, document []byte) (routing.Replaced, error) {
	command, err := cbor.Marshal(routing.Replace{Routing: r, Document: document})
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

// Routing returns the routing in force, once a quorum has confirmed that none
// newer was accepted. Errors are those of Declare.
func (c *ControlProcess) Routing(ctx context.Context) (routing.InForce, error) {
	if err := c.replica.Confirm(ctx); err != nil {
		return routing.InForce{}, err
	}
	current, _ := c.routing.Current()
	return current, nil
}

// LeaderIP is the IP of the control VM that leads, empty if none is known.
func (c *ControlProcess) LeaderIP() string {
	_, address := c.replica.Leader()
	return hostOf(address)
}

// Leads reports whether this control VM leads.
func (c *ControlProcess) Leads() bool {
	name, _ := c.replica.Leader()
	return name == c.process.self()
}

// replaced reports whether another control VM is known to lead.
func (c *ControlProcess) replaced() bool {
	name, _ := c.replica.Leader()
	return name != "" && name != c.process.self()
}

// Announce takes an announcement of a backend server.
func (c *ControlProcess) Announce(ctx context.Context, server message.BackendServer) error {
	return c.routes.Announce(ctx, server)
}

// AnnounceTo is the IP of the control VM that an instance had better announce itself to
// from now on; empty means this one.
func (c *ControlProcess) AnnounceTo(instance string) string {
	return hostOf(c.routes.AnnounceTo(instance))
}

// Backends lists the backend servers that announced themselves to this VM.
func (c *ControlProcess) Backends() []message.BackendServer { return c.routes.Servers() }

// Withdraw takes the last word of a backend server.
func (c *ControlProcess) Withdraw(ctx context.Context, instance string, incarnation uint64) error {
	return c.routes.Withdraw(ctx, instance, incarnation)
}

// Unreadable counts an announcement that names no server to use.
func (c *ControlProcess) Unreadable(reason oriolebend.Reason) { c.process.unreadable(reason) }

// Reload takes up settings that changed while the process runs: the control VMs
// that are known from the start.
func (c *ControlProcess) Reload(s settings.Settings) {
	if c.joiner != nil {
		c.joiner.SetSeeds(Process{Settings: s}.seeds())
	}
}

// Done is closed once the agreed log has ended.
func (c *ControlProcess) Done() <-chan struct{} { return c.done }

// Ended tells why the agreed log has ended; nil after a graceful stop.
func (c *ControlProcess) Ended() error { return c.ended }

// observe has this VM follow what all control VMs know of backend servers, to
// give places and to divide model engines between prefill and decode while it
// leads.
func (c *ControlProcess) observe(name string) {
	p := c.process
	c.places = &places.Giver{Leads: c.Leads, Replaced: c.replaced, Logger: p.Logger}
	c.places.Prepare()
	sinks := routewatch.Sinks{c.places}
	if p.Orders != nil {
		c.pools = &PoolKeeper{Self: name, Orders: p.Orders, Announce: c.routes.RoleChanges, Status: c.replica.Status, Leads: c.Leads, Limited: c.limits.Limited, Logger: p.Logger}
		c.pools.Prepare()
		c.routes.Loads = c.pools.Heard
		sinks = append(sinks, c.pools)
	}
	c.observer = &routewatch.Follower{
		Dialer: c.endpoint,
		Seeds:  slices.Concat(p.controlAddresses(), c.controls()),
		Watch: message.RouteWatch{
			Node: name, FailureDomain: p.Settings.Node.FailureDomain,
			Observes: true, Address: p.Settings.Peer.Listen, Incarnation: newIncarnation(),
		},
		Sink:    sinks,
		Reports: func(reports []message.CrashReport) { c.crashes.ApplyReports(reports, true) },
		Logger:  p.Logger,
	}
}

// newJoiner keeps this VM a member of a group that is found through seeds.
func (c *ControlProcess) newJoiner(name string) *Joiner {
	p := c.process
	return &Joiner{
		Self:    message.Member{Name: name, Address: p.Settings.Peer.Listen, FailureDomain: p.Settings.Node.FailureDomain},
		Seeds:   p.seeds(),
		Replica: c.replica,
		Dialer:  c.endpoint,
		Logger:  p.Logger,
	}
}

// join serves a control VM that asks to join; a group whose members are all
// listed in the settings takes nobody in.
func (c *ControlProcess) join(ctx context.Context, s peer.Stream) {
	if c.joiner != nil {
		c.joiner.Serve(ctx, s)
	}
}

// controls lists the peer addresses of the members.
func (c *ControlProcess) controls() []string {
	var addresses []string
	for _, m := range c.replica.Status().Members {
		if m.Address != "" {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
