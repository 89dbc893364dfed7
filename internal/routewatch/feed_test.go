package routewatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// routingSink counts the routings that a forwarder receives, and records when it first has
// each version.
type routingSink struct {
	mutex    sync.Mutex
	version  uint64
	received int
	since    map[uint64]time.Time
}

func (s *routingSink) SetRouting(r oriolebend.Routing) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received++
	if r.Version > s.version {
		s.version, s.since[r.Version] = r.Version, time.Now()
	}
}

func (s *routingSink) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

func (s *routingSink) ChangeServers(registry.Changes, int) {}
func (s *routingSink) Loads() []message.ServiceLoad        { return nil }
func (s *routingSink) Expire()                             {}

// feedSite holds control VMs that all have the routing, and forwarders that watch all of them.
type feedSite struct {
	network *peertest.Network
	stores  []*routing.Store
	sinks   []*routingSink
}

func newFeedSite(ctx context.Context, controls, forwarders int) *feedSite {
	return newPartFeedSite(ctx, controls, controls, forwarders)
}

// newPartFeedSite is newFeedSite with only the first up control VMs running.
func newPartFeedSite(ctx context.Context, controls, up, forwarders int) *feedSite {
	s := &feedSite{network: peertest.NewNetwork(1)}
	s.network.Degrade(0, time.Millisecond)
	var addresses []string
	for i := range controls {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for _, address := range addresses[:up] {
		r := newServer(func(r *Server) {
			r.Self = address
			r.Controls = func() []string { return addresses }
			r.Leader = func() string { return addresses[0] }
		})
		s.stores = append(s.stores, r.Store)
		s.network.Listen(ctx, address, address, r.Serve)
	}
	for i := range forwarders {
		sink := &routingSink{since: map[uint64]time.Time{}}
		name := fmt.Sprintf("f%d", i)
		f := &Follower{
			Dialer: s.network.Dialer(name), Seeds: addresses, Watch: message.RouteWatch{Node: name},
			Sink: sink, Logger: slog.New(slog.DiscardHandler),
		}
		s.sinks = append(s.sinks, sink)
		go f.Run(ctx)
	}
	return s
}

// declare brings a version into force on all control VMs.
func (s *feedSite) declare(t *testing.T, version uint64) time.Time {
	t.Helper()
	command, err := cbor.Marshal(routing.Replace{Routing: oriolebend.Routing{Version: version}})
	is.New(t).NoErr(err)
	for _, store := range s.stores {
		store.Apply(0, command)
	}
	return time.Now()
}

// Guards against the loss of the leader for half a second after two changes of the
// configuration in a row, on a site of a hundred forwarders without any failure. Each of five
// control VMs, the leader too, sent each routing of 9 KB to each forwarder at the same moment,
// where one copy is enough; the leader's heartbeats waited behind these messages.
func TestRoutingIsSentOnceToEachForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newFeedSite(ctx, 5, 40)
		time.Sleep(2 * time.Second)
		for version := range uint64(10) {
			declared := s.declare(t, version+1)
			time.Sleep(30 * time.Millisecond)
			for _, sink := range s.sinks {
				is.Equal(sink.Version(), version+1)
				is.True(sink.since[version+1].Sub(declared) <= 2*time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		for _, sink := range s.sinks {
			is.Equal(sink.received, 10)
		}
		cancel()
		time.Sleep(time.Second) // messages in flight arrive, and all goroutines end
	})
}

// Guards against a forwarder that keeps an old routing: the control VM that is first in its order
// is partitioned from it, and the others wait for that one forever. The next ones in the order
// must send the routing instead, one after the other.
func TestRoutingComesFromTheNextControlVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newFeedSite(ctx, 5, 20)
		time.Sleep(2 * time.Second)
		for _, control := range []int{1, 2, 3} {
			for i := range s.sinks {
				s.network.Cut(fmt.Sprintf("10.0.0.%d:1", control), fmt.Sprintf("f%d", i))
			}
		}
		declared := s.declare(t, 1)
		time.Sleep(time.Second)
		for _, sink := range s.sinks {
			is.Equal(sink.Version(), uint64(1))
			is.True(sink.since[1].Sub(declared) <= 4*routingFallbackDelay)
		}
		cancel()
		time.Sleep(time.Second) // messages in flight arrive, and all goroutines end
	})
}

// Guards against forwarders that, after a restart of the whole system, receive the routing only
// half a second after the leader is elected. Each has reached one control VM by then and opens
// the other sessions one after the other; that control VM left the routing to those before it
// in the forwarder's order, although the forwarder did not watch them yet.
func TestRoutingComesFromTheFirstControlVMAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newPartFeedSite(ctx, 8, 1, 40)
		time.Sleep(time.Second)
		declared := s.declare(t, 1)
		time.Sleep(time.Second)
		for _, sink := range s.sinks {
			is.Equal(sink.Version(), uint64(1))
			is.True(sink.since[1].Sub(declared) <= 10*time.Millisecond)
		}
		cancel()
		time.Sleep(time.Second) // messages in flight arrive, and all goroutines end
	})
}

// Guards against a forwarder that has just started and sends a request that is known to crash servers:
// it must know the crash reports when it receives its first routing.
func TestCrashReportsGoBeforeTheFirstRouting(t *testing.T) {
	is := is.New(t)
	sink := &routingSink{since: map[uint64]time.Time{}}
	reported := 0
	f := &Follower{Sink: sink, Logger: slog.New(slog.DiscardHandler), view: registry.NewView(), Reports: func(list []message.CrashReport) {
		reported += len(list)
		is.Equal(sink.Version(), uint64(0))
	}}
	declared, err := cbor.Marshal(oriolebend.Routing{Version: 7})
	is.NoErr(err)
	is.True(f.applyUpdate(&link{}, nil, message.RouteUpdate{Routing: declared, Reports: []message.CrashReport{{Fingerprint: 1}}}))
	is.Equal(reported, 1)
	is.Equal(sink.Version(), uint64(7))
}
