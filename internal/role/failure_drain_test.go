package role

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// Two servers are drained through the operators' API at the same time during load. Once
// the drain is in force they receive no new work, and their running work is not
// interrupted.
func TestDrainDuringLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	var running []*call
	for n := range 9 {
		running = append(running, c.send(c.Entries[n%3], fmt.Sprintf("drain-%d", n), "tokens=80"))
	}
	// Requests with a reservation from before the drain may still start, so the test
	// waits until all have started.
	for _, r := range running {
		c.waitForOutput(r)
	}
	// On a busy machine a transfer may stall, and its entry cancels the decode and uses another
	// server. Such cancellations from before the drain do not count.
	c.waitFor("no decode is left over", func() bool { return c.decodeCount() <= len(running) })
	leaving := []string{"decode-1", "decode-2"}
	cancelled := map[string]int{}
	for _, name := range leaving {
		cancelled[name] = c.Engines[name].Stats().Cancelled
	}
	for _, name := range leaving {
		_, err := c.operators().Drain(t.Context(), name, client.Options{})
		is.NoErr(err)
	}
	c.waitFor("the entries know that the servers leave", func() bool {
		for _, e := range c.Entries {
			if e.entry.serving() > len(c.Sidecars)-len(leaving) {
				return false
			}
		}
		return true
	})
	decodes := map[string]int{}
	for _, name := range leaving {
		decodes[name] = c.Engines[name].Stats().Decodes
	}
	for n := range 9 {
		running = append(running, c.send(c.Entries[n%3], fmt.Sprintf("after-%d", n), "tokens=5"))
	}
	for _, r := range running {
		c.checkAnswer(r)
	}
	for _, name := range leaving {
		is.Equal(c.Engines[name].Stats().Decodes, decodes[name])     // no new work
		is.Equal(c.Engines[name].Stats().Cancelled, cancelled[name]) // no work cancelled
	}
	c.waitUntilIdle()
}

// The engine of a draining server crashes while its last request runs. The request must
// continue on another server, and the drain must still complete.
func TestEngineDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	r := c.send(c.Entries[0], "drain-dies", "tokens=100")
	name := c.waitForDecode()
	c.waitForOutput(r)
	_, err := c.operators().Drain(t.Context(), name, client.Options{})
	is.NoErr(err)
	c.Engines[name].Kill()
	c.checkAnswer(r)
	c.waitUntilSettled("server/" + name)
}

// The sidecar of a leaving server crashes and restarts. It must not accept new work before
// it knows that the server leaves.
func TestSidecarDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	const name = "decode-1"
	_, err := c.operators().Drain(t.Context(), name, client.Options{})
	is.NoErr(err)
	c.waitUntilSettled("server/" + name)
	decodes := c.Engines[name].Stats().Decodes
	for range 2 {
		c.must(c.Sidecars[name].Kill())
		c.restartSidecar(name)
		for n := range 12 {
			c.checkAnswer(c.send(c.Entries[n%3], fmt.Sprintf("restarted-%d-%d", n, time.Now().UnixNano()), "tokens=2"))
		}
	}
	c.waitUntilSettled("server/" + name)
	is.Equal(c.Engines[name].Stats().Decodes, decodes)
}

// The leader crashes right after it has accepted a drain. The drain must still complete.
func TestLeaderDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	_, err := c.operators().Drain(t.Context(), "decode-1", client.Options{})
	is.NoErr(err)
	leader := c.leader()
	c.must(c.Controls[leader].Kill())
	c.waitUntilSettled("server/decode-1")
	c.restartControl(leader)
	c.waitUntilSettled("server/decode-1")
}

// waitUntilSettled waits until a server is as declared.
func (c *cluster) waitUntilSettled(key string) {
	c.t.Helper()
	_, name, _ := strings.Cut(key, "/")
	c.waitFor(key+" has left", func() bool {
		list, err := c.operators().Servers(c.t.Context())
		if err != nil {
			return false
		}
		for _, s := range list.Items {
			if s.Server.Name == name && s.Settled {
				return true
			}
		}
		return false
	})
}

// The deadline of a request passes during its decode. The response must end, and the
// engine's memory must be released.
func TestDeadlineEndsARequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, func(s *settings.Settings) { s.Dev.Servers[1].Count = 1 })
	r := c.send(c.Entries[0], "deadline", "tokens=2000", "deadline=1s")
	c.waitEnd(r)
	is.True(!r.complete)
	c.waitUntilIdle()
}
