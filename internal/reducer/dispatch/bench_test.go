package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// BenchmarkAsked places generations among 60 engines, as the leader of a site of
// 30 forwarders does some thousand times a second in a burst.
func BenchmarkAsked(b *testing.B) {
	s := New(Config{Seed: 1})
	at := time.Unix(1, 0)
	Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1 << 40}}}})
	var fleet Fleet
	for i := range 60 {
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
		granted, ok := Reduce(s, Asked{At: at, Need: Need{Service: "s", Prompt: 100, Output: 50}})[0].(Granted)
		if !ok {
			b.Fatal("not granted")
		}
		Reduce(s, Ended{At: at, Grant: granted.Grant, Outcome: OutcomeCancelled})
	}
}
