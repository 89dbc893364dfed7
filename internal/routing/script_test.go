package routing

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the files of testdata/scripts. Their commands:
//
//	check     checks a routing in JSON; prints its errors
//	table     sets a routing in JSON for the following matches
//	match     HOST PATH on each line; prints the route of each
//	target    a number from 0 to 1 on each line, for route=NAME; prints the service
//	replace   VERSION DOCUMENT on each line, in the order of the log; prints the result
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var table *Table
		store, index := NewStore(), uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "check", "table":
				r := readRouting(t, d)
				if err := r.Check(); err != nil {
					return err.Error()
				}
				table = NewTable(r)
				return "ok"
			case "match":
				for line := range strings.Lines(d.Input) {
					host, path, _ := strings.Cut(strings.TrimSpace(line), " ")
					fmt.Fprintln(&out, nameOf(table.Match(host, path)))
				}
			case "target":
				var name string
				d.ScanArgs(t, "route", &name)
				for line := range strings.Lines(d.Input) {
					var at float64
					_, err := fmt.Sscan(line, &at)
					is.New(t).NoErr(err)
					fmt.Fprintln(&out, Target(routeNamed(table, name), at))
				}
			case "replace":
				for line := range strings.Lines(d.Input) {
					index++
					fmt.Fprintln(&out, replace(t, store, index, strings.TrimSpace(line)))
				}
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return out.String()
		})
	})
}

func readRouting(t *testing.T, d *datadriven.TestData) oriolebend.Routing {
	t.Helper()
	var r oriolebend.Routing
	is.New(t).NoErr(json.Unmarshal([]byte(d.Input), &r))
	return r
}

func nameOf(r *oriolebend.Route) string {
	if r == nil {
		return "none"
	}
	return r.Name
}

func routeNamed(table *Table, name string) *oriolebend.Route {
	for i := range table.Routing.Routes {
		if table.Routing.Routes[i].Name == name {
			return &table.Routing.Routes[i]
		}
	}
	return nil
}

// replace applies one command to the store and to a copy restored from a snapshot that was
// taken before the command; both must return the same result.
func replace(t *testing.T, s *Store, index uint64, line string) string {
	t.Helper()
	is := is.New(t)
	var version uint64
	var document string
	_, err := fmt.Sscan(line, &version, &document)
	is.NoErr(err)
	command, err := cbor.Marshal(Replace{Routing: oriolebend.Routing{Version: version}, Document: []byte(document)})
	is.NoErr(err)
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	restored := NewStore()
	is.NoErr(restored.Restore(snapshot))
	result := s.Apply(index, command)
	is.Equal(result, restored.Apply(index, command)) // a restored store returns the same result
	var replaced Replaced
	is.NoErr(cbor.Unmarshal(result, &replaced))
	current, _ := s.Current()
	other, _ := restored.Current()
	is.Equal(current, other)
	return fmt.Sprintf("changed %t, in force %d %s", replaced.Changed, current.Version, current.Document)
}

// Guards against a control VM that stops, or diverges from the others, after a committed
// command that can't be decoded: every control VM must handle it in the same way.
func TestUnreadableCommandChangesNothing(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	is.Equal(s.Apply(1, []byte("no command")), nil)
	is.Equal(s.Apply(2, nil), nil)
	current, _ := s.Current()
	is.Equal(current.Version, uint64(0))
}
