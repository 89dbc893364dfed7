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

// Two servers are drained through the operators' API during load, at once: no new work reaches them once the drain is in force, and what they run
// ends untouched.
func TestDrainDuringLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	var running []*call
	for n := range 9 {
		running = append(running, c.ask(c.Entries[n%3], fmt.Sprintf("drain-%d", n), "tokens=80"))
	}
	// What was granted room before the drain may still start, so all start first.
	for _, r := range running {
		c.streaming(r)
	}
	leaving := []string{"decode-1", "decode-2"}
	for _, name := range leaving {
		_, err := c.operators().Drain(t.Context(), name, client.Options{})
		is.NoErr(err)
	}
	c.until("the entries know that the servers leave", func() bool {
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
		running = append(running, c.ask(c.Entries[n%3], fmt.Sprintf("after-%d", n), "tokens=5"))
	}
	for _, r := range running {
		c.wholeAnswer(r)
	}
	for _, name := range leaving {
		is.Equal(c.Engines[name].Stats().Decodes, decodes[name]) // no new work
		is.Equal(c.Engines[name].Stats().Cancelled, 0)           // nothing cut
	}
	c.free()
}

// A server leaves, and its engine dies while its last request runs: the
// request goes on elsewhere and the server still gets to its end.
func TestEngineDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	r := c.ask(c.Entries[0], "drain-dies", "tokens=100")
	name := c.decoding()
	c.streaming(r)
	_, err := c.operators().Drain(t.Context(), name, client.Options{})
	is.NoErr(err)
	c.Engines[name].Kill()
	c.wholeAnswer(r)
	c.reached("server/" + name)
}

// The sidecar of a leaving server dies and starts anew: it must not take new
// work before it knows that it leaves.
func TestSidecarDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	const name = "decode-1"
	_, err := c.operators().Drain(t.Context(), name, client.Options{})
	is.NoErr(err)
	c.reached("server/" + name)
	decodes := c.Engines[name].Stats().Decodes
	for range 2 {
		c.must(c.Sidecars[name].Kill())
		c.restartSidecar(name)
		for n := range 12 {
			c.wholeAnswer(c.ask(c.Entries[n%3], fmt.Sprintf("restarted-%d-%d", n, time.Now().UnixNano()), "tokens=2"))
		}
	}
	c.reached("server/" + name)
	is.Equal(c.Engines[name].Stats().Decodes, decodes)
}

// The leader dies right after it accepted a drain: the drain still takes hold.
func TestLeaderDiesDuringDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	_, err := c.operators().Drain(t.Context(), "decode-1", client.Options{})
	is.NoErr(err)
	leader := c.leader()
	c.must(c.Controls[leader].Kill())
	c.reached("server/decode-1")
	c.restartControl(leader)
	c.reached("server/decode-1")
}

// reached waits until a server is as it was declared.
func (c *cluster) reached(key string) {
	c.t.Helper()
	_, name, _ := strings.Cut(key, "/")
	c.until(key+" has left", func() bool {
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

// A deadline passes in the middle of a decode: the caller is told, and the
// engine's memory is free.
func TestDeadlineEndsARequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, func(s *settings.Settings) { s.Dev.Servers[1].Count = 1 })
	r := c.ask(c.Entries[0], "deadline", "tokens=2000", "deadline=1s")
	c.end(r)
	is.True(!r.whole)
	c.free()
}
