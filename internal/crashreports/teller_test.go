package crashreports

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

const (
	// settle is after what time a request that crashes servers must be known everywhere.
	settle = 3 * time.Second
	// known is how many other forwarders each one knows at least, of forty.
	known = 5
)

// node is one forwarder that tells others under which requests servers ended.
type node struct {
	store  *quarantine.Store
	teller *Sender
}

// newNode starts a forwarder at an address that reaches the control VMs and the peers
// given.
func newNode(ctx context.Context, network *peertest.Network, address string, controls, peers func() []string) *node {
	n := &node{teller: &Sender{
		Dialer: network.Dialer(address), Controls: controls, Peers: peers, Logger: slog.New(slog.DiscardHandler),
	}}
	n.teller.Prepare()
	n.store = quarantine.New(quarantine.Config{SendsRequests: true, SendReports: n.teller.Send})
	network.Listen(ctx, address, address, Serve(n.store))
	go n.teller.Run(ctx)
	return n
}

func nobody() []string { return nil }

func (n *node) held() bool {
	_, held := n.store.Quarantined(1)
	return held
}

// Symptom: a request ends servers again after it has become known, while no control VM is
// reached. Sequence: three of forty forwarders have seen it end one server each; each
// forwarder knows five others. Cause: news that stop at those who heard it first.
func TestTellingWithoutControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := peertest.NewNetwork(1)
		const count = 40
		var addresses []string
		for i := range count {
			addresses = append(addresses, fmt.Sprintf("f%d:1", i))
		}
		var nodes []*node
		for i, address := range addresses {
			others := append(append([]string{}, addresses[:i]...), addresses[i+1:]...)
			peers := policy.Nearest(address, others, known)
			nodes = append(nodes, newNode(ctx, network, address, nobody, func() []string { return peers }))
		}
		for i := range quarantine.Limit {
			nodes[i*10].store.Crashed(1, message.BackendServer{Instance: fmt.Sprint(i)}, time.Time{})
		}
		time.Sleep(settle / 3)
		synctest.Wait()
		for _, n := range nodes {
			is.True(n.held())
		}
		cancel()
		synctest.Wait()
	})
}

// Symptom: one forwarder goes on sending a request that crashes servers. Sequence: the
// control VMs that its ends are told to are lost at that moment; they are believed to be
// reached until they have been silent for a while. Cause: a telling that is not repeated.
func TestTellingWhileControlIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := peertest.NewNetwork(1)
		var controls atomic.Pointer[[]string]
		controls.Store(&[]string{"lost-1:1", "lost-2:1", "lost-3:1"})
		first := newNode(ctx, network, "first:1",
			func() []string { return *controls.Load() }, func() []string { return []string{"second:1"} })
		second := newNode(ctx, network, "second:1", nobody, nobody)
		for i := range quarantine.Limit {
			first.store.Crashed(1, message.BackendServer{Instance: fmt.Sprint(i)}, time.Time{})
		}
		is.True(first.held())
		time.Sleep(deliverAgain / 2)
		controls.Store(&[]string{}) // now it shows
		time.Sleep(settle - deliverAgain/2)
		synctest.Wait()
		is.True(second.held())
		cancel()
		synctest.Wait()
	})
}

// Symptom: a link of 10 Mbit/s is full after a failure domain was lost. Sequence: servers
// end with thousands of requests; each is reported. Cause: reports that are told to
// everybody. A control VM tells on only those of several servers.
func TestControlTellsOnlyWhatSeveralServersEndedUnder(t *testing.T) {
	is := is.New(t)
	told := 0
	store := quarantine.New(quarantine.Config{SendReports: func(reports []message.CrashReport) { told += len(reports) }})
	var reports []message.CrashReport
	for i := range 1000 {
		reports = append(reports, message.CrashReport{Fingerprint: uint64(i + 10), Instance: fmt.Sprint(i % 40)})
	}
	for i := range quarantine.Limit {
		reports = append(reports, message.CrashReport{Fingerprint: 1, Instance: fmt.Sprint(i)})
	}
	store.ApplyReports(reports, true)
	is.Equal(told, quarantine.Limit)
	is.Equal(len(store.Reports()), quarantine.Limit) // and to those who come later
}
