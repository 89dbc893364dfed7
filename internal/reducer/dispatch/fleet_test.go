package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestMemoryOfSilentEnginesIsNotFree guards against a log that reports an eighth of the memory as
// free for ten seconds in which requests are refused for lack of it. One of eight engines is lost
// for good and is silent from then on. Its memory must not count as free.
func TestMemoryOfSilentEnginesIsNotFree(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1000}}}})
	engine := func(name string, silent bool) message.BackendServer {
		return message.BackendServer{Instance: name, Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode, Silent: silent}
	}
	Reduce(s, Fleet{Servers: []message.BackendServer{engine("a", false), engine("b", true)}})
	is.Equal(s.FreeShare(scriptStart, "s"), 1.0)
	Reduce(s, PlacementRequested{At: scriptStart, Need: Need{Service: "s", Prompt: 500, Output: 500}})
	is.Equal(s.FreeShare(scriptStart, "s"), 0.0)
}

// TestServerChangesEqualCompleteList checks that single changes to the list of servers lead to the
// same state as replacing the complete list, also for servers that are removed while they have work
// in progress.
func TestServerChangesEqualCompleteList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete, changed := New(Config{Seed: 1}), New(Config{Seed: 1})
		both := func(e Event) []Effect {
			Reduce(complete, e)
			return Reduce(changed, e)
		}
		both(Services{Services: []oriolebend.RouteService{{Name: "s"}, {Name: "t"}}})
		now, current := scriptStart, map[string]message.BackendServer{}
		var open []Grant
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				current[name] = message.BackendServer{
					Instance: name, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
					Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
					Phase:       rapid.SampledFrom([]message.ServerPhase{message.PhaseReady, message.PhaseDraining}).Draw(t, "phase"),
				}
				Reduce(changed, FleetChanged{At: now, Servers: []message.BackendServer{current[name]}})
			case 1:
				delete(current, name)
				Reduce(changed, FleetChanged{At: now, Left: []string{name}})
			case 2:
				if g, ok := both(PlacementRequested{At: now, Need: Need{Service: "s"}})[0].(Granted); ok {
					open = append(open, g.Grant)
				}
			case 3:
				if len(open) > 0 {
					both(Ended{At: now, Grant: open[0], Outcome: OutcomeAnswered})
					open = open[1:]
				}
			}
			Reduce(complete, Fleet{At: now, Servers: slices.Collect(maps.Values(current))})
			if a, b := describe(complete), describe(changed); a != b {
				t.Fatalf("from complete lists: %s\nfrom changes: %s", a, b)
			}
		}
	})
}

// describe prints the servers of a state in the order in which requests see them.
func describe(s *State) string {
	var out strings.Builder
	for _, service := range []string{"s", "t"} {
		for _, c := range s.inOrder[service] {
			fmt.Fprintf(&out, "%s:%s@%d %s in progress %d, ", service, c.Instance, c.Incarnation, c.Phase, c.inProgress)
		}
	}
	fmt.Fprint(&out, len(s.servers), " known")
	return out.String()
}
