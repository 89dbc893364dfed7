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
	// propagationBound is the time after which a request that crashes servers must be known
	// everywhere.
	propagationBound = 3 * time.Second
	// peerCount is the smallest number of other forwarders that each of forty forwarders knows.
	peerCount = 5
)

// node is one forwarder that sends its crash reports to others.
type node struct {
	store  *quarantine.Store
	sender *Sender
}

// newNode starts a forwarder at an address, with the given connected control VMs and peers.
func newNode(ctx context.Context, network *peertest.Network, address string, controls, peers func() []string) *node {
	n := &node{sender: &Sender{
		Dialer: network.Dialer(address), Controls: controls, Peers: peers, Logger: slog.New(slog.DiscardHandler),
	}}
	n.sender.Prepare()
	n.store = quarantine.New(quarantine.Config{SendsRequests: true, SendReports: n.sender.Send})
	network.Listen(ctx, address, address, Serve(n.store))
	go n.sender.Run(ctx)
	return n
}

func none() []string { return nil }

func (n *node) quarantined() bool {
	_, quarantined := n.store.Quarantined(quarantine.Suspects{Request: 1})
	return quarantined
}

// Guards against a request that is quarantined at some forwarders only while no control VM is
// connected. Three of forty forwarders have each seen it crash one server; each forwarder knows
// five others. Forwarders must send on the reports that they receive.
func TestPropagationWithoutControl(t *testing.T) {
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
			peers := policy.Nearest(address, others, peerCount)
			nodes = append(nodes, newNode(ctx, network, address, none, func() []string { return peers }))
		}
		for i := range quarantine.Limit {
			nodes[i*10].store.Crashed(quarantine.Suspects{Request: 1}, message.BackendServer{Instance: fmt.Sprint(i)}, time.Now(), time.Time{})
		}
		time.Sleep(propagationBound / 3)
		synctest.Wait()
		for _, n := range nodes {
			is.True(n.quarantined())
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a forwarder that keeps sending a request that crashes servers. The control VMs
// that receive its reports are lost at that moment, and count as connected until their sessions
// time out. A failed delivery must be repeated.
func TestPropagationWhileControlIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := peertest.NewNetwork(1)
		var controls atomic.Pointer[[]string]
		controls.Store(&[]string{"lost-1:1", "lost-2:1", "lost-3:1"})
		first := newNode(ctx, network, "first:1",
			func() []string { return *controls.Load() }, func() []string { return []string{"second:1"} })
		second := newNode(ctx, network, "second:1", none, none)
		for i := range quarantine.Limit {
			first.store.Crashed(quarantine.Suspects{Request: 1}, message.BackendServer{Instance: fmt.Sprint(i)}, time.Now(), time.Time{})
		}
		is.True(first.quarantined())
		time.Sleep(redeliveryDelay / 2)
		controls.Store(&[]string{}) // the loss is detected
		time.Sleep(propagationBound - redeliveryDelay/2)
		synctest.Wait()
		is.True(second.quarantined())
		cancel()
		synctest.Wait()
	})
}

// Guards against a saturated link of 10 Mbit/s after a failure domain was lost: servers crash with
// thousands of requests in progress, and each is reported. A control VM sends on only the reports
// of requests under which several servers crashed.
func TestControlForwardsOnlyRepeatedCrashes(t *testing.T) {
	is := is.New(t)
	sent := 0
	store := quarantine.New(quarantine.Config{SendReports: func(reports []message.CrashReport) { sent += len(reports) }})
	var reports []message.CrashReport
	for i := range 1000 {
		reports = append(reports, message.CrashReport{Fingerprint: uint64(i + 10), Instance: fmt.Sprint(i % 40)})
	}
	for i := range quarantine.Limit {
		reports = append(reports, message.CrashReport{Fingerprint: 1, Instance: fmt.Sprint(i)})
	}
	store.ApplyReports(reports, true)
	is.Equal(sent, quarantine.Limit)
	is.Equal(len(store.Reports()), quarantine.Limit) // also for processes that connect later
}

// Guards against a batch of crashes that other processes take for a lost failure domain: of two reports of
// one crash in one delivery, the one that knows less is kept.
func TestDeliveryKeepsThatADomainServes(t *testing.T) {
	is := is.New(t)
	early := message.CrashReport{Fingerprint: 1, Instance: "i", Requests: []uint64{1}}
	late := early
	late.DomainServes = true
	more := early
	more.Requests = []uint64{1, 2}
	for _, order := range [][]message.CrashReport{{early, late, more}, {late, more, early}, {more, early, late}} {
		merged := delivery{}.merge(delivery{}, order...)
		is.Equal(len(merged.reports), 1)
		is.True(merged.reports[0].DomainServes)
		is.Equal(len(merged.reports[0].Requests), 2)
	}
}
