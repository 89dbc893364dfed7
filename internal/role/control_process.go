package role

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	controlpeer "github.com/oriolebend/oriolebend/internal/control"
	"github.com/oriolebend/oriolebend/internal/crashreports"
	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/placements"
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
	"github.com/oriolebend/oriolebend/internal/streamrecord"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// operatorHeaderTimeout bounds how long an operator's client may take to send
// the header of a request.
const operatorHeaderTimeout = 5 * time.Second

// ControlProcess is the running process of a control VM with its ports.
type ControlProcess struct {
	process      Process
	endpoint     *peer.Endpoint
	operators    *httpserver.Server
	metrics      *httpserver.Server
	replica      *replica.Replica
	records      *controlpeer.Server
	resolver     *controlpeer.Resolver
	confirmer    *Confirmer
	watches      *WatchServer
	members      *MemberLeader
	routing      *routing.Store
	routes       *routewatch.Server
	joiner       *Joiner
	pools        *PoolController
	places       *placements.Allocator
	observer     *routewatch.Follower
	controls     *disk.NoteWriter[savedControls]
	known        *knownServers // nil if restored servers are disabled
	crashes      *quarantine.Store
	crashReports *crashreports.DiskStore
	quotas       *quota.Server
	limits       *serverlimit.Server
	streams      streamrecord.Server
	streamStore  *streamrecord.DiskStore
	cancel       context.CancelFunc
	// done is closed once the replica has stopped; runErr is its error.
	done   chan struct{}
	runErr error
}

// StartControl starts the process of a control VM; Stop ends it.
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
	go process.crashReports.Run(ctx)
	go process.quotas.Run(ctx)
	go process.limits.Run(ctx)
	go process.streams.Run(ctx)
	go process.streamStore.Run(ctx)
	if process.joiner != nil {
		go process.joiner.Run(ctx)
	}
	if process.pools != nil {
		go process.pools.Run(ctx)
	}
	go process.places.Run(ctx)
	go process.observer.Run(ctx)
	go process.controls.Run(ctx)
	if process.known != nil {
		go process.known.list.Run(ctx)
	}
	go func() {
		defer close(process.done)
		process.runErr = process.replica.Run(ctx)
	}()
	return process, nil
}

// handlers returns the handlers of peer sessions. Each waits until ready is
// closed, as the process accepts sessions before it is built.
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
		message.KindQuotaLease: func(ctx context.Context, s peer.Stream) {
			<-ready
			c.quotas.ServeLeases(ctx, s)
		},
		message.KindLimitAsk:            func(ctx context.Context, s peer.Stream) { <-ready; c.limits.Serve(ctx, s) },
		message.KindStreamRecordRequest: c.streams.Serve,

		message.KindJoin:    func(ctx context.Context, s peer.Stream) { <-ready; c.serveJoin(ctx, s) },
		message.KindConfirm: func(ctx context.Context, s peer.Stream) { <-ready; c.confirmer.Serve(ctx, s) },
	}
	for _, kind := range message.AgreementKinds() {
		handlers[kind] = agreement
	}
	return handlers
}

