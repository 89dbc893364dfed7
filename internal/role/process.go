package role

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/metrics"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Process holds the settings and resources that every role needs to start.
type Process struct {
	Settings    settings.Settings
	Credentials peer.Credentials
	Logger      *slog.Logger
	// Socket is an open UDP socket to use in place of peer.listen; the process
	// closes it. If nil, the process opens one.
	Socket net.PacketConn
	// Operators is an open listener to use in place of operator.listen; the
	// process closes it. If nil, the process opens one.
	Operators net.Listener
	// Observer receives counts and measurements in place of the role's metrics;
	// nil means the role's metrics.
	Observer Observer
	// Held accounts for the bytes of bodies that the process holds in memory. If nil, the
	// process creates an account with the limit of its settings.
	Held *memorybudget.Account
	// Orders sends orders to the model engines of routes; if nil, no engine is
	// ordered to change its role. Only control VMs use it.
	Orders EngineOrders

	// metrics holds the metrics of one incarnation of the role.
	metrics *metrics.Metrics
}

// withMetrics returns p with new metrics for one incarnation. A role that is
// started again from the same Process must register all its metrics again.
func (p Process) withMetrics(role string) Process {
	node := p.Settings.Node.Name
	if role == peer.RoleSidecar {
		node = p.Settings.Sidecar.Server
	}
	var organisations []string
	for _, o := range p.Settings.Organisations {
		organisations = append(organisations, o.Name)
	}
	p.metrics = metrics.New(metrics.Config{Role: role, Node: node, Organisations: organisations, Logger: p.Logger})
	if p.Held == nil {
		p.Held = memorybudget.New(memorybudget.Config{Limit: p.Settings.Node.HeldBytes()})
	}
	p.registerHeldBytes()
	return p
}

func (p Process) observer() Observer {
	if p.Observer == nil {
		return p.metrics
	}
	return p.Observer
}

// repeated counts an arrival of a request at a server of a service, beyond its first.
func (p Process) repeated(service string, kind dispatch.RepeatKind) {
	if p.metrics != nil {
		p.metrics.Repeated(service, string(kind))
	}
}

// refusedRank counts a refused request by its rank.
func (p Process) refusedRank(rank int, reason oriolebend.Reason) {
	if p.metrics != nil {
		p.metrics.RefusedRank(rank, reason)
	}
}

// countUnreadable counts an announcement that names no usable server.
func (p Process) countUnreadable(reason oriolebend.Reason) {
	p.observer().Count("announcementRefused", reason, "")
}

// serveMetrics serves the role's metrics and health at the address in the settings.
func (p Process) serveMetrics(ready func() bool) (*httpserver.Server, error) {
	server := metrics.Server(metrics.HandlerConfig{Metrics: []*metrics.Metrics{p.metrics}, Ready: ready})
	listening, err := httpserver.Listen(p.Settings.Metrics.Listen, p.httpConfig(server))
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	return listening, nil
}

// httpConfig returns the configuration with which the process runs an HTTP server.
func (p Process) httpConfig(server *http.Server) httpserver.Config {
	return httpserver.Config{Server: server, Held: p.Held, Logger: p.Logger}
}

