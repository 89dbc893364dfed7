package role

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	controlpeer "github.com/oriolebend/oriolebend/internal/control"
	"github.com/oriolebend/oriolebend/internal/crashreports"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/places"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/internal/quota"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/internal/reducer/recovery"
	"github.com/oriolebend/oriolebend/internal/replica"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/serverlimit"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// operatorHeaderTimeout ends operators' clients that send their head slowly.
const operatorHeaderTimeout = 5 * time.Second

// ControlProcess is a running control VM's process with its ports.
type ControlProcess struct {
	process   Process
	endpoint  *peer.Endpoint
	operators *httpServer
	metrics   *httpServer
	replica   *replica.Replica
	records   *controlpeer.Server
	resolver  *controlpeer.Resolver
	confirmer *Confirmer
	watches   *WatchServer
	members   *MemberLeader
	routing   *routing.Store
	routes    *routewatch.Server
	joiner    *Joiner
	pools     *PoolKeeper
	places    *places.Allocator
	observer  *routewatch.Follower
	crashes   *quarantine.Store
	keeper    *crashreports.Keeper
	quotas    *quota.Keeper
	limits    *serverlimit.Keeper
	cancel    context.CancelFunc
	// done is closed once the log has ended, with ended as its error.
	done  chan struct{}
	ended error
}

// StartControl starts a control VM's process; Stop ends it.
func StartControl(p Process) (*ControlProcess, error) {
	p = p.withMetrics(peer.RoleControl)
	process := &ControlProcess{process: p, done: make(chan struct{})}
	ready := make(chan struct{})
	endpoint, err := p.listen(process.handlers(ready))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	process.endpoint = endpoint
	if err := process.build(); err != nil {
		return nil, errors.Join(err, endpoint.Close())
	}
	close(ready)
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go process.records.Run(ctx)
	go process.resolver.Run(ctx)
	go process.confirmer.Run(ctx)
	go process.members.Run(ctx)
	go process.routes.Run(ctx)
	go process.keeper.Run(ctx)
	go process.quotas.Run(ctx)
	go process.limits.Run(ctx)
	if process.joiner != nil {
		go process.joiner.Run(ctx)
	}
	if process.pools != nil {
		go process.pools.Run(ctx)
	}
	go process.places.Run(ctx)
	go process.observer.Run(ctx)
	go func() {
		defer close(process.done)
		process.ended = process.replica.Run(ctx)
	}()
	return process, nil
}

// handlers serves peers once the process is built.
func (c *ControlProcess) handlers(ready <-chan struct{}) map[message.Kind]peer.Handler {
	records := func(ctx context.Context, s peer.Stream) { <-ready; c.records.Serve(ctx, s) }
	members := func(ctx context.Context, s peer.Stream) { <-ready; c.members.Serve(ctx, s) }
	agreement := func(ctx context.Context, s peer.Stream) { <-ready; c.replica.Serve(ctx, s) }
	handlers := map[message.Kind]peer.Handler{
		message.KindClaim:      records,
		message.KindSettle:     records,
		message.KindQuery:      records,
		message.KindRenew:      records,
		message.KindAnnounce:   members,
		message.KindPermit:     members,
		message.KindWatch:      func(ctx context.Context, s peer.Stream) { <-ready; c.watches.Serve(ctx, s) },
		message.KindRouteWatch: func(ctx context.Context, s peer.Stream) { <-ready; c.routes.Serve(ctx, s) },
		message.KindPlaceOpen:  func(ctx context.Context, s peer.Stream) { <-ready; c.places.Serve(ctx, s) },
		message.KindCrashReports: func(ctx context.Context, s peer.Stream) {
			<-ready
			crashreports.Serve(c.crashes)(ctx, s)
		},
		message.KindQuotaAsk: func(ctx context.Context, s peer.Stream) { <-ready; c.quotas.Serve(ctx, s) },
		message.KindLimitAsk: func(ctx context.Context, s peer.Stream) { <-ready; c.limits.Serve(ctx, s) },
		message.KindJoin:     func(ctx context.Context, s peer.Stream) { <-ready; c.join(ctx, s) },
		message.KindConfirm:  func(ctx context.Context, s peer.Stream) { <-ready; c.confirmer.Serve(ctx, s) },
	}
	for _, kind := range message.AgreementKinds() {
		handlers[kind] = agreement
	}
	return handlers
}

