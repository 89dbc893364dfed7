package quotalease

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// step is the resolution of the simulated time, and dueInterval the interval of Due.
const (
	step        = 10 * time.Millisecond
	dueInterval = 100 * time.Millisecond
)

var start = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// group simulates members that exchange messages without delay.
type group struct {
	now   time.Time
	names []string
	nodes map[string]*node
	// cut holds the links that lose messages, as "from to".
	cut map[string]bool
}

// node is one member. It is down until up; behind is for how long it was suspended. Its times are
// those of its clock, which stops while it is suspended; jumped is set until it has noticed that.
type node struct {
	state   *State
	leader  string
	lost    time.Time
	members []string
	up      time.Time
	behind  time.Duration
	jumped  bool
}

func newGroup(names []string) *group {
	g := &group{now: start, names: names, nodes: map[string]*node{}, cut: map[string]bool{}}
	for _, name := range names {
		g.restart(name)
	}
	return g
}

func (g *group) restart(name string) {
	g.nodes[name] = &node{state: New(name, g.now), lost: g.now, members: g.names, up: g.now}
}

func (g *group) isUp(name string) bool { return !g.now.Before(g.nodes[name].up) }

// clock returns the time by the clock of a member.
func (g *group) clock(name string) time.Time { return g.now.Add(-g.nodes[name].behind) }

func (g *group) observe(name string) {
	n := g.nodes[name]
	if n.jumped {
		Reduce(n.state, ClockJumped{At: g.clock(name)})
		n.jumped = false
	}
	Reduce(n.state, Observed{At: g.clock(name), Leader: n.leader, Lost: n.lost, Members: n.members})
}

func (g *group) setLeader(name, leader string) {
	n := g.nodes[name]
	if leader == "" && n.leader != "" {
		n.lost = g.clock(name)
	}
	n.leader = leader
	g.observe(name)
}

// due has a member send its requests and receive the answers.
func (g *group) due(name string) {
	g.observe(name)
	for _, effect := range Reduce(g.nodes[name].state, Due{At: g.clock(name)}) {
		ask := effect.(Ask)
		if g.cut[name+" "+ask.To] || !g.isUp(ask.To) {
			continue
		}
		g.observe(ask.To)
		answer := Reduce(g.nodes[ask.To].state, Asked{At: g.clock(ask.To), From: name, Ask: ask})[0].(Answer)
		if !g.cut[ask.To+" "+name] {
			Reduce(g.nodes[name].state, Answered{At: g.clock(name), From: ask.To, Answer: answer})
		}
	}
}

// advance advances the time by a step, and calls Due of the members that are up.
func (g *group) advance() {
	g.now = g.now.Add(step)
	for i, name := range g.names {
		offset := step * time.Duration(i)
		if g.isUp(name) && (g.now.Sub(start)+offset)%dueInterval == 0 {
			g.due(name)
		}
	}
}

// partition cuts the links between members of different sides.
func (g *group) partition(sides []string) {
	side := func(name string) int {
		return slices.IndexFunc(sides, func(s string) bool { return strings.Contains(s, name) })
	}
	for _, a := range g.names {
		for _, b := range g.names {
			g.cut[a+" "+b] = side(a) != side(b)
		}
	}
}

// show prints the share and the leases of each member that has any.
func (g *group) show(out *strings.Builder) {
	total := 0.0
	for _, name := range g.names {
		g.observe(name)
		s := g.nodes[name].state
		if share := s.Share(g.clock(name)); g.isUp(name) && share > 0 {
			fmt.Fprintf(out, "%s grants %v with %d of %d leases\n", name, share, s.Leases(g.clock(name)), s.Members())
			total += share
		}
	}
	fmt.Fprintf(out, "together %v\n", total)
}

// TestScripts runs the files of testdata/scripts. Members have names of one letter. Each line of a
// block is an event:
//
//	members NAMES          starts members, which know no leader
//	leader NAME|- MEMBERS  members that learn the leader, or that there is none
//	know NAMES MEMBERS     members that learn another list of members
//	partition SIDE…        cuts all links between the sides
//	cut FROM TO            cuts one direction of a link
//	heal
//	restart NAMES
//	freeze DURATION NAMES
//	jump NAMES             the clocks have jumped
//	wait DURATION
//	show                   prints who may grant
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var g *group
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				if words[0] == "members" {
					g = newGroup(strings.Split(words[1], ""))
					continue
				}
				g.run(t, words, &out)
			}
			return out.String()
		})
	})
}

func (g *group) run(t *testing.T, words []string, out *strings.Builder) {
	each := func(act func(name string)) {
		for _, name := range strings.Split(words[len(words)-1], "") {
			act(name)
		}
	}
	switch words[0] {
	case "leader":
		each(func(name string) { g.setLeader(name, strings.Trim(words[1], "-")) })
	case "know":
		each(func(name string) { g.nodes[name].members = strings.Split(words[1], "") })
	case "partition":
		g.partition(words[1:])
	case "cut":
		g.cut[words[1]+" "+words[2]] = true
	case "heal":
		clear(g.cut)
	case "restart":
		each(g.restart)
	case "freeze":
		each(func(name string) { g.nodes[name].up = g.now.Add(duration(t, words[1])) })
	case "jump":
		each(func(name string) { g.nodes[name].jumped = true })
	case "wait":
		for end := g.now.Add(duration(t, words[1])); g.now.Before(end); {
			g.advance()
		}
	case "show":
		g.show(out)
	}
}

func duration(t *testing.T, word string) time.Duration {
	t.Helper()
	value, err := time.ParseDuration(word)
	is.New(t).NoErr(err)
	return value
}
