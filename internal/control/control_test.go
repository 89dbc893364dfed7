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

// bench is three control VMs and two entries in one process.
type bench struct {
	group   *fakeGroup
	net     *fakeNet
	servers []*Server
	metrics *Metrics
	clients map[string]*Client
	stops   map[string]context.CancelFunc
}

func withBench(t *testing.T, test func(is *is.I, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBench(ctx)
		test(is.New(t), b)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

func newBench(ctx context.Context) *bench {
	b := &bench{
		group:   &fakeGroup{leader: "c2", machines: map[string]*Records{}},
		net:     &fakeNet{handlers: map[string]peer.Handler{}, silent: map[string]bool{}, ctx: ctx},
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
	withBench(t, func(is *is.I, b *bench) {
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
		b.checkCounted(is)
	})
}

// checkCounted compares the metrics after one request that was run once and
// asked for twice.
func (b *bench) checkCounted(is *is.I) {
	registry := prometheus.NewRegistry()
	is.NoErr(b.metrics.Register(registry))
	is.True(b.metrics.Register(registry) != nil) // a second time
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

// Symptom: a tip was paid twice after a control VM lost the leadership.
// Sequence: the claim is durable, its answer is lost, the entry asks the next
// leader. Cause: a resent claim that counts as a second one.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
		b.group.set(func(g *fakeGroup) { g.loseAnswers = 1 })
		first, err := b.clients["e1"].Claim(context.Background(), tip("k1", "r1"))
		is.NoErr(err)
		is.Equal(first.Outcome, message.ClaimOwned)
		is.Equal(first.Attempt, uint32(1))
	})
}

// Symptom: after a leader change entries time out although a quorum lives.
// Sequence: the leader changes between two claims. Cause: a client that stays
// with the control VM it knew.
func TestLeaderChange(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
		for i, leader := range []string{"c1", "c3", "c2", "c1"} {
			b.group.lead(leader)
			a, err := b.clients["e1"].Claim(context.Background(), tip(fmt.Sprint("k", i), fmt.Sprint("r", i)))
			is.NoErr(err)
			is.Equal(a.Outcome, message.ClaimOwned)
		}
	})
}

// Symptom: an entry hangs on a leader that a partition cut off. Sequence: the
// leader takes bytes and answers nothing; another one is elected. Cause: no
// bound on the silence of one control VM.
func TestSilentLeader(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
		b.net.silence("c2", true)
		client := NewClient(ClientConfig{Dialer: b.net, Members: []string{"c2", "c3"}, Owner: "e3"})
		b.group.lead("c3")
		a, err := client.Claim(context.Background(), tip("k1", "r1"))
		is.NoErr(err)
		is.Equal(a.Outcome, message.ClaimOwned)
		client.close()
	})
}

// Symptom: a caller is told "not run" though its claim was on the way. Sequence
// and cause are in the rows: "no" is true only if no control VM took the claim.
func TestRanOfAFailedClaim(t *testing.T) {
	for name, row := range map[string]struct {
		fault func(b *bench)
		ran   oriolebend.Ran
	}{
		"no leader":      {func(b *bench) { b.group.lead("") }, oriolebend.RanNo},
		"no control VM":  {func(b *bench) { b.net.set(func(n *fakeNet) { n.handlers = nil }) }, oriolebend.RanNo},
		"quorum lost":    {func(b *bench) { b.group.set(func(g *fakeGroup) { g.stuck = true }) }, oriolebend.RanUnknown},
		"silent members": {func(b *bench) { b.net.set(silenceAll) }, oriolebend.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(is *is.I, b *bench) {
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

func silenceAll(n *fakeNet) {
	for name := range n.handlers {
		n.silent[name] = true
	}
}

// Symptom: a retry attaches for ever to work that nobody does. Sequence: a
// claim is applied but its entry gives up before the answer; the entry lives
// on and renews its lease. Cause: nobody closes the record.
func TestGivenUpClaimIsClosed(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
		b.group.set(func(g *fakeGroup) { g.syncFor = 300 * time.Millisecond })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := b.clients["e1"].Claim(ctx, tip("k1", "r1"))
		is.True(err != nil)
		_, err = b.clients["e1"].Claim(context.Background(), tip("k1", "r1"))
		is.True(err != nil) // the id is spent until the backlog has closed it
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

// Symptom: an answered tip stays "running", attachers wait. Sequence: the
// quorum is lost while the outcome is settled, and comes back. Cause: the
// outcome is sent only while its caller waits.
func TestOutcomeIsSentUntilItIsDurable(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
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

// Symptom: retries wait for the lease of an entry that stopped gracefully.
// Sequence: an entry with an undispatched claim stops. Cause: its lease is
// left to run out.
func TestStoppedEntryGivesItsLeaseBack(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
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
	withBench(t, func(is *is.I, b *bench) {
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
		is.True(b.group.proposed < 40) // 400 claims in few log entries
	})
}

// Symptom: a brief that runs is recorded as given up, and its retry runs it a
// second time. Sequence: the entry renews its claim while the quorum is lost.
// Cause: a renewal that is taken for a claim which nobody waits for.
func TestFailedRenewalClosesNothing(t *testing.T) {
	withBench(t, func(is *is.I, b *bench) {
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
