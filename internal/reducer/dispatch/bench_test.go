package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// BenchmarkPlacementRequested chooses engines for generations at sites of 30, 100 and 320
// forwarders, as the leader does for all of them.
func BenchmarkPlacementRequested(b *testing.B) {
	for _, engines := range []int{60, 180, 1100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkPlacementRequested(b, engines, true) })
	}
}

// BenchmarkEngineSpeeds compares the choice among engines of unequal speed with the choice that
// ignores speeds. A generation arrives each millisecond and reports its writing time.
func BenchmarkEngineSpeeds(b *testing.B) {
	for _, engines := range []int{56, 655} {
		b.Run(fmt.Sprint(engines, "/ignored"), func(b *testing.B) { benchmarkPlacementRequested(b, engines, true) })
		b.Run(fmt.Sprint(engines, "/used"), func(b *testing.B) { benchmarkPlacementRequested(b, engines, false) })
	}
}

func benchmarkPlacementRequested(b *testing.B, engines int, ignoreSpeeds bool) {
	s := New(Config{Seed: 1, IgnoreSpeeds: ignoreSpeeds})
	at := time.Unix(1, 0)
	Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1 << 40}}}})
	var fleet Fleet
	for i := range engines {
		role := oriolebend.Decode
		if i%3 == 0 {
			role = oriolebend.Prefill
		}
		fleet.Servers = append(fleet.Servers, message.BackendServer{
			Instance: fmt.Sprintf("i-%08x", i*7919), Service: "s", FailureDomain: "a", Phase: message.PhaseReady, Role: role,
		})
	}
	Reduce(s, fleet)
	b.ReportAllocs()
	for b.Loop() {
		granted, ok := Reduce(s, PlacementRequested{At: at, Need: Need{Service: "s", Prompt: 100, Output: 50}})[0].(Granted)
		if !ok {
			b.Fatal("not granted")
		}
		at = at.Add(time.Millisecond)
		instance := granted.Grant.Server.Instance
		writing := time.Duration(1+instance[len(instance)-1]%3) * time.Second
		Reduce(s, Ended{At: at, Grant: granted.Grant, Outcome: OutcomeCancelled, Writing: writing, Events: 30})
	}
}
