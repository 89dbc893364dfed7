package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// group is several control VMs that count, and forwarders that query them.
type group struct {
	network *peertest.Network
	servers map[string]*Server
	// leader is the leading control VM, and known the one that forwarders believe to lead.
	leader, known atomic.Value
	addresses     []string
}

const client = "f:1"

// newGroup starts control VMs with one declared organisation that has a quota. change changes a server
// before it is started.
func newGroup(ctx context.Context, t *testing.T, count int, q oriolebend.Quota, change ...func(*group, *Server)) *group {
	t.Helper()
	g := &group{network: peertest.NewNetwork(1), servers: map[string]*Server{}}
	store := routing.NewStore()
	if q.Bounded() {
		declareQuota(t, store, q)
	}
	for i := range count {
		address := fmt.Sprintf("c%d:1", i)
		g.addresses = append(g.addresses, address)
		s := &Server{
			Config: Config{Slack: 1000}, Routing: store, Logger: slog.New(slog.DiscardHandler),
			Self: address, Leader: func() string { return loadAddress(&g.leader) }, Members: func() int { return count },
		}
		for _, f := range change {
			f(g, s)
		}
		s.Prepare()
		g.servers[address] = s
		go s.Run(ctx)
		g.network.Listen(ctx, address, address, serveAll(s))
	}
	return g
}

// declareQuota declares an organisation with a quota.
func declareQuota(t *testing.T, store *routing.Store, q oriolebend.Quota) {
	t.Helper()
	command, err := cbor.Marshal(routing.Replace{Routing: oriolebend.Routing{
		Version: 1, Organisations: []oriolebend.Organisation{{Name: "o", Quota: q}},
	}})
	is.New(t).NoErr(err)
	store.Apply(1, command)
}

// testGroup runs a test with control VMs, on the clock of synctest.
func testGroup(t *testing.T, count int, q oriolebend.Quota, test func(context.Context, *testing.T, *is.I, *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGroup(ctx, t, count, q)
		test(ctx, t, is.New(t), g)
		cancel()
		synctest.Wait()
	})
}

// setLeader makes a control VM the leader, which is known to the forwarders.
func (g *group) setLeader(address string) {
	g.leader.Store(address)
	g.known.Store(address)
}

// loadAddress returns the stored address, empty if there is none.
func loadAddress(v *atomic.Value) string {
	name, _ := v.Load().(string)
	return name
}

func (g *group) client() *Client {
	c := &Client{
		Dialer: g.network.Dialer(client), Logger: slog.New(slog.DiscardHandler),
		Leader: func() string { return loadAddress(&g.known) }, Controls: func() []string { return append([]string{}, g.addresses...) },
	}
	c.Prepare()
	return c
}

// take requests a cost, and returns the control VM that granted it, the reason if none did, and how
// long that took.
func take(t *testing.T, c *Client, cost float64) (keeper string, reason oriolebend.Reason, took time.Duration) {
	t.Helper()
	began := time.Now()
	charge, _, err := c.Take(t.Context(), forwarder.Charge{Organisation: "o", Cost: cost, Call: 1})
	if err != nil {
		reason = err.(*oriolebend.Problem).Reason
	}
	return charge.CountedBy, reason, time.Since(began)
}

var tenASecond = oriolebend.Quota{PerSecond: 10, Burst: 10}

// The leader counts for all forwarders, and takes back the units of requests that did not run.
func TestLeaderCounts(t *testing.T) {
	testGroup(t, 3, tenASecond, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		g.setLeader("c0:1")
		time.Sleep(5 * time.Second)
		first, second := g.client(), g.client()
		for _, c := range []*Client{first, second} {
			keeper, _, _ := take(t, c, 5)
			is.Equal(keeper, "c0:1")
		}
		_, reason, _ := take(t, first, 5)
		is.Equal(reason, oriolebend.ReasonQuota)
		second.Return(forwarder.Charge{Organisation: "o", Cost: 5, CountedBy: "c0:1"})
		synctest.Wait()
		keeper, _, _ := take(t, first, 5)
		is.Equal(keeper, "c0:1")
	})
}

// Guards against refusing or delaying all requests of organisations with a quota while there is no
// leader. The leader stalls, and another control VM becomes the leader a second later. Meanwhile
// other control VMs grant from their reserves, and after the first request no further request waits
// for the stalled leader.
func TestLeaderThatStandsStill(t *testing.T) {
	testGroup(t, 3, tenASecond, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		g.setLeader("c0:1")
		time.Sleep(5 * time.Second)
		c := g.client()
		g.network.Cut(client, "c0:1")
		g.network.Cut("c0:1", client)
		keeper, reason, took := take(t, c, 5)
		is.Equal(reason, oriolebend.Reason(""))
		is.True(keeper != "" && keeper != "c0:1")
		is.True(took <= leaderTimeout+followerTimeout)
		_, reason, took = take(t, c, 5)
		is.Equal(reason, oriolebend.Reason(""))
		is.True(took < followerTimeout)
		g.setLeader("c1:1")
		time.Sleep(time.Second)
		keeper, _, _ = take(t, c, 5)
		is.Equal(keeper, "c1:1")
		g.network.Heal()
	})
}

