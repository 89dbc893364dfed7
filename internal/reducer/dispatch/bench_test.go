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
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkPlacementRequested(b, engines) })
	}
}

func benchmarkPlacementRequested(b *testing.B, engines int) {
	s := New(Config{Seed: 1})
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
		Reduce(s, Ended{At: at, Grant: granted.Grant, Outcome: OutcomeCancelled})
	}
}