// build joins the log with the machines that it feeds.
func (c *ControlProcess) build() error {
	p := c.process
	name := p.self()
	records := controlpeer.NewRecords()
	store := operator.NewStore()
	c.routing = routing.NewStore()
	log, err := replica.New(replica.Config{
		Name:       name,
		Members:    p.founders(),
		AddressOf:  p.addressOf(),
		DataFolder: p.Settings.Control.DataFolder,
		Dialer:     c.endpoint,
		Machine: control.NewMux(map[control.PartName]control.Machine{
			control.PartRecords:  records,
			control.PartDeclared: control.Enveloped{Machine: store, Part: control.PartDeclared},
			control.PartRouting:  c.routing,
		}),
		Logger:        p.Logger,
		MinFreeBytes:  uint64(p.Settings.Control.MinFreeBytes),
		SnapshotBytes: p.Settings.Control.LogBytes,
	})
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	c.replica = log
	counts := controlpeer.NewMetrics(records)
	if err := counts.Register(p.metrics.Registerer()); err != nil {
		return err
	}
	c.records = controlpeer.NewServer(controlpeer.ServerConfig{
		Self:    name,
		Log:     control.PartLog{Log: log, Part: control.PartRecords},
		Records: records,
		Limits:  recordLimits(p.Settings.Policy),
		Observe: counts.Observe,
	})
	c.resolver = controlpeer.NewResolver(controlpeer.ResolverConfig{
		Server: c.records,
		Gates: statusGates{
			dialer:  c.endpoint,
			members: func() []oriolebend.Server { return store.View().Members() },
		},
		Recovery: recovery.Config{Seed: newIncarnation()},
		Asked:    func(reason oriolebend.Reason) { p.observer().Count("statusAsked", reason, "") },
	})
	reached := NewReachedTable(name)
	c.confirmer = &Confirmer{Self: name, Replica: log, Dialer: c.endpoint, Reached: reached}
	c.confirmer.Prepare()
	c.watches = &WatchServer{Store: store, Confirmer: c.confirmer, Reached: reached, Logger: p.Logger}
	c.members = &MemberLeader{Self: name, Log: log, Store: store, Observer: p.observer(), Logger: p.Logger}
	c.members.Prepare()
	c.crashes = quarantine.New(quarantine.Config{
		Tell: func(reports []message.CrashReport) {
			c.routes.SendReports(reports)
			c.keeper.Changed()
		},
		Logger: p.Logger,
	})
	c.keeper = &crashreports.Keeper{Folder: p.Settings.Control.DataFolder, Store: c.crashes, Logger: p.Logger}
	c.keeper.Load()
	c.quotas, c.limits = c.newQuotas(), c.newLimits()
	c.routes = &routewatch.Server{
		Store:     c.routing,
		Confirmed: func() (time.Duration, bool) { return c.confirmer.Age(time.Now()) },
		NextConfirmed: func() <-chan struct{} {
			_, next := c.confirmer.Last()
			return next
		},
		Self:     p.Settings.Peer.Listen,
		Controls: c.controls,
		Leader: func() string {
			_, address := c.replica.Leader()
			return address
		},
		Connected: func() bool { return c.LeaderIP() != "" },
		Reports:   c.crashes.Reports,
		Logger:    p.Logger,
	}
	c.routes.Prepare()
	c.observe(name)
	if len(p.Settings.Control.Seeds) > 0 {
		c.joiner = c.newJoiner(name)
	}
	c.publish(reached)
	c.metrics, err = p.serveMetrics(c.Ready)
	if err != nil {
		return err
	}
	return c.serveOperators(store, reached)
}