// build creates the replicated log, its state machines and the servers of the
// process.
func (c *ControlProcess) build() error {
	p := c.process
	name := p.self()
	records := controlpeer.NewRecords()
	store := operator.NewStore()
	c.routing = routing.NewStore()
	log, err := c.newReplica(records, store)
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
		Gates: gateStatusClient{
			dialer:  c.endpoint,
			members: func() []oriolebend.Server { return store.View().Members() },
		},
		Recovery:   recovery.Config{Seed: newIncarnation()},
		Unresolved: func(reason oriolebend.Reason) { p.observer().Count("statusAsked", reason, "") },
	})
	reached := NewReachedTable(name)
	c.confirmer = &Confirmer{Self: name, Replica: log, Dialer: c.endpoint, Reached: reached}
	c.confirmer.Prepare()
	c.watches = &WatchServer{Store: store, Confirmer: c.confirmer, Reached: reached, Logger: p.Logger}
	c.members = &MemberLeader{Self: name, Log: log, Store: store, Observer: p.observer(), Logger: p.Logger}
	c.members.Prepare()
	c.crashes = quarantine.New(quarantine.Config{
		SendReports: func(reports []message.CrashReport) {
			c.routes.SendReports(reports)
			c.crashReports.RequestSave()
		},
		Logger: p.Logger,
	})
	c.loadSaved()
	c.quotas, c.limits = c.newQuotas(), c.newLimits()
	c.routes = &routewatch.Server{
		Store:     c.routing,
		Confirmed: func() (time.Duration, bool) { return c.confirmer.Age(time.Now()) },
		NextConfirmed: func() <-chan struct{} {
			_, next := c.confirmer.Last()
			return next
		},
		Self:     p.Settings.Peer.Listen,
		Controls: c.memberAddresses,
		Leader: func() string {
			_, address := c.replica.Leader()
			return address
		},
		Term:      func() uint64 { return c.replica.Status().Term },
		Connected: func() bool { return c.LeaderIP() != "" },
		Reports:   c.crashes.Reports,
		Logger:    p.Logger,
	}
	c.routes.Prepare()
	c.restoreServers()
	c.buildObserver(name)
	if len(p.Settings.Control.Seeds) > 0 {
		c.joiner = c.newJoiner(name)
	}
	c.registerMetrics(reached)
	c.registerRestored()
	c.metrics, err = p.serveMetrics(c.Ready)
	if err != nil {
		return err
	}
	return c.serveOperators(store, reached)
}

// newReplica opens the replicated log of the control VM, whose commands change the request records, the
// declared state and the routing.
func (c *ControlProcess) newReplica(records *controlpeer.Records, store *operator.Store) (*replica.Replica, error) {
	p := c.process
	return replica.New(replica.Config{
		Name:       p.self(),
		Members:    p.initialMembers(),
		JoinOnly:   p.joinOnly(),
		AddressOf:  p.addressOf(),
		DataFolder: p.Settings.Control.DataFolder,
		Dialer:     c.endpoint,
		Machine: control.NewMux(map[control.PartName]control.Machine{
			control.PartRecords:  records,
			control.PartDeclared: control.Enveloped{Machine: store, Part: control.PartDeclared},
			control.PartRouting:  c.routing,
		}),
		Logger:        p.Logger,
		MinVoters:     p.minVoters(),
		MinFreeBytes:  uint64(p.Settings.Control.MinFreeBytes),
		SnapshotBytes: p.Settings.Control.LogBytes,
	})
}

// loadSaved reads what this control VM has saved besides the log.
func (c *ControlProcess) loadSaved() {
	folder, logger := c.process.Settings.Control.DataFolder, c.process.Logger
	c.crashReports = &crashreports.DiskStore{Folder: folder, Store: c.crashes, Logger: logger}
	c.crashReports.Load()
	c.streamStore = &streamrecord.DiskStore{Folder: folder, Server: &c.streams, Logger: logger}
	c.streamStore.Load()
}

