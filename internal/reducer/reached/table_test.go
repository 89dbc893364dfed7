package reached

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var start = time.Unix(1000, 0)

func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func list(t *Table) string {
	var words []string
	for _, r := range t.List() {
		words = append(words, fmt.Sprintf("%s@%d(%s)", r.Node, r.Revision, r.Control))
	}
	return strings.Join(words, " ")
}

// TestTablesMerge checks the reports that control VMs exchange.
func TestTablesMerge(t *testing.T) {
	is := is.New(t)
	c1, c2 := New("c1"), New("c2")
	c1.Record(after(0), message.Reached{Node: "e1", Revision: 5})
	c2.Record(after(0), message.Reached{Node: "e2", Revision: 6})
	c2.Merge(after(1), c1.LocalFollowers(after(1)))
	is.Equal(list(c2), "e1@5(c1) e2@6(c2)")

	// The follower moves to c2 and reports a later revision; c1 has an older report.
	c2.Record(after(3), message.Reached{Node: "e1", Revision: 7})
	c2.Merge(after(4), c1.LocalFollowers(after(4)))
	is.Equal(list(c2), "e1@7(c2) e2@6(c2)")
	c1.Merge(after(4), c2.LocalFollowers(after(4)))
	is.Equal(list(c1), "e1@7(c2) e2@6(c2)")
	is.Equal(len(c1.LocalFollowers(after(4)).List), 0)

	// The follower restarts and has no state yet: that is reported.
	c1.Record(after(5), message.Reached{Node: "e1", Revision: 0})
	c2.Merge(after(6), c1.LocalFollowers(after(6)))
	is.Equal(list(c2), "e1@0(c1) e2@6(c2)")

	c2.Forget(after(7).Add(ForgetAfter))
	is.Equal(list(c2), "")
}

// TestMergeWithDifferentClocks merges reports of control VMs whose clocks differ by
// an hour.
func TestMergeWithDifferentClocks(t *testing.T) {
	is := is.New(t)
	ahead, here := New("c1"), New("c2")
	ahead.Record(after(3600), message.Reached{Node: "e1", Revision: 5})
	here.Merge(after(2), ahead.LocalFollowers(after(3602)))
	here.Record(after(1), message.Reached{Node: "e1", Revision: 6})
	is.Equal(list(here), "e1@6(c2)")
}

func TestStatusText(t *testing.T) {
	is := is.New(t)
	o := Observed{At: after(100), View: declared.View{Revision: 42}}
	for i := range 320 {
		r := Report{Node: fmt.Sprintf("entry-%03d", i), Revision: 42, At: after(99)}
		switch i {
		case 7:
			r.Revision = 40
		case 8: // has the revision, but has been silent for too long to count
			r.At = after(10)
		case 9:
			r.Revision, r.At = 39, after(0)
		}
		o.Reports = append(o.Reports, r)
	}
	want := "in force on 317 of 320; the rest: entry-007 at 40, entry-008 at 42, silent for 1m30s, entry-009 at 39, silent for 1m40s"
	is.Equal(o.Status().Text, want)
}

// TestExplain checks the reasons given for a pool or server that is not as declared.
func TestExplain(t *testing.T) {
	pool := &oriolebend.Pool{Role: oriolebend.Decode, Model: "m", Version: "v2", MinServers: 2, Adapters: []string{"a"}, Servers: []string{"s1", "s2"}}
	server := func(state oriolebend.ServerState, models ...oriolebend.LoadedModel) oriolebend.Server {
		return oriolebend.Server{State: state, Role: oriolebend.Decode, Models: models}
	}
	loaded := oriolebend.LoadedModel{Model: "m", Version: "v2", Adapters: []string{"a"}}
	for _, test := range []struct {
		name   string
		s1, s2 oriolebend.Server
		want   string
	}{
		{"as declared", server(oriolebend.ServerServing, loaded), server(oriolebend.ServerServing, loaded), ""},
		{
			"old version, none to spare",
			server(oriolebend.ServerServing, oriolebend.LoadedModel{Model: "m", Version: "v1"}), server(oriolebend.ServerServing, loaded),
			"has no server to spare|s1 holds m@v1, declared m@v2; waits its turn (waiting)",
		},
		{
			"adapter missing", server(oriolebend.ServerServing, loaded),
			server(oriolebend.ServerServing, oriolebend.LoadedModel{Model: "m", Version: "v2"}), "s2 lacks adapter a",
		},
		{
			"empty", server(oriolebend.ServerServing, loaded), server(oriolebend.ServerLoading),
			"under its minimum of 2|s2 holds no model",
		},
		{
			"role", server(oriolebend.ServerServing, loaded),
			oriolebend.Server{State: oriolebend.ServerServing, Role: oriolebend.Prefill},
			"s2 has role prefill, declared decode",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			view := declared.NewView()
			test.s1.Name, test.s2.Name = "s1", "s2"
			r := oriolebend.Resource{Kind: oriolebend.KindPool, Name: "p", Revision: 3, Spec: pool}
			view.Merge(5, []oriolebend.Server{test.s1, test.s2}, []oriolebend.Resource{r})
			o := Observed{At: start, View: view, Announcements: map[string]message.Announce{
				"s1": {Progress: message.ProgressWaiting, Detail: "waits its turn"},
			}}
			e, found := o.Explain(r.Key())
			is.True(found)
			is.Equal(e.Reached, test.want == "")
			text := strings.Join(e.Lines, "\n")
			for _, part := range strings.Split(test.want, "|") {
				is.True(strings.Contains(text, part))
			}
		})
	}
}
