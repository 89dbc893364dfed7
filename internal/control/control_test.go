package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// cluster is three control VMs and two entries in one process.
type cluster struct {
	group   *fakeGroup
	net     *fakeNet
	servers []*Server
	metrics *Metrics
	clients map[string]*Client
	stops   map[string]context.CancelFunc
}

func withCluster(t *testing.T, test func(is *is.I, b *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newCluster(ctx)
		test(is.New(t), b)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

func newCluster(ctx context.Context) *cluster {
	b := &cluster{
		group:   &fakeGroup{leader: "c2", machines: map[string]*Records{}},
		net:     &fakeNet{handlers: map[string]peer.Handler{}, unresponsive: map[string]bool{}, ctx: ctx},
		clients: map[string]*Client{},
		stops:   map[string]context.CancelFunc{},
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		records := NewRecords()
		metrics := NewMetrics(records)
		if name == "c2" {
			b.metrics = metrics
		}
		server := NewServer(ServerConfig{
			Self: name, Log: &fakeLog{group: b.group, self: name}, Records: records, Observe: metrics.Observe,
		})
		b.group.machines[name] = records
		b.net.handlers[name] = server.Serve
		b.servers = append(b.servers, server)
		go server.Run(ctx)
	}
	for _, name := range []string{"e1", "e2"} {
		run, stop := context.WithCancel(ctx)
		b.clients[name] = NewClient(ClientConfig{
			Dialer: b.net, Members: []string{"c1", "c2", "c3"}, Owner: name, OwnerAddress: name + ":1",
		})
		b.stops[name] = stop
		go b.clients[name].Run(run)
	}
	synctest.Wait()
	return b
}

func tip(key, id string) message.Claim {
	return message.Claim{
		Scope:     message.Scope{Organisation: "asociacion", Operation: "tip", Key: key},
		RequestID: id, Fingerprint: "v1:aa", Once: true,
	}
}

func outcome(c message.Claim, a message.ClaimAnswer, state message.RecordState) message.Settle {
	s := message.Settle{RequestID: a.RequestID, Scope: c.Scope, Attempt: a.Attempt, State: state}
	if state == message.RecordAnswered {
		s.Answer = &message.Answer{Status: 200, Body: []byte("paid")}
	}
	return s
}

func TestOneEntryRunsTheOtherAttaches(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		ctx := context.Background()
		c := tip("k1", "r1")
		first, err := b.clients["e1"].Claim(ctx, c)
		is.NoErr(err)
		is.Equal(first.Outcome, message.ClaimOwned)
		second, err := b.clients["e2"].Claim(ctx, tip("k1", "r2"))
		is.NoErr(err)
		is.Equal(second.Outcome, message.ClaimAttach)
		is.Equal(second.OwnerAddress, "e1:1")
		running, err := b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordRunning))
		is.NoErr(err)
		is.True(running.Accepted)
		_, err = b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordAnswered))
		is.NoErr(err)
		found, err := b.clients["e2"].Query(ctx, message.Query{RequestID: "r1", Organisation: "asociacion"})
		is.NoErr(err)
		is.Equal(found.State, message.RecordAnswered)
		is.Equal(string(found.Answer.Body), "paid")
		b.checkMetrics(is)
	})
}

// checkMetrics checks the metrics after one request that was run once and claimed twice.
func (b *cluster) checkMetrics(is *is.I) {
	registry := prometheus.NewRegistry()
	is.NoErr(b.metrics.Register(registry))
	is.True(b.metrics.Register(registry) != nil) // already registered
	families, err := registry.Gather()
	is.NoErr(err)
	values := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := strings.TrimPrefix(family.GetName(), "oriolebend_records_")
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			values[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	is.Equal(values["claims_total owned"], 1.0)
	is.Equal(values["claims_total attach"], 1.0)
	is.Equal(values["settles_total true answered"], 1.0)
	is.Equal(values["held"], 1.0)
}

// Guards against a tip that is paid twice after a control VM lost the leadership: the claim is
// durable, its answer is lost, the entry sends the claim to the next leader, and the claim sent
// again counts as a second one.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		b.group.set(func(g *fakeGroup) { g.loseAnswers = 1 })
		first, err := b.clients["e1"].Claim(context.Background(), tip("k1", "r1"))
		is.NoErr(err)
		is.Equal(first.Outcome, message.ClaimOwned)
		is.Equal(first.Attempt, uint32(1))
	})
}

// Guards against entries that time out after a leader change although a quorum is alive: the leader
// changes between two claims, and the client keeps using the former leader.
func TestLeaderChange(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		for i, leader := range []string{"c1", "c3", "c2", "c1"} {
			b.group.setLeader(leader)
			a, err := b.clients["e1"].Claim(context.Background(), tip(fmt.Sprint("k", i), fmt.Sprint("r", i)))
			is.NoErr(err)
			is.Equal(a.Outcome, message.ClaimOwned)
		}
	})
}

// Guards against an entry that hangs on a partitioned leader: the leader accepts bytes and answers
// nothing while another one is elected, and the client has no timeout for a single control VM.
func TestUnresponsiveLeader(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		b.net.setUnresponsive("c2", true)
		client := NewClient(ClientConfig{Dialer: b.net, Members: []string{"c2", "c3"}, Owner: "e3"})
		b.group.setLeader("c3")
		a, err := client.Claim(context.Background(), tip("k1", "r1"))
		is.NoErr(err)
		is.Equal(a.Outcome, message.ClaimOwned)
		client.close()
	})
}

