package member

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// leader runs the reducer of the leader over a declared state that applies commands at once.
type leader struct {
	now     time.Time
	members *State
	log     *declared.State
	out     strings.Builder
	writes  int
	failing bool // proposals fail
}

func newLeader() *leader {
	return &leader{now: time.Unix(0, 0), members: New(Config{}), log: declared.New()}
}

func (l *leader) reduce(e Event) {
	for _, effect := range Reduce(l.members, e) {
		switch e := effect.(type) {
		case Propose:
			l.propose(e)
		case Count:
			fmt.Fprintf(&l.out, "count %s %s\n", e.Name, e.Server)
		case Reply:
			if answer, ok := e.Message.(message.Permitted); ok {
				fmt.Fprintf(&l.out, "%s: granted=%t %s\n", e.Session, answer.Granted, answer.Detail)
			}
			if answer, ok := e.Message.(message.Announced); ok && answer.LeaseFor == 0 {
				fmt.Fprintf(&l.out, "%s: no lease, known start %d\n", e.Session, answer.Incarnation)
			}
		}
	}
}

func (l *leader) propose(p Propose) {
	if l.failing {
		l.reduce(Proposed{At: l.now, Failed: true})
		return
	}
	l.writes++
	for _, s := range p.Members.Announced {
		fmt.Fprintf(&l.out, "write %s %s\n", s.Name, s.State)
	}
	for _, g := range p.Members.Ended {
		fmt.Fprintf(&l.out, "write %s gone\n", g.Name)
	}
	l.log.Apply(0, declared.Command{At: l.now, Members: &p.Members})
	l.reduce(Committed{At: l.now, View: l.log.View().Copy()})
	l.reduce(Proposed{At: l.now})
}

func (l *leader) announce(name string, start uint64, state oriolebend.ServerState, model oriolebend.LoadedModel) {
	server := oriolebend.Server{Name: name, Incarnation: start, State: state, Role: oriolebend.Decode}
	server.Models = []oriolebend.LoadedModel{model}
	l.reduce(Announced{At: l.now, Session: SessionID(name), Announce: message.Announce{Server: server}})
}

// pass advances the clock; the servers in renewing renew every second.
func (l *leader) pass(d time.Duration, renewing []string) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(TickEvery)
		if l.now.Nanosecond() == 0 {
			for _, name := range renewing {
				announce := l.members.leases[name].Announce
				l.reduce(Announced{At: l.now, Session: SessionID(name), Announce: announce})
			}
		}
		l.reduce(Ticked{At: l.now})
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		l := newLeader()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			l.out.Reset()
			runScript(t, l, d)
			return l.out.String()
		})
	})
}

func runScript(t *testing.T, l *leader, d *datadriven.TestData) {
	names := func(key string) []string {
		for _, arg := range d.CmdArgs {
			if arg.Key == key {
				return arg.Vals
			}
		}
		return nil
	}
	var seconds int
	switch d.Cmd {
	case "lead": // a new leader that knows only the log
		l.members = New(Config{})
		l.reduce(LeadershipGained{At: l.now, View: l.log.View().Copy()})
	case "deposed":
		l.reduce(Deposed{At: l.now})
	case "announce":
		var start uint64
		d.ScanArgs(t, "start", &start)
		version := "v1"
		d.MaybeScanArgs(t, "version", &version)
		state := oriolebend.ServerState(names("state")[0])
		for _, name := range names("servers") {
			l.announce(name, start, state, oriolebend.LoadedModel{Model: "m", Version: version})
		}
	case "pass":
		d.ScanArgs(t, "s", &seconds)
		l.pass(time.Duration(seconds)*time.Second, names("renew"))
	case "pause": // the process of the leader is paused
		d.ScanArgs(t, "s", &seconds)
		l.now = l.now.Add(time.Duration(seconds) * time.Second)
		l.reduce(Ticked{At: l.now})
	case "failing":
		l.failing = true
	case "healed":
		l.failing = false
	case "permit":
		p := message.Permit{Server: names("server")[0], Out: d.HasArg("out"), Load: d.HasArg("load")}
		p.HeldOut, p.HeldLoad, p.Done = d.HasArg("heldOut"), d.HasArg("heldLoad"), d.HasArg("done")
		l.reduce(PermitRequested{At: l.now, Session: SessionID(p.Server), Permit: p})
	case "declare":
		declare(t, l, d)
	case "flap": // a lease expires and the server returns, repeatedly
		flap(t, l, d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func flap(t *testing.T, l *leader, d *datadriven.TestData) {
	var times int
	d.ScanArgs(t, "times", &times)
	l.writes = 0
	for range times {
		l.announce("flappy", 1, oriolebend.ServerServing, oriolebend.LoadedModel{Model: "m", Version: "v1"})
		l.pass(7*time.Second, nil)
	}
	out := l.out.String()
	l.out.Reset()
	fmt.Fprintf(&l.out, "%d writes, %d damped\n", l.writes, strings.Count(out, "damped"))
}

func declare(t *testing.T, l *leader, d *datadriven.TestData) {
	for _, line := range strings.Split(d.Input, "\n") {
		var r oriolebend.Resource
		is.New(t).NoErr(json.Unmarshal([]byte(line), &r))
		order := &declared.Order{Action: oriolebend.ActionApply, Kind: r.Kind, Name: r.Name, Resource: &r}
		result := l.log.Apply(0, declared.Command{Order: order})
		if !result.Done() {
			t.Fatalf("%+v", result)
		}
	}
	l.reduce(Committed{At: l.now, View: l.log.View().Copy()})
}

// TestFailedProposalsCostNothing guards against servers that stay out for minutes after a
// partition has healed: each failed proposal is retried at every tick, and must not take credit.
func TestFailedProposalsCostNothing(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	l.reduce(LeadershipGained{At: l.now, View: l.log.View().Copy()})
	l.failing = true
	l.announce("a", 1, oriolebend.ServerServing, oriolebend.LoadedModel{})
	l.pass(30*time.Second, []string{"a"})
	l.failing = false
	l.pass(time.Second, nil)
	is.Equal(len(l.log.View().Servers), 1)
	is.Equal(len(l.members.Damped(l.now)), 0)
}
