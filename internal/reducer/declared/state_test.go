package declared

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the scripts in testdata: races, resent orders, references and
// memberships. Every command is encoded and decoded, as by the log.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := New()
		at := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at = at.Add(time.Second)
			return runScript(t, s, at, d)
		})
	})
}

func runScript(t *testing.T, s *State, at time.Time, d *datadriven.TestData) string {
	switch d.Cmd {
	case "apply", "delete":
		return renderResult(s.Apply(0, throughEncoding(t, Command{At: at, Order: scriptOrder(t, d)})))
	case "dryrun":
		return renderResult(s.DryRun(*scriptOrder(t, d)))
	case "announce":
		server := oriolebend.Server{Name: scriptArgument(d, "name"), State: oriolebend.ServerServing}
		server.State = oriolebend.ServerState(scriptArgument(d, "state"))
		fmt.Sscan(scriptArgument(d, "start"), &server.Incarnation)
		return renderResult(s.Apply(0, throughEncoding(t, Command{Members: &Members{Announced: []oriolebend.Server{server}}})))
	case "gone":
		gone := EndedMember{Name: scriptArgument(d, "name")}
		fmt.Sscan(scriptArgument(d, "start"), &gone.Incarnation)
		return renderResult(s.Apply(0, throughEncoding(t, Command{Members: &Members{Ended: []EndedMember{gone}}})))
	case "restart": // a control VM restarts from its snapshot
		data, err := s.Snapshot()
		is.New(t).NoErr(err)
		*s = *New()
		is.New(t).NoErr(s.Restore(data))
		return ""
	case "advance":
		advance := &Advance{Who: "ana"}
		fmt.Sscan(scriptArgument(d, "to"), &advance.To)
		return renderResult(s.Apply(0, throughEncoding(t, Command{Advance: advance})))
	case "interrupted":
		return fmt.Sprintln(s.View().Interrupted)
	case "since":
		var from uint64
		fmt.Sscan(scriptArgument(d, "from"), &from)
		return renderChanges(s.Since(from))
	case "audit":
		var lines strings.Builder
		for _, e := range s.Audit(0) {
			fmt.Fprintf(&lines, "%d %s %s %s/%s %s\n", e.Revision, e.Who, e.Action, e.Kind, e.Name, e.OrderID)
		}
		return lines.String()
	}
	t.Fatalf("no command %q", d.Cmd)
	return ""
}

func scriptArgument(d *datadriven.TestData, key string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func scriptOrder(t *testing.T, d *datadriven.TestData) *Order {
	o := &Order{Action: oriolebend.ActionDelete, Who: scriptArgument(d, "who"), OrderID: scriptArgument(d, "id")}
	kind, name, _ := strings.Cut(scriptArgument(d, "key"), "/")
	o.Kind, o.Name = oriolebend.ResourceKind(kind), name
	if expect := scriptArgument(d, "expect"); expect != "" {
		o.Expect = new(uint64)
		fmt.Sscan(expect, o.Expect)
	}
	if d.Input != "" {
		o.Action = oriolebend.ActionApply
		o.Resource = &oriolebend.Resource{}
		text := fmt.Sprintf(`{"kind":%q,"name":%q,"spec":%s}`, kind, name, d.Input)
		is.New(t).NoErr(json.Unmarshal([]byte(text), o.Resource))
	}
	return o
}

func throughEncoding(t testing.TB, c Command) Command {
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var read Command
	if err := cbor.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

func renderResult(r oriolebend.ChangeResult) string {
	text := fmt.Sprintf("%s %d", r.Outcome, r.Revision)
	if r.Resent {
		text += " resent"
	}
	if r.DryRun {
		text += " dry"
	}
	if r.Current != nil {
		spec, _ := json.Marshal(r.Current.Spec)
		text += fmt.Sprintf(" current=%s", spec)
	}
	if r.Winner != nil {
		text += fmt.Sprintf(" winner=%s:%s:%s", r.Winner.Who, r.Winner.Action, r.Winner.OrderID)
	}
	for _, p := range r.Problems {
		text += fmt.Sprintf("\n%s: %s (%s)", p.Field, p.Problem, p.Allowed)
	}
	return text + "\n"
}

func renderChanges(changes []Change, known bool, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	if !known {
		return "snapshot\n"
	}
	var lines strings.Builder
	for _, c := range changes {
		if c.Server != nil {
			fmt.Fprintf(&lines, "%d announced %s %s %d\n", c.Revision, c.Server.Name, c.Server.State, c.Server.Incarnation)
			continue
		}
		fmt.Fprintf(&lines, "%d %s deleted=%t\n", c.Revision, c.Resource.Key(), c.Resource.Deleted)
	}
	return lines.String()
}

// TestRestoredStateAnswersAlike runs random commands on two states, one of which
// is replaced by its restored snapshot from time to time.
//
// It guards against two control VMs that answer the same order differently. This
// happens if one of them restarted from a snapshot and an answer depends on data
// that the snapshot does not hold.
func TestRestoredStateAnswersAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lasting, restarted := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			command := drawCommand(t)
			first, second := lasting.Apply(0, command), restarted.Apply(0, command)
			if renderResult(first) != renderResult(second) {
				t.Fatalf("%s against %s", renderResult(first), renderResult(second))
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				restart(t, restarted)
			}
		}
		one, _ := lasting.Snapshot()
		two, _ := restarted.Snapshot()
		if string(one) != string(two) {
			t.Fatal("snapshots differ")
		}
		from := rapid.Uint64Range(0, lasting.Revision()).Draw(t, "from")
		if renderChanges(lasting.Since(from)) != renderChanges(restarted.Since(from)) {
			t.Fatal("feeds differ")
		}
	})
}