func (c *ControlProcess) serveOperators(store *operator.Store, reached *ReachedTable) error {
	s := c.process.Settings
	handler := operator.New(operator.Config{
		Node:    s.Node.Name,
		Log:     c.replica,
		Store:   store,
		Group:   c.replica,
		Routing: c,

		Quarantine: c.crashes,
		Reports:    reached.List,
		// Only the leader receives announcements, so operators must query it for
		// the progress of servers.
		Announcements: c.members.Announcements,
		Confirmed:     func() (time.Duration, bool) { return c.confirmer.Age(time.Now()) },
		OperatorURL:   operatorURL(s),
		Tokens:        s.Operator.Tokens,
		Open:          s.Operator.Open,
		Registry:      c.process.metrics.Registerer(),
		Logger:        c.process.Logger,
	})
	server := &http.Server{Handler: c.process.Guard(handler), ReadHeaderTimeout: operatorHeaderTimeout}
	config := c.process.httpConfig(server)
	if c.process.Operators != nil {
		c.operators = httpserver.Serve(c.process.Operators, config)
		return nil
	}
	var err error
	c.operators, err = httpserver.Listen(s.Operator.Listen, config)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

// operatorURL returns a function that maps the name of a control VM to the URL
// at which operators reach it, empty if unknown.
func operatorURL(s settings.Settings) func(string) string {
	own, err := netip.ParseAddrPort(s.Operator.Listen)
	seeded := len(s.Control.Seeds) > 0 && err == nil && !own.Addr().IsLoopback()
	return func(node string) string {
		if ip, err := netip.ParseAddr(node); seeded && err == nil {
			// Control VMs that are found through seeds are named by their IP and
			// listen on the same ports.
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

// Address returns the address at which peers reach the process.
func (c *ControlProcess) Address() string { return c.endpoint.Address() }

// OperatorAddress returns the address at which operators reach the process.
func (c *ControlProcess) OperatorAddress() string { return c.operators.Address() }

// Stop transfers the leadership and ends the process.
func (c *ControlProcess) Stop(ctx context.Context) error {
	return c.process.stopError(c.shutdown(ctx), closeEndpoint(c.endpoint))
}

// StopTogether ends the process when the other control VMs stop at the same
// time: it neither transfers the leadership nor waits for the other control VMs
// to close their sessions.
func (c *ControlProcess) StopTogether(ctx context.Context) error {
	c.replica.StopTogether()
	return c.process.stopError(c.shutdown(ctx), c.endpoint.Close())
}

// shutdown stops the replica and closes the ports for operators and metrics.
func (c *ControlProcess) shutdown(ctx context.Context) error {
	c.cancel()
	closed := errors.Join(c.operators.Close(), c.metrics.Close())
	select {
	case <-c.done:
		return errors.Join(closed, c.runErr)
	case <-ctx.Done():
		return errors.Join(closed, ctx.Err())
	}
}

// Kill ends the process at once, as a crash would.
func (c *ControlProcess) Kill() error {
	// The endpoint is closed first: a VM that crashes transfers no leadership.
	closed := errors.Join(c.endpoint.Close(), c.operators.Close(), c.metrics.Close())
	c.cancel()
	<-c.done
	return errors.Join(closed, c.runErr)
}

// membersFromSettings returns the listed control VMs as voters.
func membersFromSettings(list []settings.Member) []message.Member {
	var members []message.Member
	for _, m := range list {
		members = append(members, message.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, Voter: true})
	}
	return members
}

// newQuotas returns the server that counts requests against the quotas of
// organisations.
func (c *ControlProcess) newQuotas() *quota.Server {
	s := c.process.Settings.Control
	k := &quota.Server{
		Config: quota.Config{
			Window: time.Duration(s.QuotaWindow), Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack,
			DisableRanks: !s.Enabled(settings.FeatureQuotaRanks),
		},
		Routing: c.routing, Logger: c.process.Logger,
		Self: c.process.self(),
		Leader: func() string {
			name, _ := c.replica.Leader()
			return name
		},
		Members: func() int { return len(c.replica.Status().Members) },
	}
	if s.Enabled(settings.FeatureQuotaLeases) {
		k.Leases = &quota.Leases{Dialer: c.endpoint, Members: c.voters, Lost: c.replica.Leaderless}
	}
	k.Prepare()
	return k
}

// voters returns the voting members, none while this control VM has lost its log and may not know
// them.
func (c *ControlProcess) voters() []message.Member {
	status := c.replica.Status()
	if status.Recovering {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(status.Members), func(m message.Member) bool { return !m.Voter })
}

// newLimits returns the server that counts the requests sent to backend servers
// that have reported a limit.
func (c *ControlProcess) newLimits() *serverlimit.Server {
	k := &serverlimit.Server{
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
