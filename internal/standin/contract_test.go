package standin

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/engine/enginetest"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestContractOverLoopback runs the engine contract against the client and the stand-in
// over real sockets.
func TestContractOverLoopback(t *testing.T) {
	parallel := func(t *testing.T, run func(t *testing.T)) {
		t.Parallel()
		run(t)
	}
	enginetest.Suite{Around: parallel, New: func(t *testing.T, s enginetest.Setup) enginetest.Pair {
		return newPair(t, s, func(e *Engine, _ string) (string, http.RoundTripper) {
			server, err := Serve(e.Handler())
			is.New(t).NoErr(err)
			t.Cleanup(func() { _ = server.Close() })
			return server.URL(), nil
		})
	}}.Run(t)
}

// TestContractInMemory runs the engine contract without sockets, with a fake clock.
func TestContractInMemory(t *testing.T) {
	enginetest.Suite{Around: synctest.Test, New: func(t *testing.T, s enginetest.Setup) enginetest.Pair {
		network := make(MemoryNetwork)
		return newPair(t, s, func(e *Engine, name string) (string, http.RoundTripper) {
			network[name] = e.Handler()
			e.config.Transport = network
			return "http://" + name, network
		})
	}}.Run(t)
}

// newPair returns a pair of engines. reach returns the URL and the transport with which a
// client calls an engine.
func newPair(t *testing.T, s enginetest.Setup, reach func(e *Engine, name string) (string, http.RoundTripper)) enginetest.Pair {
	config := EngineConfig{
		Models:         []oriolebend.LoadedModel{{Model: enginetest.Model, Version: enginetest.Version}},
		KVTokens:       enginetest.KVTokens,
		DecodeStep:     time.Millisecond,
		LoadTime:       10 * time.Millisecond,
		LoadPeriod:     20 * time.Millisecond,
		EventDelay:     10 * time.Millisecond,
		ExportLife:     3 * time.Second,
		PrefillTokens:  200_000,
		IgnoresFencing: s.IgnoresFencing,
	}
	prefill := NewEngine(config)
	config.Role = oriolebend.Decode
	decode := NewEngine(config)
	client := func(e *Engine, name string) engine.Engine {
		url, transport := reach(e, name)
		c := engine.NewClient(engine.Config{BaseURL: url, IdleTimeout: 4 * time.Second, Transport: transport})
		t.Cleanup(c.Close)
		t.Cleanup(e.Close)
		return c
	}
	return enginetest.Pair{
		Prefill:       client(prefill, "prefill"),
		Decode:        client(decode, "decode"),
		PrefillFaults: prefill,
		DecodeFaults:  decode,
		Check: func(prompt string, maxTokens int, text string) error {
			return answer.Check(enginetest.Model, "", prompt, maxTokens, text)
		},
	}
}
