package role

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	controlpeer "github.com/oriolebend/oriolebend/internal/control"
	"github.com/oriolebend/oriolebend/internal/httpserver"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// defaultStopDelay is how long a stopping entry fails the load balancer's health
// check before it refuses connections.
const defaultStopDelay = 3 * time.Second

// EntryProcess is the running process of an entry with its ports.
type EntryProcess struct {
	process  Process
	entry    *Entry
	endpoint *peer.Endpoint
	callers  *httpserver.Server
	metrics  *httpserver.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// StartEntry starts an entry; Stop ends it.
func StartEntry(p Process) (*EntryProcess, error) {
	p = p.withMetrics(peer.RoleEntry)
	process := &EntryProcess{process: p, done: make(chan struct{})}
	ready := make(chan struct{})
	endpoint, err := p.listen(map[message.Kind]peer.Handler{
		message.KindFollow: func(ctx context.Context, s peer.Stream) { <-ready; process.entry.ServeFollow(ctx, s) },
	})
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	owner := fmt.Sprintf("%s/%d", p.Settings.Node.Name, newIncarnation())
	records := controlpeer.NewClient(controlpeer.ClientConfig{
		Dialer:       endpoint,
		Members:      p.controlAddresses(),
		Owner:        owner,
		OwnerAddress: endpoint.Address(),
		Retried:      func(reason oriolebend.Reason) { p.observer().Count("controlRetry", reason, "") },
		Dropped:      func() { p.observer().Count("controlDropped", oriolebend.ReasonControlAway, "") },
	})
	e := NewEntry(EntryConfig{
		Reducer:  p.entryReducerConfig(owner),
		Follow:   p.followConfig("entry"),
		Dialer:   endpoint,
		Records:  records,
		Observer: p.observer(),
		Logger:   p.Logger,
	})
	handler := caller.New(caller.Config{
		Router:        e,
		Caller:        p.Settings.Caller,
		Held:          p.Held,
		Organisations: p.Settings.Organisations,
		Operations:    p.Settings.Operations,
		Services:      p.Settings.Services,
		Policy:        p.Settings.Policy,
		Logger:        p.Logger,
		Metrics:       p.metrics,
		CountTokens:   prefix.CountTokens,
		Fingerprint:   fingerprintOf,
		Prefix: func(model, prompt string) []uint64 {
			return prefix.Hashes(model, prompt, prefix.BlockTokens, prefix.MaxHashes)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	process.entry, process.endpoint, process.cancel = e, endpoint, cancel
	close(ready)
	if err := process.serve(ctx, handler); err != nil {
		cancel()
		return nil, errors.Join(err, endpoint.Close())
	}
	p.metrics.Gauge("servers_serving", "Backend servers that accept new work, as far as this entry knows.", func() float64 { return float64(e.serving()) })
	p.metrics.Gauge("events_waiting", "Events in the queue of the reducer.", func() float64 { return float64(e.loop.Waiting()) })
	p.metrics.Gauge("declared_age_seconds", "Time since the declared state in force was known to be the newest.", func() float64 { return e.follower.Age().Seconds() })
	var running sync.WaitGroup
	running.Go(func() { e.Run(ctx) })
	running.Go(func() { records.Run(ctx) })
	go func() {
		running.Wait()
		close(process.done)
	}()
	return process, nil
}

// serve opens the ports for callers and metrics.
func (p *EntryProcess) serve(ctx context.Context, handler http.Handler) error {
	s, logger := p.process.Settings, p.process.Logger
	var err error
	p.metrics, err = p.process.serveMetrics(p.Ready)
	if err != nil || s.Caller.Listen == "" {
		return err
	}
	listener, err := caller.Listen(ctx, s.Caller)
	if err != nil {
		return errors.Join(err, p.metrics.Close())
	}
	config := p.process.httpConfig(caller.Server(s.Caller, handler, logger))
	config.MaxConnections = math.MaxInt // the listener bounds them
	p.callers = httpserver.Serve(listener, config)
	return nil
}

func (p Process) entryReducerConfig(owner string) entry.Config {
	organisations := map[string]entry.Organisation{}
	for _, o := range p.Settings.Organisations {
		organisations[o.Name] = entry.Organisation{Share: o.Share}
	}
	return entry.Config{
		Name:          p.Settings.Node.Name,
		Owner:         owner,
		Region:        p.Settings.Node.Region,
		FailureDomain: p.Settings.Node.FailureDomain,
		Seed:          newIncarnation(),
		Route:         policy.Name(p.Settings.Policy.Route),
		FirstWithin:   time.Duration(p.Settings.Policy.FirstWithin),
		BetweenWithin: time.Duration(p.Settings.Policy.BetweenWithin),
		Organisations: organisations,
	}
}

// Address returns the address at which callers reach the entry.
func (p *EntryProcess) Address() string { return p.callers.Address() }

// Ready reports whether the entry can route requests.
func (p *EntryProcess) Ready() bool { return p.entry.Ready() }

// Stop ends the entry gracefully. It refuses new requests and waits until the requests
// in progress have ended. It then waits until the load balancer has removed the entry,
// and closes the ports. It returns an error if ctx ends first.
func (p *EntryProcess) Stop(ctx context.Context) error {
	delay := p.process.Settings.Caller.StopDelay.Or(defaultStopDelay)
	drained := p.entry.Stop(ctx)
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	closed := p.callers.Stop(ctx)
	p.cancel()
	<-p.done
	return p.process.stopError(drained, closed, closeEndpoint(p.endpoint), p.metrics.Close())
}

// Kill ends the entry at once, as a crash would; it hands over nothing.
func (p *EntryProcess) Kill() error {
	// The endpoint is closed first: messages that the entry sends while it ends
	// must not reach its peers.
	closed := errors.Join(p.endpoint.Close(), p.callers.Close(), p.metrics.Close())
	p.cancel()
	<-p.done
	return closed
}
