package routewatch

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// startObservingServer starts a control VM that watches others until the returned function ends it.
// members are the control VMs in its log; a relay has none.
func startObservingServer(t *testing.T, network *peertest.Network, address string, members, seeds []string) (*Server, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := newServer(func(r *Server) { r.Controls = func() []string { return slices.Clone(members) } })
	network.Listen(ctx, address, address, r.Serve)
	f := &Follower{
		Dialer: network.Dialer(address), Seeds: slices.Concat(seeds, members), MaxFormer: 4, Observers: r.Observers,
		Watch: message.RouteWatch{Node: address, Observes: true, Address: address},
		Sink:  &serversSink{servers: registry.Servers{}}, Logger: slog.New(slog.DiscardHandler),
	}
	go f.Run(ctx)
	return r, cancel
}

// Guards against relays that no member finds after a restart with seeds that are relays, so that a
// successor with the same seeds never joins.
func TestRelayThatRestartsIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := peertest.NewNetwork(1)
		members := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		for _, address := range members {
			_, end := startObservingServer(t, network, address, members, nil)
			defer end()
		}
		const relay = "10.0.0.9:1"
		_, end := startObservingServer(t, network, relay, nil, members)
		time.Sleep(time.Second)
		end()
		time.Sleep(time.Minute)
		restarted, end := startObservingServer(t, network, relay, nil, []string{relay})
		defer end()
		time.Sleep(4 * time.Second)
		is.Equal(fmt.Sprint(restarted.controlAddresses()), fmt.Sprint(append(members, relay)))
	})
}
