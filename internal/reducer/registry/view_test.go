package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Whoever takes in each change knows what a view that was told all of it at once knows:
// whatever control VMs tell, in whatever order their sessions end, and whenever changes
// are asked for.
func TestChangesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := scriptStart
		v := NewView()
		followed := Servers{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			control := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "control")
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				v.Lost(now, control)
			} else {
				v.Update(now, control, rapid.Bool().Draw(t, "whole"), drawServers(t))
			}
			if rapid.Bool().Draw(t, "ask") {
				followed.Apply(v.Changes(now))
			}
		}
		followed.Apply(v.Changes(now))
		if want := joinAll(v); fmt.Sprint(followed.List()) != fmt.Sprint(want.List()) {
			t.Fatalf("followed %v\nwhole    %v", followed.List(), want.List())
		}
	})
}

// joinAll joins all that a view was told, anew.
func joinAll(v *View) Servers {
	all := Servers{}
	for _, s := range v.sources {
		for name := range s.servers {
			server, _, usable := v.join(name)
			if !usable {
				continue
			}
			if server.Phase == message.PhaseReady && succeeded(v, name) {
				server.Phase = message.PhaseDraining
			}
			all[name] = server
		}
	}
	return all
}

// succeeded reports whether another instance has taken the address of one.
func succeeded(v *View, name string) bool {
	i := v.known[name]
	for _, other := range v.known {
		if other != i && other.joined.Address == i.joined.Address && other.after(i) {
			return true
		}
	}
	return false
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
		})
	}
	return list
}

// BenchmarkOneOfThousands takes in the announcement of one server among others, as a
// forwarder does for each of them after a restart of everything.
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
