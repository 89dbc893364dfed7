package role

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/metrics"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// loopback is a loopback address whose port the system chooses.
	loopback = "127.0.0.1:0"
	// readyPollInterval is how often Dev checks whether its entries can route.
	readyPollInterval = 10 * time.Millisecond
	// devStopDelay replaces the wait for a load balancer, which Dev does not have.
	devStopDelay = time.Millisecond
)

// Dev runs control VMs, sidecars, entries and the stand-ins for backend servers in
// one process. They communicate over real sockets on loopback.
type Dev struct {
	settings  settings.Settings
	logger    *slog.Logger
	authority *peer.Authority
	folder    string
	standins  []*standin.Server
	// failureMutex is held while a failure begins or ends. failures waits for the
	// failures in progress.
	failureMutex sync.Mutex
	failures     sync.WaitGroup
	stopping     chan struct{}
	metrics      *httpserver.Server

	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	// Ledgers counts the executions of each service across all its stand-ins.
	Ledgers  map[string]*standin.Ledger
	Controls []*ControlProcess
	Sidecars map[string]*SidecarProcess
	Entries  []*EntryProcess
}

// maxStartTries bounds how often Dev is started again after another process took a
// port that Dev had chosen as free and not yet opened.
const maxStartTries = 3

// StartDev starts the roles and stand-ins that the dev table of the settings
// describes; Stop ends them and removes the files that they wrote.
func StartDev(s settings.Settings, logger *slog.Logger) (*Dev, error) {
	for try := 1; ; try++ {
		d, err := startDevOnce(s, logger)
		if try == maxStartTries || !errors.Is(err, syscall.EADDRINUSE) {
			return d, err
		}
	}
}

func startDevOnce(s settings.Settings, logger *slog.Logger) (*Dev, error) {
	authority, err := peer.DevAuthority()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "oriolebend-dev-")
	if err != nil {
		return nil, err
	}
	d := &Dev{
		settings:  s,
		logger:    logger,
		authority: authority,
		folder:    folder,
		Ledgers:   map[string]*standin.Ledger{},
		Engines:   map[string]*standin.Engine{},
		Services:  map[string]*standin.Service{},
		Sidecars:  map[string]*SidecarProcess{},
		stopping:  make(chan struct{}),
	}
	d.settings.Control.Members = slices.Clone(s.Control.Members)
	if err := d.start(); err != nil {
		stopContext, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return nil, errors.Join(err, d.Stop(stopContext))
	}
	return d, nil
}

func (d *Dev) start() error {
	if err := d.startControls(); err != nil {
		return err
	}
	for _, group := range d.settings.Dev.Servers {
		for n := range group.Count {
			if err := d.startServer(group, n); err != nil {
				return err
			}
		}
	}
	for n := range max(1, d.settings.Dev.Entries) {
		if err := d.startEntry(n); err != nil {
			return err
		}
	}
	return d.serveMetrics()
}

// serveMetrics serves the metrics of all roles on one port.
func (d *Dev) serveMetrics() error {
	var all []*metrics.Metrics
	for _, c := range d.Controls {
		all = append(all, c.process.metrics)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Sidecars)) {
		all = append(all, d.Sidecars[name].process.metrics)
	}
	for _, e := range d.Entries {
		all = append(all, e.process.metrics)
	}
	server := metrics.Server(metrics.HandlerConfig{Metrics: all, Ready: d.ready})
	routes := http.NewServeMux()
	routes.Handle("/", server.Handler)
	routes.HandleFunc("POST /dev/failures", d.serveFailures)
	server.Handler = routes
	var err error
	d.metrics, err = httpserver.Listen(cmp.Or(d.settings.Metrics.Listen, loopback), httpserver.Config{Server: server, Logger: d.logger})
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// MetricsAddress returns the address at which the metrics of all roles are served.
func (d *Dev) MetricsAddress() string { return d.metrics.Address() }

