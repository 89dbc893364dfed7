package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// told checks what a caller of a call that may run once was told against what
// ran: an answer means one execution, "not run" means none, now and later.
func (c *cluster) told(r *call, key string) {
	c.t.Helper()
	ran := c.executions(key)
	switch {
	case ran > 1:
		c.t.Fatalf("%s ran %d times", key, ran)
	case r.problem.Reason == "" && r.status >= 500:
		// The service's own answer, which may have run nothing.
	case r.whole && ran != 1:
		c.t.Fatalf("%s was answered and did not run", key)
	case !r.whole && r.problem.Ran == oriolebend.RanNo && ran != 0:
		c.t.Fatalf("%s was told not run, and ran: %+v", key, r.problem)
	case !r.whole && r.err == nil && r.problem.Ran == "":
		c.t.Fatalf("%s got neither an answer nor a truthful problem: status %d body %s", key, r.status, r.body)
	}
}

// A tip is paid twice: the answer of a call was lost and the call was sent
// again. The service's own status resolves what can be resolved.
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
				c.end(first)
				c.told(first, key)
				for _, e := range c.Entries {
					again := c.ping(e, key)
					c.end(again)
					c.told(again, key)
				}
				is.New(t).True(c.executions(key) <= 1)
				c.clearServiceFaults()
			})
		}
	}
}

// clearServiceFaults uses up what faults are left.
func (c *cluster) clearServiceFaults() {
	for n := range 8 {
		r := c.ping(c.Entries[n%len(c.Entries)], fmt.Sprintf("clear-%s-%d-%d", c.t.Name(), n, time.Now().UnixNano()))
		c.end(r)
	}
}

// A call still runs when its connection is lost, and the status query finds it
// running. Its outcome would be called unknown although it can be known.
func TestStatusOfARunningCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(500 * time.Millisecond)
		s.FailNext(standin.FaultDuring)
	}
	r := c.ping(c.Entries[0], "running")
	c.end(r)
	c.told(r, "running")
	is.True(r.whole) // resolved by the service's own status
}

// An entry dies while its call of a service runs. Another entry must not send
// it again.
func TestEntryDiesDuringACall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(300 * time.Millisecond)
	}
	const key = "entry-dies"
	r := c.ping(c.Entries[0], key)
	c.until("the call runs", func() bool { return c.callsRunning() > 0 })
	c.killEntry(c.Entries[0])
	c.end(r)
	for _, e := range c.Entries {
		again := c.ping(e, key)
		c.end(again)
		c.told(again, key)
	}
	is.Equal(c.executions(key), 1)
}

// An entry dies at any moment of a call; "not run" must never be followed by
// an execution.
func TestEntryDiesAroundACall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	victim := c.Entries[0]
	calls := map[string]*call{}
	for n := range 24 {
		key := fmt.Sprintf("around-%d", n)
		calls[key] = c.ping(victim, key)
	}
	c.until("one is answered", func() bool {
		for key := range calls {
			if c.executions(key) > 0 {
				return true
			}
		}
		return false
	})
	c.killEntry(victim)
	for key, r := range calls {
		c.end(r)
		c.told(r, key)
	}
	again := map[string]*call{}
	for key := range calls {
		again[key] = c.ping(c.Entries[0], key)
	}
	for key, r := range again {
		c.end(r)
		c.told(r, key)
	}
}

// The sidecar of a service dies while a call runs.
func TestSidecarDiesDuringACall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	for _, s := range c.Services {
		s.SetDelay(300 * time.Millisecond)
	}
	const key = "gate-dies"
	r := c.ping(c.Entries[0], key)
	c.until("the call runs", func() bool { return c.callsRunning() > 0 })
	for name := range c.Services {
		c.must(c.Sidecars[name].Kill())
		c.restartSidecar(name)
	}
	c.end(r)
	c.told(r, key)
	c.until("the call ended", func() bool { return c.callsRunning() == 0 })
	again := c.ping(c.Entries[1], key)
	c.end(again)
	c.told(again, key)
	is.Equal(c.executions(key), 1)
}

// The caller of a ping leaves at once; the ping still runs once at most, and a
// retry learns its outcome.
func TestCallerLeavesACall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, nil)
	for n := range 6 {
		key := fmt.Sprintf("left-%d", n)
		r := c.ping(c.Entries[n%3], key)
		time.AfterFunc(time.Duration(n)*2*time.Millisecond, r.cancel)
		c.end(r)
		again := c.ping(c.Entries[(n+1)%3], key)
		c.end(again)
		c.told(again, key)
	}
}

func (c *cluster) callsRunning() int {
	running := 0
	for _, s := range c.Services {
		running += s.Running()
	}
	return running
}