func restart(t *rapid.T, s *State) {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(data); err != nil {
		t.Fatal(err)
	}
}

func drawCommand(t *rapid.T) Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	start := rapid.Uint64Range(1, 3).Draw(t, "start")
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		return Command{Members: &Members{Ended: []EndedMember{{Name: name, Incarnation: start}}}}
	case 1:
		server := oriolebend.Server{Name: name, Incarnation: start, State: oriolebend.ServerServing}
		return Command{Members: &Members{Announced: []oriolebend.Server{server}}}
	}
	o := &Order{
		Action: oriolebend.ActionDelete, Kind: oriolebend.KindServer, Name: name, Who: "ana",
		OrderID: rapid.SampledFrom([]string{"", "1", "2", "3", "4"}).Draw(t, "order"),
	}
	if rapid.Bool().Draw(t, "apply") {
		state := rapid.SampledFrom([]oriolebend.ServerState{oriolebend.ServerLeaving, oriolebend.ServerServing}).Draw(t, "state")
		o.Action = oriolebend.ActionApply
		o.Resource = &oriolebend.Resource{Kind: o.Kind, Name: name, Spec: &oriolebend.DeclaredServer{State: state}}
	}
	if rapid.Bool().Draw(t, "expecting") {
		expect := rapid.Uint64Range(0, 12).Draw(t, "expect")
		o.Expect = &expect
	}
	return Command{Order: o}
}

// TestBounds checks the limits of the data that is kept besides the resources,
// and that a follower with a revision before a removed deletion needs a snapshot.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 2*maxTombstones + 10 {
		name := fmt.Sprintf("s%d", i)
		server := oriolebend.Server{Name: name, Incarnation: 1, State: oriolebend.ServerServing}
		s.Apply(0, Command{Members: &Members{Announced: []oriolebend.Server{server}}})
		s.Apply(0, Command{Members: &Members{Ended: []EndedMember{{Name: name, Incarnation: 1}}}})
	}
	is.Equal(len(s.feed.deletions), maxTombstones)
	is.Equal(len(s.endedIncarnations), maxTombstones)
	is.True(len(s.feed.entries) < 2*maxTombstones+minFeedCompaction+2)
	_, known, err := s.Since(5)
	is.NoErr(err)
	is.True(!known)
	for i := range maxAnswers + 10 {
		state := []oriolebend.ServerState{oriolebend.ServerLeaving, oriolebend.ServerServing}[i%2]
		s.Apply(0, Command{Order: &Order{
			Action: oriolebend.ActionApply, Kind: oriolebend.KindServer, Name: "a",
			OrderID:  fmt.Sprint(i),
			Resource: &oriolebend.Resource{Kind: oriolebend.KindServer, Name: "a", Spec: &oriolebend.DeclaredServer{State: state}},
		}})
	}
	is.Equal(len(s.answers.byOrder), maxAnswers)
	is.Equal(len(s.Audit(0)), maxAudit)
}

func TestRestoreRefusesUnreadableSnapshots(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, Command{Members: &Members{Announced: []oriolebend.Server{{Name: "a", State: oriolebend.ServerServing}}}})
	newer, err := cbor.Marshal(map[string]any{"format": 99})
	is.NoErr(err)
	for _, data := range [][]byte{nil, []byte("torn"), newer} {
		is.True(s.Restore(data) != nil)
		is.Equal(len(s.View().Servers), 1) // the state is unchanged
	}
}

// FuzzCommand applies commands of a damaged or foreign log. Applying them must
// neither panic nor accept an invalid resource.
func FuzzCommand(f *testing.F) {
	seed := Command{At: time.Unix(1, 0), Order: &Order{
		Action: oriolebend.ActionApply, Kind: oriolebend.KindModel, Name: "m",
		Resource: &oriolebend.Resource{Kind: oriolebend.KindModel, Name: "m", Spec: &oriolebend.Model{Versions: []string{"v"}}},
	}}
	data, err := cbor.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Command
		if cbor.Unmarshal(data, &c) != nil {
			return
		}
		s := New()
		s.Apply(0, c)
		for _, r := range s.View().List("") {
			if err := r.Check(); err != nil {
				t.Fatal(err)
			}
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
