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

// The leader dies while requests are claimed: each is answered once, or told
// truthfully that it did not run.
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
		c.end(r)
		c.told(r, key)
	}
	c.restartControl(leader)
	for key := range calls {
		again := c.retriedPing(key)
		c.told(again, key)
		is.Equal(c.executions(key), 1)
	}
}

// retriedPing sends a ping again until it is answered.
func (c *cluster) retriedPing(key string) *call {
	c.t.Helper()
	var r *call
	c.until("an answer of "+key, func() bool {
		r = c.ping(c.Entries[0], key)
		c.end(r)
		return r.whole
	})
	return r
}

// One control VM of three is cut off: nobody notices. Two are: no quorum, so
// that new requests are refused as not run, and running ones go on. When all
// are back from their data folders, everything told before still holds.
func TestQuorumLostAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	before := c.ask(c.Entries[0], "before", "tokens=10")
	c.wholeAnswer(before)
	paid := c.ping(c.Entries[0], "paid")
	c.end(paid)
	is.True(paid.whole)

	follower := (c.leader() + 1) % 3
	c.must(c.Controls[follower].Kill())
	c.wholeAnswer(c.ask(c.Entries[1], "one-lost", "tokens=10"))

	running := c.ask(c.Entries[0], "running", "tokens=200")
	c.streaming(running)
	other := c.leader()
	c.must(c.Controls[other].Kill())
	// An earlier sending of a caller's own key may have run: only a quorum knows.
	for key, ran := range map[string]oriolebend.Ran{"no-quorum": oriolebend.RanUnknown, "": oriolebend.RanNo} {
		refused := c.ping(c.Entries[2], key)
		c.end(refused)
		is.True(!refused.whole)
		is.Equal(refused.problem.Reason, oriolebend.ReasonControlAway)
		is.Equal(refused.problem.Ran, ran)
		is.True(refused.problem.RetryAfterMillis > 0) // told when to come back
	}
	c.wholeAnswer(running) // and what ran ended whole
	c.free()

	c.restartControl(follower)
	c.restartControl(other)
	c.leader()
	is.Equal(c.executions("no-quorum"), 0)
	prefills := c.prefills()
	again := c.retried("before", "tokens=10")
	c.wholeAnswer(again)
	is.Equal(again.text.String(), before.text.String())
	is.Equal(c.prefills(), prefills) // replayed, not run again
	c.retriedPing("paid")
	is.Equal(c.executions("paid"), 1)
	c.retriedPing("no-quorum")
	is.Equal(c.executions("no-quorum"), 1)
}

// All control VMs die at once, twice, and come back from their folders.
func TestAllControlsDieTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for n := range 2 {
		key := fmt.Sprintf("all-%d", n)
		c.retriedPing(key)
		for _, p := range c.Controls {
			c.must(p.Kill())
		}
		for i := range c.Controls {
			c.restartControl(i)
		}
		c.leader()
		c.retriedPing(key)
		is.Equal(c.executions(key), 1)
	}
}

// Operators race with equal revisions through different control VMs: exactly
// one wins, and the others are told what won.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	var mu sync.Mutex
	won, lost := 0, 0
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
				won++
			case errors.As(err, &refused) && refused.Problem.Reason == oriolebend.ReasonRevisionRace:
				lost++
			default:
				t.Errorf("neither won nor lost: %v", err)
			}
		})
	}
	all.Wait()
	is.Equal(won, 1)
	is.Equal(lost, 7)
}

// An operator lost the answer to an order, the leader changed, and the order
// is sent again: it gets its first answer, not a conflict with itself.
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

// A change that was accepted is in force on every entry and stays so, also on
// one that starts anew while the control VM it asks first is behind.
func TestAcceptedChangeNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	behind := (c.leader() + 1) % 3
	stopped := c.Controls[behind]
	c.must(stopped.Kill())
	// Asked of the leader alone: the others send each order on after a pause.
	operator := client.New(client.Config{Addresses: []string{"http://" + c.Controls[c.leader()].OperatorAddress()}})
	var revision uint64
	for n := range 300 {
		model := oriolebend.Resource{Kind: oriolebend.KindModel, Name: "grown", Spec: &oriolebend.Model{Versions: []string{fmt.Sprint(n)}}}
		result, err := operator.Apply(t.Context(), model, client.Options{})
		is.NoErr(err)
		revision = result.Revision
	}
	c.restartControl(behind)
	for range 3 { // the same one twice and more
		e := c.Entries[0]
		p := e.process
		c.killEntry(e)
		started, err := StartEntry(p)
		is.NoErr(err)
		c.Entries = append(c.Entries, started)
	}
	c.ready()
	c.until("the last change is in force on every follower", func() bool {
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

// Symptom: a control VM that restarts is refused its own port, and the test that
// restarted it fails on a busy machine. Sequence: it dies, and another process is given
// its port while it is down. It starts once the port is free again.
func TestControlStartsOnceItsPortIsFree(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	c.leader()
	c.must(c.Controls[0].Kill())
	taken, err := net.Listen("tcp", c.Controls[0].process.Settings.Operator.Listen)
	c.must(err)
	time.AfterFunc(300*time.Millisecond, func() { _ = taken.Close() })
	c.restartControl(0)
	c.wholeAnswer(c.ask(c.Entries[0], "after", "tokens=10"))
}