func (c *ControlProcess) serveOperators(store *operator.Store, reached *ReachedTable) error {
	s := c.process.Settings
	handler := operator.New(operator.Config{
		Node:    s.Node.Name,
		Log:     c.replica,
		Store:   store,
		Group:   c.replica,
		Routing: c,
		Reports: reached.List,
		// Operators ask a VM that hears the servers for how far they are.
		Announcements: c.members.Announcements,
		Confirmed:     func() (time.Duration, bool) { return c.confirmer.Age(time.Now()) },
		OperatorURL:   operatorURL(s),
		Tokens:        s.Operator.Tokens,
		Open:          s.Operator.Open,
		Registry:      c.process.metrics.Registerer(),
		Logger:        c.process.Logger,
	})
	server := &http.Server{Handler: c.process.Guard(handler), ReadHeaderTimeout: operatorHeaderTimeout}
	if c.process.Operators != nil {
		c.operators = serveOn(c.process.Operators, server, c.process.Logger)
		return nil
	}
	var err error
	c.operators, err = serveHTTP(s.Operator.Listen, server, c.process.Logger)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

// operatorURL finds the operators' address of a control VM by its name.
func operatorURL(s settings.Settings) func(string) string {
	own, err := netip.ParseAddrPort(s.Operator.Listen)
	seeded := len(s.Control.Seeds) > 0 && err == nil && !own.Addr().IsLoopback()
	return func(node string) string {
		if ip, err := netip.ParseAddr(node); seeded && err == nil {
			// Found through seeds, control VMs are named by their IP and share
			// their ports.
			return "http://" + netip.AddrPortFrom(ip, own.Port()).String()
		}
		for _, m := range s.Control.Members {
			if m.Name == node && m.OperatorAddress != "" {
				return "http://" + m.OperatorAddress
			}
		}
		return ""
	}
}

// Address is where peers reach the process.
func (c *ControlProcess) Address() string { return c.endpoint.Address() }

// OperatorAddress is where operators reach the process.
func (c *ControlProcess) OperatorAddress() string { return c.operators.address() }

// Stop hands leadership over and ends the process.
func (c *ControlProcess) Stop(ctx context.Context) error {
	return c.process.stopped(c.end(ctx), closeEndpoint(c.endpoint))
}

// StopTogether ends the process when the other control VMs stop at the same
// time: it hands no leadership over, and waits for no session of theirs.
func (c *ControlProcess) StopTogether(ctx context.Context) error {
	c.replica.StopTogether()
	return c.process.stopped(c.end(ctx), c.endpoint.Close())
}

// end has the log stop, and closes the ports for operators and metrics.
func (c *ControlProcess) end(ctx context.Context) error {
	c.cancel()
	closed := errors.Join(c.operators.close(), c.metrics.close())
	select {
	case <-c.done:
		return errors.Join(closed, c.ended)
	case <-ctx.Done():
		return errors.Join(closed, ctx.Err())
	}
}

// Kill ends the process at once, as one that dies.
func (c *ControlProcess) Kill() error {
	// The endpoint goes first: a VM that dies hands no leadership over.
	closed := errors.Join(c.endpoint.Close(), c.operators.close(), c.metrics.close())
	c.cancel()
	<-c.done
	return errors.Join(closed, c.ended)
}

func members(list []settings.Member) []message.Member {
	var members []message.Member
	for _, m := range list {
		members = append(members, message.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, Voter: true})
	}
	return members
}

// newQuotas counts what organisations ask for.
func (c *ControlProcess) newQuotas() *quota.Keeper {
	s := c.process.Settings.Control
	k := &quota.Keeper{
		Config:  quota.Config{Window: time.Duration(s.QuotaWindow), Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack},
		Routing: c.routing, Logger: c.process.Logger,
		Self: c.process.self(),
		Leader: func() string {
			name, _ := c.replica.Leader()
			return name
		},
		Members: func() int { return len(c.replica.Status().Members) },
	}
	k.Prepare()
	return k
}

// newLimits counts what is sent to backend servers that have named a limit.
func (c *ControlProcess) newLimits() *serverlimit.Keeper {
	k := &serverlimit.Keeper{
		Leads: c.Leads, Term: func() uint64 { return c.replica.Status().Term }, Logger: c.process.Logger,
	}
	k.Prepare()
	return k
}

func recordLimits(p settings.Policy) record.Limits {
	return record.Limits{
		KeepRecords: time.Duration(p.KeepRecords),
		KeepAnswers: time.Duration(p.KeepAnswers),
	}
}
