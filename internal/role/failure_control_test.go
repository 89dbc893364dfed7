package role

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// The leader crashes while requests are claimed. Each request must be answered once,
// or its caller receives a truthful "not run".
func TestLeaderDiesDuringClaims(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	calls := map[string]*call{}
	for n := range 12 {
		key := fmt.Sprintf("claim-%d", n)
		calls[key] = c.ping(c.Entries[n%3], key)
	}
	leader := c.leader()
	c.must(c.Controls[leader].Kill())
	for n := range 12 {
		key := fmt.Sprintf("claim-late-%d", n)
		calls[key] = c.ping(c.Entries[n%3], key)
	}
	for key, r := range calls {
		c.waitEnd(r)
		c.checkOutcome(r, key)
	}
	c.restartControl(leader)
	for key := range calls {
		again := c.pingUntilAnswered(key)
		c.checkOutcome(again, key)
		is.Equal(c.executions(key), 1)
	}
}

// pingUntilAnswered sends a ping repeatedly until it is answered.
func (c *cluster) pingUntilAnswered(key string) *call {
	c.t.Helper()
	var r *call
	c.waitFor("an answer of "+key, func() bool {
		r = c.ping(c.Entries[0], key)
		c.waitEnd(r)
		return r.complete
	})
	return r
}

// The loss of one of three control VMs has no effect. After the loss of two there is no
// quorum: new requests are refused as not run, and running ones continue. Once all have
// restarted from their data folders, every earlier answer still holds.
func TestQuorumLostAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	before := c.send(c.Entries[0], "before", "tokens=10")
	c.checkAnswer(before)
	paid := c.ping(c.Entries[0], "paid")
	c.waitEnd(paid)
	is.True(paid.complete)

	follower := (c.leader() + 1) % 3
	c.must(c.Controls[follower].Kill())
	c.checkAnswer(c.send(c.Entries[1], "one-lost", "tokens=10"))

	running := c.send(c.Entries[0], "running", "tokens=200")
	c.waitForOutput(running)
	other := c.leader()
	c.must(c.Controls[other].Kill())
	// An earlier send with a caller's own key may have run: only a quorum knows.
	for key, ran := range map[string]oriolebend.Ran{"no-quorum": oriolebend.RanUnknown, "": oriolebend.RanNo} {
		refused := c.ping(c.Entries[2], key)
		c.waitEnd(refused)
		is.True(!refused.complete)
		is.Equal(refused.problem.Reason, oriolebend.ReasonControlAway)
		is.Equal(refused.problem.Ran, ran)
		is.True(refused.problem.RetryAfterMillis > 0) // with a retry delay
	}
	c.checkAnswer(running) // and the running request was answered completely
	c.waitUntilIdle()

	c.restartControl(follower)
	c.restartControl(other)
	c.leader()
	is.Equal(c.executions("no-quorum"), 0)
	prefills := c.prefills()
	again := c.sendUntilAnswered("before", "tokens=10")
	c.checkAnswer(again)
	is.Equal(again.text.String(), before.text.String())
	is.Equal(c.prefills(), prefills) // replayed, not run again
	c.pingUntilAnswered("paid")
	is.Equal(c.executions("paid"), 1)
	c.pingUntilAnswered("no-quorum")
	is.Equal(c.executions("no-quorum"), 1)
}

// All control VMs crash at the same time, twice, and restart from their data folders.
func TestAllControlsDieTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for n := range 2 {
		key := fmt.Sprintf("all-%d", n)
		c.pingUntilAnswered(key)
		for _, p := range c.Controls {
			c.must(p.Kill())
		}
		for i := range c.Controls {
			c.restartControl(i)
		}
		c.leader()
		c.pingUntilAnswered(key)
		is.Equal(c.executions(key), 1)
	}
}

// Operators send changes with the same expected revision through different control VMs:
// exactly one is accepted, and the others are refused with reason revisionRace.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	var mu sync.Mutex
	accepted, refusals := 0, 0
	var all sync.WaitGroup
	none := uint64(0)
	for n := range 8 {
		all.Go(func() {
			model := oriolebend.Resource{Kind: oriolebend.KindModel, Name: "raced", Spec: &oriolebend.Model{Versions: []string{fmt.Sprint(n)}}}
			_, err := c.operators().Apply(t.Context(), model, client.Options{Expect: &none})
			mu.Lock()
			defer mu.Unlock()
			var refused *client.Error
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &refused) && refused.Problem.Reason == oriolebend.ReasonRevisionRace:
				refusals++
			default:
				t.Errorf("neither accepted nor refused for its revision: %v", err)
			}
		})
	}
	all.Wait()
	is.Equal(accepted, 1)
	is.Equal(refusals, 7)
}

// An operator loses the answer to an order, the leader changes, and the order is sent
// again. It must get its first answer, not a conflict with itself.
func TestOrderResentAfterLeaderChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	none := uint64(0)
	model := oriolebend.Resource{Kind: oriolebend.KindModel, Name: "resent", Spec: &oriolebend.Model{Versions: []string{"1"}}}
	order := client.Options{Expect: &none, OrderID: "order-1"}
	first, err := c.operators().Apply(t.Context(), model, order)
	is.NoErr(err)
	leader := c.leader()
	c.must(c.Controls[leader].Kill())
	c.restartControl(leader)
	again, err := c.operators().Apply(t.Context(), model, order)
	is.NoErr(err)
	is.Equal(again.Outcome, first.Outcome)
	is.Equal(again.Revision, first.Revision)
	is.True(again.Resent)
}

// An accepted change comes into force on every entry and stays in force. This includes an
// entry that restarts while the control VM that it contacts first is behind.
func TestAcceptedChangeNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	behind := (c.leader() + 1) % 3
	stopped := c.Controls[behind]
	c.must(stopped.Kill())
	// Orders are sent only to the leader, as the other control VMs would redirect each of
	// them, which takes time.
	operator := client.New(client.Config{Addresses: []string{"http://" + c.Controls[c.leader()].OperatorAddress()}})
	var revision uint64
	for n := range 300 {
		model := oriolebend.Resource{Kind: oriolebend.KindModel, Name: "grown", Spec: &oriolebend.Model{Versions: []string{fmt.Sprint(n)}}}
		result, err := operator.Apply(t.Context(), model, client.Options{})
		is.NoErr(err)
		revision = result.Revision
	}
	c.restartControl(behind)
	for range 3 { // entries restart several times
		e := c.Entries[0]
		p := e.process
		c.killEntry(e)
		started, err := StartEntry(p)
		is.NoErr(err)
		c.Entries = append(c.Entries, started)
	}
	c.ready()
	c.waitFor("the last change is in force on every follower", func() bool {
		status, err := c.operators().Status(t.Context())
		return err == nil && inForce(status, revision)
	})
	for range 20 {
		status, err := c.operators().Status(t.Context())
		is.NoErr(err)
		is.True(inForce(status, revision))
	}
}

func inForce(s oriolebend.Status, revision uint64) bool {
	return s.Revision >= revision && s.InForce == s.Total && s.Total > 0
}

// Guards against a restart of a control VM that fails on a busy machine because another
// process was given the VM's port while it was down. The restart must wait until the port
// is free again.
func TestControlStartsOnceItsPortIsFree(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	c.leader()
	c.must(c.Controls[0].Kill())
	taken, err := net.Listen("tcp", c.Controls[0].process.Settings.Operator.Listen)
	c.must(err)
	time.AfterFunc(300*time.Millisecond, func() { _ = taken.Close() })
	c.restartControl(0)
	c.checkAnswer(c.send(c.Entries[0], "after", "tokens=10"))
}
