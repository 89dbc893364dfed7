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

	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/metrics"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Process is what every role needs to start.
type Process struct {
	Settings    settings.Settings
	Credentials peer.Credentials
	Logger      *slog.Logger
	// Socket is an open UDP socket to use in place of peer.listen; the process
	// closes it. Nil opens one.
	Socket net.PacketConn
	// Operators is an open port to use in place of operator.listen; the
	// process closes it. Nil opens one.
	Operators net.Listener
	// Observer takes counts and measures in place of the role's metrics; nil
	// means those.
	Observer Observer
	// Held counts the bytes of bodies that the process holds; nil has it count them with the
	// bound of its settings.
	Held *heldbytes.Account
	// Orders gives orders to the model engines of routes; nil leaves them as
	// they are. Only control VMs use it.
	Orders EngineOrders

	// metrics holds the metrics of one start of the role.
	metrics *metrics.Metrics
}

// withMetrics makes the metrics of one start: a process that is started again
// from the same Process registers everything anew.
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
		p.Held = heldbytes.New(heldbytes.Config{Limit: p.Settings.Node.HeldBytes()})
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

// countUnreadable counts an announcement that names no server to use.
func (p Process) countUnreadable(reason oriolebend.Reason) {
	p.observer().Count("announcementRefused", reason, "")
}

// serveMetrics serves the role's metrics and health where the settings say.
func (p Process) serveMetrics(ready func() bool) (*httpServer, error) {
	server := metrics.Server(metrics.HandlerConfig{Metrics: []*metrics.Metrics{p.metrics}, Ready: ready})
	listening, err := serveHTTP(p.Settings.Metrics.Listen, server, p.Logger)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	return listening, nil
}

// controlAddresses lists the peer addresses of the control VMs that the
// settings name.
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

// seeds lists the peer addresses of the control VMs that are known from the
// start.
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

// self is the name of this control VM among the members.
func (p Process) self() string { return MemberName(p.Settings) }

// MemberName is the name under which a process with these settings is known to
// the control VMs. Where they are found through seeds, nothing but an IP is
// known of a control VM beforehand, and that is its name.
func MemberName(s settings.Settings) string {
	if s.Operator.Listen != "" && len(s.Control.Seeds) > 0 {
		return hostOf(s.Peer.Listen)
	}
	return s.Node.Name
}

// initialMembers lists the members that the settings name.
func (p Process) initialMembers() []message.Member {
	if len(p.Settings.Control.Seeds) > 0 {
		return membersFromSeeds(p.seeds())
	}
	return membersFromSettings(p.Settings.Control.Members)
}

// addressOf finds the peer address of a control VM by its name where control
// VMs are found through seeds: they are named by their IP and share a port.
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

// followConfig sets up the process's follower of the declared state.
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

// listen opens the process's endpoint towards its peers.
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
		Silence:     p.idleTimeout(),
	})
}

// seededIdleTimeout is how long a peer may say nothing where control VMs are found
// through seeds: changes have to reach every process within two seconds, also
// if a connection has gone silent just before.
const seededIdleTimeout = 1500 * time.Millisecond

// idleTimeout is the bound for peers' idleTimeout; zero means the default.
func (p Process) idleTimeout() time.Duration {
	if len(p.Settings.Control.Seeds) > 0 {
		return seededIdleTimeout
	}
	return 0
}

// stopError joins what went wrong while a process stopError under its name, nil if
// nothing did.
func (p Process) stopError(errs ...error) error {
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stop %s: %w", p.Settings.Node.Name, err)
	}
	return nil
}

// closeTimeout bounds the wait for sessions that peers still hold when a role
// has drained: what they carry then are watches and renewals, which their
// peers open anew elsewhere.
const closeTimeout = time.Second

// closeEndpoint ends a process's endpoint once its role has drained.
func closeEndpoint(e *peer.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := e.Stop(ctx)
	if peer.CodeOf(err) == peer.CodeCancelled {
		return nil
	}
	return err
}

// httpServer is one HTTP server of a process and the port that it listens on.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// serveHTTP starts a server on address; an empty address starts none.
func serveHTTP(address string, server *http.Server, logger *slog.Logger) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return serveOn(listener, server, logger), nil
}

// serveOn starts a server on a listener.
func serveOn(listener net.Listener, server *http.Server, logger *slog.Logger) *httpServer {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("an HTTP server ended", "address", listener.Addr().String(), "error", err)
		}
	}()
	return &httpServer{server: server, listener: listener}
}

// address is where the server listens, empty if there is none.
func (h *httpServer) address() string {
	if h == nil {
		return ""
	}
	return h.listener.Addr().String()
}

// stop lets the requests in progress end, until ctx does.
func (h *httpServer) stop(ctx context.Context) error {
	if h == nil {
		return nil
	}
	return h.server.Shutdown(ctx)
}

// close ends the server and cuts what is in progress; watches of operators
// never end by themselves, and are resumed elsewhere.
func (h *httpServer) close() error {
	if h == nil {
		return nil
	}
	return h.server.Close()
}

// newIncarnation numbers a start of a process: a later start has a higher
// number as long as the VM's clock does not go back between them.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

// shares maps organisations to their weight in queues.
func shares(organisations []settings.Organisation) map[string]float64 {
	weights := map[string]float64{}
	for _, o := range organisations {
		if o.Share > 0 {
			weights[o.Name] = o.Share
		}
	}
	return weights
}