// process returns the settings and credentials of one role's process.
func (d *Dev) process(role, name, failureDomain string) (Process, error) {
	material, err := d.authority.Issue(peer.Identity{Role: role, Name: name})
	if err != nil {
		return Process{}, err
	}
	s := d.settings
	s.Node = settings.Node{Name: name, Region: s.Node.Region, FailureDomain: failureDomain}
	s.Peer.Listen = loopback
	s.Metrics.Listen = "" // one port serves the metrics of all roles
	s.Control.Members = slices.Clone(d.settings.Control.Members)
	return Process{Settings: s, Credentials: peer.Fixed(material), Logger: d.logger.With("node", name)}, nil
}

// startControls starts the processes of the control VMs. Each needs the addresses of
// all of them, so all ports are opened before the first process starts. They are
// kept open, because another process might take a port that was only found to be
// free.
func (d *Dev) startControls() error {
	count := max(1, d.settings.Dev.Controls)
	domains := failureDomains(d.settings.Dev.Servers)
	opened := make([]controlPorts, count)
	for n := range count {
		ports, err := d.openPorts(n)
		if err != nil {
			return err
		}
		opened[n] = ports
		m := ports.member(n)
		if len(domains) > 0 {
			m.FailureDomain = domains[n%len(domains)]
		}
		d.settings.Control.Members = append(d.settings.Control.Members, m)
	}
	for n, ports := range opened {
		if err := d.startControl(n, ports); err != nil {
			return err
		}
	}
	return nil
}

// controlPorts holds the open ports for the process of one control VM.
type controlPorts struct {
	peers     net.PacketConn
	operators net.Listener
}

// openPorts opens the ports of a control VM. The first VM listens for operators at
// the address in the settings.
func (d *Dev) openPorts(n int) (controlPorts, error) {
	address := loopback
	if n == 0 {
		address = cmp.Or(d.settings.Operator.Listen, loopback)
	}
	operators, err := net.Listen("tcp", address)
	if err != nil {
		return controlPorts{}, err
	}
	peers, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return controlPorts{}, errors.Join(err, operators.Close())
	}
	return controlPorts{peers: peers, operators: operators}, nil
}

// member returns the settings of the control VM with these ports. They include its
// address for operators, because a control VM that does not lead redirects
// operators' orders to the leader's.
func (c controlPorts) member(n int) settings.Member {
	return settings.Member{
		Name:            fmt.Sprintf("control-%d", n+1),
		Address:         c.peers.LocalAddr().String(),
		OperatorAddress: c.operators.Addr().String(),
	}
}

// startControl starts the process of one control VM.
func (d *Dev) startControl(n int, ports controlPorts) error {
	m := d.settings.Control.Members[n]
	p, err := d.process("control", m.Name, m.FailureDomain)
	if err != nil {
		return err
	}
	p.Settings.Peer.Listen = m.Address
	p.Socket, p.Operators = ports.peers, ports.operators
	p.Settings.Control.DataFolder = filepath.Join(d.folder, m.Name)
	p.Settings.Operator.Listen = m.OperatorAddress
	c, err := StartControl(p)
	if err != nil {
		return fmt.Errorf("start %s: %w", m.Name, err)
	}
	d.Controls = append(d.Controls, c)
	return nil
}

// failureDomains lists the failure domains of the stand-ins, each once.
func failureDomains(groups []settings.DevServer) []string {
	var domains []string
	for _, group := range groups {
		for _, domain := range group.FailureDomains {
			if !slices.Contains(domains, domain) {
				domains = append(domains, domain)
			}
		}
	}
	return domains
}

// startServer starts one stand-in and its sidecar.
func (d *Dev) startServer(group settings.DevServer, n int) error {
	name := fmt.Sprintf("%s%d", group.NamePrefix, n+1)
	domain := ""
	if len(group.FailureDomains) > 0 {
		domain = group.FailureDomains[n%len(group.FailureDomains)]
	}
	p, err := d.process("sidecar", name+"-sidecar", domain)
	if err != nil {
		return err
	}
	p.Settings.Sidecar = settings.Sidecar{Server: name}
	if err := d.startStandin(group, name, &p.Settings.Sidecar); err != nil {
		return fmt.Errorf("start the stand-in %s: %w", name, err)
	}
	sidecar, err := StartSidecar(p)
	if err != nil {
		return fmt.Errorf("start the sidecar of %s: %w", name, err)
	}
	d.Sidecars[name] = sidecar
	return nil
}