// controlAddresses lists the peer addresses of the control VMs in the settings.
func (p Process) controlAddresses() []string {
	if len(p.Settings.Control.Seeds) > 0 {
		return p.seeds()
	}
	addresses := make([]string, 0, len(p.Settings.Control.Members))
	for _, m := range p.Settings.Control.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// seeds lists the peer addresses of the control VMs that the settings name as
// seeds.
func (p Process) seeds() []string {
	seeds := make([]string, 0, len(p.Settings.Control.Seeds))
	for _, seed := range p.Settings.Control.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err == nil && p.Settings.Control.SeedPort > 0 {
			seed = netip.AddrPortFrom(address.Addr(), uint16(p.Settings.Control.SeedPort)).String()
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// self returns the name of this control VM among the members.
func (p Process) self() string { return MemberName(p.Settings) }

// MemberName returns the name under which the control VMs know a process with
// these settings. A control VM that is found through seeds is named by its IP,
// because nothing else is known of it beforehand.
func MemberName(s settings.Settings) string {
	if s.Operator.Listen != "" && len(s.Control.Seeds) > 0 {
		return hostOf(s.Peer.Listen)
	}
	return s.Node.Name
}

// initialMembers lists the members in the settings.
func (p Process) initialMembers() []message.Member {
	if len(p.Settings.Control.Seeds) > 0 {
		return membersFromSeeds(p.seeds())
	}
	return membersFromSettings(p.Settings.Control.Members)
}

// joinOnly reports whether this control VM may only join a group: it is found through seeds, and is not
// one of them or is not told that it founds the group.
func (p Process) joinOnly() bool {
	c := p.Settings.Control
	if len(c.Seeds) == 0 {
		return false
	}
	return !c.MayFound() || !isMember(p.initialMembers(), p.self())
}

// minVoters returns the number of voters that the control VMs keep when they remove members, zero if
// the settings list all members. A quorum of the rest must hold a copy more than disks may be lost.
func (p Process) minVoters() int {
	c := p.Settings.Control
	if len(c.Seeds) == 0 {
		return 0
	}
	return max(agreement.MinVoters, 2*c.LostDisks+1)
}

// addressOf returns a function that maps the name of a control VM to its peer
// address, or nil unless control VMs are found through seeds. Such VMs are named
// by their IP and listen on the same port.
func (p Process) addressOf() func(string) string {
	own, err := netip.ParseAddrPort(p.Settings.Peer.Listen)
	if len(p.Settings.Control.Seeds) == 0 || err != nil {
		return nil
	}
	return func(name string) string {
		ip, err := netip.ParseAddr(name)
		if err != nil {
			return ""
		}
		return netip.AddrPortFrom(ip, own.Port()).String()
	}
}

// followConfig configures the process's follower of the declared state.
func (p Process) followConfig(role string) follow.Config {
	var controls []follow.Control
	for _, m := range p.Settings.Control.Members {
		controls = append(controls, follow.Control{Name: m.Name, Address: m.Address})
	}
	return follow.Config{
		Node:     p.Settings.Node.Name,
		Role:     role,
		Controls: controls,
		Seed:     newIncarnation(),
	}
}

// listen opens the endpoint at which the process's peers reach it.
func (p Process) listen(handlers map[message.Kind]peer.Handler) (*peer.Endpoint, error) {
	dispatch := Dispatch{Logger: p.Logger, Handlers: handlers, Observer: p.observer()}
	counts := peer.NewMetrics()
	if err := counts.Register(p.metrics.Registerer()); err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{
		Address:     p.Settings.Peer.Listen,
		Socket:      p.Socket,
		Credentials: p.Credentials,
		Handler:     dispatch.Serve,
		Logger:      p.Logger,
		Metrics:     counts,
		Frames:      p.frames(),
		Silence:     p.idleTimeout(),
	})
}

// seededIdleTimeout is how long a connection to a peer may receive nothing where
// control VMs are found through seeds. Changes must reach every process within two
// seconds, even if a connection was lost just before.
const seededIdleTimeout = 1500 * time.Millisecond

// frames returns the account of the large frames that the process receives from other processes.
func (p Process) frames() *memorybudget.Account {
	a := memorybudget.New(memorybudget.Config{
		Limit: p.Settings.Node.FrameBytes(), PeerShare: framePeerShare, SmallShare: frameSmallShare,
	})
	gauge := p.metrics.Gauge
	gauge("frame_bytes_limit", "Bytes of large frames that may be received at the same time.", func() float64 { return float64(a.Limit()) })
	gauge("frame_bytes_held", "Bytes of large frames that are being received.", func() float64 { return float64(a.Held(memorybudget.Frame)) })
	gauge("frame_bytes_refused", "How often a large frame was refused for lack of memory so far.", func() float64 { return float64(a.Refused(memorybudget.Frame)) })
	return a
}

// Shares of the memory for large frames: one peer may send the largest frame, and leaves room for a
// routing of others. Small frames are not counted.
const (
	framePeerShare  = 0.75
	frameSmallShare = 0.01
)

// idleTimeout returns how long a connection to a peer may receive nothing; zero
// means the default.
func (p Process) idleTimeout() time.Duration {
	if len(p.Settings.Control.Seeds) > 0 {
		return seededIdleTimeout
	}
	return 0
}

// stopError joins the errors of a stop under the name of the process. It returns
// nil if there are none.
func (p Process) stopError(errs ...error) error {
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stop %s: %w", p.Settings.Node.Name, err)
	}
	return nil
}

// closeTimeout bounds the wait for the sessions that peers still hold when a role has
// drained. These are watches and renewals, which the peers open again at another
// process.
const closeTimeout = time.Second

// closeEndpoint stops a process's endpoint once its role has drained.
func closeEndpoint(e *peer.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := e.Stop(ctx)
	if peer.CodeOf(err) == peer.CodeCancelled {
		return nil
	}
	return err
}

// newIncarnation returns the number of an incarnation of a process. A later
// incarnation has a higher number as long as the VM's clock does not go back
// between them.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

// shares maps the name of each organisation with a share to its weight in queues.
func shares(organisations []settings.Organisation) map[string]float64 {
	weights := map[string]float64{}
	for _, o := range organisations {
		if o.Share > 0 {
			weights[o.Name] = o.Share
		}
	}
	return weights
}