// Guards against Ran "no" for a claim that may still be accepted. "no" is right only if no control
// VM accepted the claim; the rows are the ways in which a claim fails.
func TestRanOfAFailedClaim(t *testing.T) {
	for name, row := range map[string]struct {
		fault func(b *cluster)
		ran   oriolebend.Ran
	}{
		"no leader":            {func(b *cluster) { b.group.setLeader("") }, oriolebend.RanNo},
		"no control VM":        {func(b *cluster) { b.net.set(func(n *fakeNet) { n.handlers = nil }) }, oriolebend.RanNo},
		"quorum lost":          {func(b *cluster) { b.group.set(func(g *fakeGroup) { g.stuck = true }) }, oriolebend.RanUnknown},
		"unresponsive members": {func(b *cluster) { b.net.set(makeAllUnresponsive) }, oriolebend.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(is *is.I, b *cluster) {
				client := NewClient(ClientConfig{Dialer: b.net, Members: []string{"c1", "c2", "c3"}, Owner: "e3"})
				row.fault(b)
				_, err := client.Claim(context.Background(), tip("k1", "r1"))
				var p *oriolebend.Problem
				is.True(errors.As(err, &p))
				is.Equal(p.Reason, oriolebend.ReasonControlAway)
				is.Equal(p.Ran, row.ran)
				is.True(p.RetryAfter > 0)
				client.close()
			})
		})
	}
}

func (n *fakeNet) set(change func(*fakeNet)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func makeAllUnresponsive(n *fakeNet) {
	for name := range n.handlers {
		n.unresponsive[name] = true
	}
}

// Guards against a retry that attaches forever to a request that nobody processes: a claim is
// applied, but its entry gives up before the answer; the entry lives on and renews its lease, so
// that nothing closes the record.
func TestGivenUpClaimIsClosed(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		b.group.set(func(g *fakeGroup) { g.syncFor = 300 * time.Millisecond })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := b.clients["e1"].Claim(ctx, tip("k1", "r1"))
		is.True(err != nil)
		_, err = b.clients["e1"].Claim(context.Background(), tip("k1", "r1"))
		is.True(err != nil) // the id can't be used again until the backlog has closed the claim
		time.Sleep(5 * time.Second)
		found, err := b.clients["e2"].Query(context.Background(), message.Query{RequestID: "r1", Organisation: "asociacion"})
		is.NoErr(err)
		is.Equal(found.State, message.RecordNotRun)
		again, err := b.clients["e2"].Claim(context.Background(), tip("k1", "r2"))
		is.NoErr(err)
		is.Equal(again.Outcome, message.ClaimOwned)
		is.True(again.Attempt > 1)
	})
}

// Guards against an answered tip that stays "running" while attached callers wait: the quorum is
// lost while the outcome is settled, and comes back later, but the outcome is sent only while its
// caller waits.
func TestOutcomeIsSentUntilItIsDurable(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		ctx := context.Background()
		c := tip("k1", "r1")
		first, err := b.clients["e1"].Claim(ctx, c)
		is.NoErr(err)
		_, err = b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordRunning))
		is.NoErr(err)
		b.group.set(func(g *fakeGroup) { g.stuck = true })
		_, err = b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordAnswered))
		is.True(err != nil)
		time.Sleep(time.Minute)
		b.group.set(func(g *fakeGroup) { g.stuck = false })
		time.Sleep(10 * time.Second)
		again, err := b.clients["e2"].Claim(ctx, tip("k1", "r2"))
		is.NoErr(err)
		is.Equal(again.Outcome, message.ClaimReplay)
	})
}

// Guards against retries that wait for the lease of an entry that stopped gracefully: an entry with
// an undispatched claim stops and leaves its lease to expire.
func TestStoppedEntryReleasesItsLease(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		_, err := b.clients["e1"].Claim(context.Background(), tip("k1", "r1"))
		is.NoErr(err)
		b.stops["e1"]()
		time.Sleep(3 * time.Second)
		again, err := b.clients["e2"].Claim(context.Background(), tip("k1", "r2"))
		is.NoErr(err)
		is.Equal(again.Outcome, message.ClaimOwned)
	})
}

func TestGroupsShareLogEntries(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		b.group.set(func(g *fakeGroup) { g.syncFor = 5 * time.Millisecond; g.proposed = 0 })
		var wait sync.WaitGroup
		for i := range 400 {
			wait.Go(func() {
				a, err := b.clients["e1"].Claim(context.Background(), tip(fmt.Sprint("k", i), fmt.Sprint("r", i)))
				if err != nil || a.RequestID != fmt.Sprint("r", i) {
					panic(fmt.Sprint("answer of another claim: ", a, err))
				}
			})
		}
		wait.Wait()
		is.True(b.group.proposed < 40) // 400 claims share few log entries
	})
}

// Guards against a running request that is recorded as not run, so that its retry runs it a second
// time: the entry renews its claim while the quorum is lost, and the failed renewal is treated as
// an abandoned claim.
func TestFailedRenewalClosesNothing(t *testing.T) {
	withCluster(t, func(is *is.I, b *cluster) {
		ctx := context.Background()
		c := tip("k1", "r1")
		c.Once = false
		first, err := b.clients["e1"].Claim(ctx, c)
		is.NoErr(err)
		b.group.set(func(g *fakeGroup) { g.stuck = true })
		_, err = b.clients["e1"].Claim(ctx, c)
		is.True(err != nil)
		b.group.set(func(g *fakeGroup) { g.stuck = false })
		time.Sleep(30 * time.Second)
		second, err := b.clients["e2"].Claim(ctx, tip("k1", "r2"))
		is.NoErr(err)
		is.Equal(second.Outcome, message.ClaimAttach)
		settled, err := b.clients["e1"].Settle(ctx, outcome(c, first, message.RecordAnswered))
		is.NoErr(err)
		is.True(settled.Accepted)
	})
}