func (d *Dev) startStandin(group settings.DevServer, name string, s *settings.Sidecar) error {
	if group.Role == oriolebend.Service {
		fake := standin.NewService(standin.ServiceConfig{Name: name, Ledger: d.ledger(group.Service)})
		server, err := standin.Serve(fake.Handler())
		if err != nil {
			return err
		}
		d.standins = append(d.standins, server)
		d.Services[name] = fake
		s.Service, s.ServiceURL = group.Service, server.URL()
		return nil
	}
	fake := standin.NewEngine(engineConfig(group, name))
	server, err := standin.Serve(fake.Handler())
	if err != nil {
		return err
	}
	d.standins = append(d.standins, server)
	d.Engines[name] = fake
	s.Engine = server.URL()
	return nil
}

// ledger returns the ledger that all stand-ins of one service share. It shows calls
// that two of them executed, and gives each the outcome of the others' calls.
func (d *Dev) ledger(service string) *standin.Ledger {
	if d.Ledgers[service] == nil {
		d.Ledgers[service] = standin.NewLedger()
	}
	return d.Ledgers[service]
}

func engineConfig(group settings.DevServer, name string) standin.EngineConfig {
	return standin.EngineConfig{
		Name:           name,
		Role:           group.Role,
		Models:         []oriolebend.LoadedModel{{Model: group.Model, Version: group.Version, Adapters: group.Adapters}},
		PrefillTokens:  group.PrefillTokens,
		DecodeStep:     time.Duration(group.DecodeStep),
		KVTokens:       group.KVTokens,
		LinkBytes:      group.LinkBytes,
		IgnoresFencing: group.IgnoresFencing,
	}
}

// startEntry starts one entry; the first listens at the address in the settings.
func (d *Dev) startEntry(n int) error {
	p, err := d.process("entry", fmt.Sprintf("entry-%d", n+1), "")
	if err != nil {
		return err
	}
	p.Settings.Caller.StopDelay = settings.Duration(devStopDelay)
	if n > 0 || p.Settings.Caller.Listen == "" {
		p.Settings.Caller.Listen = loopback
	}
	e, err := StartEntry(p)
	if err != nil {
		return fmt.Errorf("start entry-%d: %w", n+1, err)
	}
	d.Entries = append(d.Entries, e)
	return nil
}

// Ready waits until every entry can route requests to every server.
func (d *Dev) Ready(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (d *Dev) ready() bool {
	d.failureMutex.Lock()
	defer d.failureMutex.Unlock()
	for _, e := range d.Entries {
		if e.entry.serving() < len(d.Sidecars) {
			return false
		}
	}
	return true
}

// Stop ends all roles and stand-ins gracefully, entries first, and removes the
// temporary folder.
func (d *Dev) Stop(ctx context.Context) error {
	errs := []error{d.metrics.Close()}
	close(d.stopping)
	d.failures.Wait()
	errs = append(errs, stopAll(ctx, d.Entries, (*EntryProcess).Stop))
	errs = append(errs, stopAll(ctx, slices.Collect(maps.Values(d.Sidecars)), (*SidecarProcess).Stop))
	errs = append(errs, stopAll(ctx, d.Controls, (*ControlProcess).StopTogether))
	for _, e := range d.Engines {
		e.Close()
	}
	for _, s := range d.standins {
		errs = append(errs, s.Close())
	}
	errs = append(errs, os.RemoveAll(d.folder))
	return errors.Join(errs...)
}

// stopAll stops the processes of one role concurrently.
func stopAll[P any](ctx context.Context, processes []P, stop func(P, context.Context) error) error {
	errs := make([]error, len(processes))
	var all sync.WaitGroup
	for i, p := range processes {
		all.Go(func() { errs[i] = stop(p, ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}
