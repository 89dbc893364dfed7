package follow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		c := newCluster(3, Config{Node: "entry-1", Role: "entry"})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			c.effects = nil
			runScript(t, c, d)
			return render(c)
		})
	})
}

func runScript(t *testing.T, c *cluster, d *datadriven.TestData) {
	var count int
	on := func(set func(*vm)) {
		for _, arg := range d.CmdArgs {
			if v, found := c.vms[arg.Key]; found {
				set(v)
			}
		}
	}
	switch d.Cmd {
	case "change":
		d.ScanArgs(t, "times", &count)
		for i := range count {
			c.change(fmt.Sprintf("s%d", i%5))
		}
	case "partition":
		on(func(v *vm) { v.partitioned = true })
	case "disconnect":
		on(func(v *vm) { v.unreachable = true })
	case "heal":
		on(func(v *vm) { v.partitioned, v.unreachable = false, false })
	case "drop": // messages in flight are lost, but the watch stays open
		c.send(false)
		c.inFlight = nil
	case "wait":
		d.ScanArgs(t, "s", &count)
		c.pass(time.Duration(count) * time.Second)
	case "restart":
		c.restart()
	case "unconfirmed":
		c.config.UnconfirmedAfter = 30 * time.Second
		c.restart()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

// render prints the effects and the follower's state; repeated effects are counted.
func render(c *cluster) string {
	counts := map[string]int{}
	for _, effect := range c.effects {
		switch e := effect.(type) {
		case Open:
			counts[fmt.Sprintf("open %s from=%d", e.Control, e.Watch.From)]++
		case Changed:
			counts[fmt.Sprintf("changed to %d whole=%t resources=%d", e.Revision, e.Complete, len(e.Resources))]++
		case Count:
			counts[fmt.Sprintf("count %s %s", e.What, e.Control)]++
		case Send:
			counts[fmt.Sprintf("reached %d", e.Message.(message.Reached).Revision)]++
		}
	}
	var lines strings.Builder
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&lines, "%s x%d\n", line, counts[line])
	}
	fmt.Fprintf(&lines, "= %s at %d, current %t, %s old\n", c.follower.Following(),
		c.follower.View().Revision, c.follower.Current(), c.follower.Age(c.now))
	return lines.String()
}

// TestRevisionsNeverGoBack runs a follower through random sequences with control
// VMs that are partitioned, unreachable or behind, over watches that lose,
// duplicate and reorder messages.
//
// It guards against a follower that returns to an older configuration: a process
// restarts, or switches to another control VM, and adopts the state of a
// partitioned one without confirmation by a quorum.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, Config{Node: rapid.StringMatching("[a-z]{1,4}").Draw(t, "node")})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			randomStep(t, c)
		}
		if c.wentBack {
			t.Fatal("the revision in force decreased")
		}
		for _, v := range c.vms {
			v.partitioned, v.unreachable = false, false
		}
		c.pass(2 * time.Minute)
		if newest := c.vms["c1"].state.Revision(); c.follower.View().Revision != newest || c.wentBack {
			t.Fatalf("the follower is at revision %d, the newest is %d", c.follower.View().Revision, newest)
		}
		if !sameResources(c) {
			t.Fatal("the follower's resources differ from the declared ones")
		}
	})
}

func sameResources(c *cluster) bool {
	want, _ := c.vms["c1"].state.Update(0)
	followed := map[string]bool{}
	for _, r := range c.follower.View().List("") {
		data, _ := r.MarshalCBOR()
		followed[string(data)] = true
	}
	for _, r := range want.Resources {
		if !followed[string(r)] {
			return false
		}
	}
	return len(want.Resources) == len(followed)
}

func randomStep(t *rapid.T, c *cluster) {
	v := c.vms[rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "vm")]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		c.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
	case 2: // at most one is partitioned, so that a quorum remains
		for _, other := range c.vms {
			other.partitioned = false
		}
		v.partitioned = true
	case 3:
		v.unreachable = !v.unreachable
	case 4:
		c.restart()
	case 5:
		if c.open != nil {
			c.send(false)
		}
	case 6: // any message in flight arrives next, and may be duplicated
		if len(c.inFlight) > 0 {
			i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
			if rapid.Bool().Draw(t, "duplicated") {
				c.inFlight = append(c.inFlight, c.inFlight[i])
			}
			c.arrive(i)
		}
	case 7:
		if len(c.inFlight) > 0 {
			i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "lost")
			c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
		}
	case 8:
		c.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
	default:
		c.now = c.now.Add(time.Second)
		c.replicate()
		c.reduce(Ticked{At: c.now})
	}
}

// TestFollowersSpread checks that followers are spread evenly over the control VMs,
// and that the followers of a lost control VM are spread over all others.
func TestFollowersSpread(t *testing.T) {
	is := is.New(t)
	controls := []Control{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}, {Name: "c4"}, {Name: "c5"}}
	first := map[string]int{}
	second := map[string]int{}
	for i := range 1000 {
		s := New(Config{Node: fmt.Sprintf("node-%d", i), Controls: controls})
		first[s.order[0].Name]++
		if s.order[0].Name == "c1" {
			second[s.order[1].Name]++
		}
	}
	for _, c := range controls {
		is.True(first[c.Name] > 150 && first[c.Name] < 250)
	}
	is.Equal(len(second), 4)
}

func TestMalformedUpdatesAreDropped(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, Config{Node: "n"})
	c.change("a")
	c.pass(2 * time.Second)
	is.Equal(c.follower.View().Revision, uint64(1))
	bad := message.Update{Revision: 2, From: 1, Confirmed: true, Resources: [][]byte{[]byte("torn")}}
	before := c.follower.Following()
	c.reduce(Received{At: c.now, Link: c.open.Link, Update: bad})
	is.Equal(c.follower.View().Revision, uint64(1))
	c.pass(10 * time.Second)
	is.True(c.follower.Following() != before)
}
