package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// checkOutcome compares the outcome that the caller of an at-most-once call received with
// the executions of the call: an answer means one execution, "not run" means none, now
// and later.
func (c *cluster) checkOutcome(r *call, key string) {
	c.t.Helper()
	ran := c.executions(key)
	switch {
	case ran > 1:
		c.t.Fatalf("%s ran %d times", key, ran)
	case r.problem.Reason == "" && r.status >= 500:
		// The service itself answered, and may not have run the call.
	case r.complete && ran != 1:
		c.t.Fatalf("%s was answered but did not run", key)
	case !r.complete && r.problem.Ran == oriolebend.RanNo && ran != 0:
		c.t.Fatalf("%s was reported as not run but ran: %+v", key, r.problem)
	case !r.complete && r.err == nil && r.problem.Ran == "":
		c.t.Fatalf("%s got neither an answer nor a truthful problem: status %d body %s", key, r.status, r.body)
	}
}

// Guards against a payment that is made twice because the answer to a call is lost and
// the call is sent again. The service's status query must resolve the outcome where it
// can.
func TestServiceLosesItsAnswer(t *testing.T) {
	t.Parallel()
	faults := []standin.Fault{standin.FaultBefore, standin.FaultAfter, standin.FaultHalf, standin.FaultStatus}
	c := startCluster(t, nil)
	for _, fault := range faults {
		for _, twice := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, twice %v", fault, twice), func(t *testing.T) {
				key := fmt.Sprintf("ping-%s-%v", fault, twice)
				for _, s := range c.Services {
					s.FailNext(fault)
					if twice {
						s.FailNext(fault)
					}
				}
				first := c.ping(c.Entries[0], key)
				c.waitEnd(first)
				c.checkOutcome(first, key)
				for _, e := range c.Entries {
					again := c.ping(e, key)
					c.waitEnd(again)
					c.checkOutcome(again, key)
				}
				is.New(t).True(c.executions(key) <= 1)
				c.clearServiceFaults()
			})
		}
	}
}

// clearServiceFaults sends calls until the remaining injected faults are used up.
func (c *cluster) clearServiceFaults() {
	for n := range 8 {
		r := c.ping(c.Entries[n%len(c.Entries)], fmt.Sprintf("clear-%s-%d-%d", c.t.Name(), n, time.Now().UnixNano()))
		c.waitEnd(r)
	}
}

// A call still runs when its connection is lost, and the status query finds it running.
// Its outcome must be resolved later and not be reported as unknown.
func TestStatusOfARunningCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(500 * time.Millisecond)
		s.FailNext(standin.FaultDuring)
	}
	r := c.ping(c.Entries[0], "running")
	c.waitEnd(r)
	c.checkOutcome(r, "running")
	is.True(r.complete) // resolved by the service's status query
}

// An entry crashes while its service call runs. Another entry must not send the call
// again.
func TestEntryDiesDuringACall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(300 * time.Millisecond)
	}
	const key = "entry-dies"
	r := c.ping(c.Entries[0], key)
	c.waitFor("the call runs", func() bool { return c.runningCalls() > 0 })
	c.killEntry(c.Entries[0])
	c.waitEnd(r)
	for _, e := range c.Entries {
		again := c.ping(e, key)
		c.waitEnd(again)
		c.checkOutcome(again, key)
	}
	is.Equal(c.executions(key), 1)
}

// An entry crashes at any time during a call. A call that was reported as "not run" must
// never be executed later.
func TestEntryDiesAroundACall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	victim := c.Entries[0]
	calls := map[string]*call{}
	for n := range 24 {
		key := fmt.Sprintf("around-%d", n)
		calls[key] = c.ping(victim, key)
	}
	c.waitFor("one is answered", func() bool {
		for key := range calls {
			if c.executions(key) > 0 {
				return true
			}
		}
		return false
	})
	c.killEntry(victim)
	for key, r := range calls {
		c.waitEnd(r)
		c.checkOutcome(r, key)
	}
	again := map[string]*call{}
	for key := range calls {
		again[key] = c.ping(c.Entries[0], key)
	}
	for key, r := range again {
		c.waitEnd(r)
		c.checkOutcome(r, key)
	}
}

// The sidecar of a service crashes while a call runs.
func TestSidecarDiesDuringACall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(300 * time.Millisecond)
	}
	const key = "gate-dies"
	r := c.ping(c.Entries[0], key)
	c.waitFor("the call runs", func() bool { return c.runningCalls() > 0 })
	for name := range c.Services {
		c.must(c.Sidecars[name].Kill())
		c.restartSidecar(name)
	}
	c.waitEnd(r)
	c.checkOutcome(r, key)
	c.waitFor("the call ended", func() bool { return c.runningCalls() == 0 })
	again := c.ping(c.Entries[1], key)
	c.waitEnd(again)
	c.checkOutcome(again, key)
	is.Equal(c.executions(key), 1)
}

// The caller of a ping disconnects shortly after sending it. The ping must run at most
// once, and a retry must get its outcome.
func TestCallerDisconnectsFromACall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	for n := range 6 {
		key := fmt.Sprintf("left-%d", n)
		r := c.ping(c.Entries[n%3], key)
		time.AfterFunc(time.Duration(n)*2*time.Millisecond, r.cancel)
		c.waitEnd(r)
		again := c.ping(c.Entries[(n+1)%3], key)
		c.waitEnd(again)
		c.checkOutcome(again, key)
	}
}

func (c *cluster) runningCalls() int {
	running := 0
	for _, s := range c.Services {
		running += s.Running()
	}
	return running
}