// Guards against an organisation that is granted more than its quota while control VMs are killed
// repeatedly. A control VM that has just started must not grant from its reserve before it knows
// the number of control VMs: until then the reserve would be as large as all reserves together.
func TestReserveAfterStart(t *testing.T) {
	testGroup(t, 3, tenASecond, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		synctest.Wait()
		request := func(cost float64) bool {
			return g.servers["c0:1"].answer(message.QuotaAsk{Organisation: "o", Cost: cost}).Granted
		}
		// A fifth of the excess of 1,009 is split over three reserves, which start half full.
		is.True(!request(35))
		is.True(request(33))
		is.True(!request(1))
	})
}

// Guards against a rank that is lost on the way to the control VM that counts: beyond the quota, a
// request of a less urgent rank leaves units to more urgent ones, and the answer says how many.
func TestRankReachesTheCounter(t *testing.T) {
	testGroup(t, 1, tenASecond, func(_ context.Context, t *testing.T, is *is.I, g *group) {
		g.setLeader("c0:1")
		time.Sleep(5 * time.Second)
		c := g.client()
		request := func(call uint64, rank int) (forwarder.QuotaState, error) {
			_, state, err := c.Take(t.Context(), forwarder.Charge{Organisation: "o", Cost: 1, Call: call, Rank: rank})
			return state, err
		}
		for call := range uint64(10) {
			_, err := request(call, int(call%2)*2)
			is.NoErr(err)
		}
		state, err := request(11, 2)
		is.True(err != nil)
		is.True(state.Reserved >= 1)
		state, err = request(12, 0)
		is.True(err != nil)
		is.Equal(state.Reserved, 0.0)
	})
}

// Guards against a refusal of an organisation that has used little of its quota. Answers of the
// leader arrive after the requests were cancelled, so that their grants are not used. A late grant
// is given back as soon as it arrives.
func TestLateGrantIsGivenBack(t *testing.T) {
	testGroup(t, 1, tenASecond, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		g.setLeader("c0:1")
		time.Sleep(5 * time.Second)
		c := g.client()
		request := message.QuotaAsk{Organisation: "o", Cost: 10}
		opening, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err := c.requests.Request(opening, "c0:1", returnMessage("o", 0)) // opens the session; it has no answer
		is.True(err != nil)
		cancelled, cancelRequest := context.WithCancel(ctx)
		cancelRequest()
		for range 20 {
			_, err := c.requests.Request(cancelled, "c0:1", request)
			is.True(err != nil)
			synctest.Wait()
		}
		keeper, _, _ := take(t, c, 10)
		is.Equal(keeper, "c0:1")
		c.Close()
	})
}

// If no control VM is reached, the quota's state is unknown: the refusal must not state that the
// quota is used up.
func TestNobodyCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &group{network: peertest.NewNetwork(1), addresses: []string{"c0:1", "c1:1"}}
		g.known.Store("c0:1")
		_, reason, _ := take(t, g.client(), 1)
		is.Equal(reason, oriolebend.ReasonControlAway)
	})
}

// Guards against refusals of an organisation below its quota just after its load begins. A control
// VM has led for a long time before the first request; the bucket must fill from the start of the
// leadership, not from the first request.
func TestBucketIsFullBeforeTheFirstRequest(t *testing.T) {
	testGroup(t, 1, oriolebend.Quota{PerSecond: 1000, Burst: 9000}, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		g.setLeader("c0:1")
		time.Sleep(10 * time.Second)
		keeper, _, _ := take(t, g.client(), 9000)
		is.Equal(keeper, "c0:1")
	})
}

// Guards against refusing organisations that have hardly used their quota after all control VMs were
// killed. The new leader learns the organisations from the log only after its election, and must
// still begin with its share of the excess.
func TestOrganisationsKnownAfterTheElection(t *testing.T) {
	testGroup(t, 3, oriolebend.Quota{}, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		time.Sleep(300 * time.Millisecond)
		g.setLeader("c0:1")
		time.Sleep(leaderCheckInterval)
		declareQuota(t, g.servers["c0:1"].Routing, oriolebend.Quota{PerSecond: 10, Burst: 100})
		synctest.Wait()
		// The excess is 1,018, of which a restarted leader begins with 0.15, up to the burst. A reserve
		// has less.
		is.True(g.servers["c0:1"].answer(message.QuotaAsk{Organisation: "o", Cost: 100}).Granted)
	})
}

// A message that is not a request ends a session at the server, and a message that is not an answer
// ends it at the client, whose waiting requests fail at once.
func TestUnexpectedMessages(t *testing.T) {
	testGroup(t, 1, tenASecond, func(ctx context.Context, t *testing.T, is *is.I, g *group) {
		s, err := g.network.Dialer(client).Open(ctx, "c0:1")
		is.NoErr(err)
		is.NoErr(s.Send(message.QuotaAnswer{}))
		_, err = s.Receive()
		is.True(err != nil)
		g.network.Listen(ctx, "odd:1", "odd:1", func(_ context.Context, s peer.Stream) {
			_, _ = s.Receive()
			_ = s.Send(message.QuotaAsk{})
		})
		began := time.Now()
		_, err = g.client().request(ctx, "odd:1", false, message.QuotaAsk{})
		var ended *peer.SessionEndedError
		is.True(errors.As(err, &ended))
		is.True(time.Since(began) < followerTimeout)
	})
}
