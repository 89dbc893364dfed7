package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
)

// TestChangesAddUpToTheWhole checks that applying every change of a view results in the same
// servers as merging all reports at once, whatever control VMs report, in whatever order their
// sessions end, and whenever Changes is called.
func TestChangesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := scriptStart
		v := NewView()
		followed := Servers{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			control := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "control")
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				v.SessionEnded(now, control)
			} else {
				v.Update(now, control, rapid.Bool().Draw(t, "complete"), drawServers(t))
			}
			if rapid.Bool().Draw(t, "changes") {
				followed.Apply(v.Changes(now))
			}
		}
		followed.Apply(v.Changes(now))
		if want := mergeAll(v); fmt.Sprint(followed.List()) != fmt.Sprint(want.List()) {
			t.Fatalf("applied changes %v\nmerged at once  %v", followed.List(), want.List())
		}
	})
}

// TestUnconfirmedReportsNeverOverride checks that a restored report neither hides that another control
// VM has received an announcement of the incarnation, nor its drain or end.
func TestUnconfirmedReportsNeverOverride(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		followed := Servers{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			control := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "control")
			v.Update(scriptStart, control, rapid.Bool().Draw(t, "complete"), drawServers(t))
		}
		followed.Apply(v.Changes(scriptStart))
		for control, s := range v.sources {
			for name, report := range s.servers {
				server, known := followed[name]
				switch {
				case !known || report.Incarnation != server.Incarnation:
				case report.Phase == message.PhaseGone || report.Phase.After(server.Phase):
					t.Fatalf("%v is used, %s reports %v", server, control, report)
				case !report.Unconfirmed && report.Address != "" && (server.Unconfirmed || server.Silent && !report.Silent):
					t.Fatalf("%v overrides %v of %s", server, report, control)
				}
			}
		}
	})
}

// mergeAll merges all reports of a view from the beginning.
func mergeAll(v *View) Servers {
	all := Servers{}
	for _, s := range v.sources {
		for name := range s.servers {
			server, _, usable := v.merge(name)
			if !usable {
				continue
			}
			if server.Phase == message.PhaseReady && superseded(v, name) {
				server.Phase = message.PhaseDraining
			}
			all[name] = server
		}
	}
	return all
}

// superseded reports whether another instance has taken over the address of an instance, whatever the
// order in which the instances at the address are compared.
func superseded(v *View, name string) bool {
	i := v.instances[name]
	sharing := slices.DeleteFunc(slices.Collect(maps.Values(v.instances)), func(other *instance) bool {
		return other.merged.Address != i.merged.Address
	})
	return holderOf(sharing) != i
}

// TestHolderOfAnAddress guards against forwarders that use different instances at one address, since
// they learned of them in different orders.
func TestHolderOfAnAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sharing []*instance
		for n, server := range append(drawServers(t), drawServers(t)...) {
			server.Instance = fmt.Sprintf("i-%d", n)
			sharing = append(sharing, &instance{
				merged: server, appeared: rapid.Uint64Range(1, 3).Draw(t, "appeared"), complete: rapid.Bool().Draw(t, "complete"),
			})
		}
		first := holderOf(sharing)
		if other := holderOf(rapid.Permutation(sharing).Draw(t, "order")); other != first {
			t.Fatalf("holders %v and %v", first.merged, other.merged)
		}
	})
}

func drawServers(t *rapid.T) []message.BackendServer {
	var list []message.BackendServer
	for range rapid.IntRange(0, 3).Draw(t, "servers") {
		list = append(list, message.BackendServer{
			Instance:    rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "instance"),
			Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			Address:     rapid.SampledFrom([]string{"", "x:1", "x:2"}).Draw(t, "address"),
			Phase: rapid.SampledFrom([]message.ServerPhase{
				message.PhaseReady, message.PhaseDraining, message.PhaseGone,
			}).Draw(t, "phase"),
			Sequence: rapid.Uint64Range(1, 3).Draw(t, "sequence"),
			Silent:   rapid.Bool().Draw(t, "silent"),

			Unconfirmed: rapid.Bool().Draw(t, "unconfirmed"),
		})
	}
	return list
}

// BenchmarkOneOfThousands applies the announcement of one server among others, as a forwarder does
// for each of them after a restart of the whole site.
func BenchmarkOneOfThousands(b *testing.B) {
	for _, others := range []int{100, 3000} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			now := scriptStart
			v := NewView()
			var one []message.BackendServer
			for i := range others {
				one = []message.BackendServer{{Instance: fmt.Sprintf("i-%08x", i*7919), Address: fmt.Sprintf("10.0.0.1:%d", i), Phase: message.PhaseReady}}
				v.Update(now, fmt.Sprint("control-", i%10), false, one)
			}
			v.Changes(now)
			b.ReportAllocs()
			for b.Loop() {
				one[0].Silent = !one[0].Silent
				v.Update(now, "control-0", false, one)
				v.Changes(now)
			}
		})
	}
}
