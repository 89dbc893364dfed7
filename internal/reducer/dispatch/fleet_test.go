package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: the log says that an eighth of the memory is free for ten seconds in which
// requests are refused for lack of it. Sequence: one of eight engines is lost for good,
// and is silent from then on. Cause: its memory counted as free.
func TestMemoryOfSilentEnginesIsNotFree(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 1000}}}})
	engine := func(name string, silent bool) message.BackendServer {
		return message.BackendServer{Instance: name, Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode, Silent: silent}
	}
	Reduce(s, Fleet{Servers: []message.BackendServer{engine("a", false), engine("b", true)}})
	is.Equal(s.FreeShare(scriptStart, "s"), 1.0)
	Reduce(s, Asked{At: scriptStart, Need: Need{Service: "s", Prompt: 500, Output: 500}})
	is.Equal(s.FreeShare(scriptStart, "s"), 0.0)
}
