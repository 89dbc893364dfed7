package role

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// BenchmarkAddedDelay compares a complete answer of one token through an entry with
// the same prefill and decode sent directly to stand-in engines. It sends one
// request at a time, alternating between the two paths, and reports medians.
func BenchmarkAddedDelay(b *testing.B) {
	d := benchDev(b)
	prefill, decode := standinOf(b, d, oriolebend.Prefill), standinOf(b, d, oriolebend.Decode)
	for _, tokens := range []int{16, 2000, 8000} {
		b.Run(fmt.Sprintf("promptTokens=%d", tokens), func(b *testing.B) {
			var direct, through []time.Duration
			for i := range b.N {
				direct = append(direct, timed(func() { completeDirectly(b, prefill, decode, promptOf(tokens, "direct", i), i) }))
				through = append(through, timed(func() { completeThroughEntry(b, d.Entries[0].Address(), promptOf(tokens, "through", i)) }))
			}
			reportMedians(b, direct, through)
		})
	}
}

func benchDev(b *testing.B) *Dev {
	b.Helper()
	s, err := settings.Default()
	if err != nil {
		b.Fatal(err)
	}
	s.Caller.Listen, s.Operator.Listen, s.Metrics.Listen = "", "", ""
	d, err := StartDev(s, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := d.Stop(context.Background()); err != nil {
			b.Error(err)
		}
	})
	if err := d.Ready(b.Context()); err != nil {
		b.Fatal(err)
	}
	return d
}

// standinOf starts another stand-in engine with the configuration of dev's. It has no
// gate, because gates cancel work that they did not start.
func standinOf(b *testing.B, d *Dev, role oriolebend.PoolRole) engine.Engine {
	b.Helper()
	groups := d.settings.Dev.Servers
	group := groups[slices.IndexFunc(groups, func(g settings.DevServer) bool { return g.Role == role })]
	fake := standin.NewEngine(engineConfig(group, "direct-"+string(role)))
	server, err := standin.Serve(fake.Handler())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		fake.Close()
		if err := server.Close(); err != nil {
			b.Error(err)
		}
	})
	return engine.NewClient(engine.Config{BaseURL: server.URL()})
}

// promptOf returns a prompt that begins with unique words, so that no prefix of it
// is cached.
func promptOf(tokens int, way string, i int) string {
	prompt := fmt.Sprintf("%s %d %d.", way, i, time.Now().UnixNano())
	return prompt + strings.Repeat(" corridor", max(0, tokens-prefix.CountTokens(prompt)))
}

func timed(do func()) time.Duration {
	started := time.Now()
	do()
	return time.Since(started)
}

func completeDirectly(b *testing.B, prefill, decode engine.Engine, prompt string, i int) {
	b.Helper()
	attempt := message.Attempt{RequestID: fmt.Sprintf("direct-%d-%d", i, time.Now().UnixNano()), Number: 1}
	result, err := prefill.Prefill(b.Context(), engine.PrefillRequest{
		Attempt: attempt, Model: "planner-lm", Prompt: prompt, Priority: oriolebend.Patient,
	})
	if err != nil {
		b.Fatal(err)
	}
	err = decode.Decode(b.Context(), engine.DecodeRequest{
		Attempt: attempt, Model: "planner-lm", SourceURL: result.SourceURL, Prompt: prompt, MaxTokens: 1,
		Priority: oriolebend.Patient, TransferWithin: time.Second,
	}, func(message.Part) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
}

func completeThroughEntry(b *testing.B, address, prompt string) {
	b.Helper()
	body := fmt.Sprintf(`{"model": "planner-lm", "prompt": %q, "max_tokens": 1}`, prompt)
	response, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(response.Status, string(answer), err)
	}
}

func reportMedians(b *testing.B, direct, through []time.Duration) {
	b.Helper()
	median := func(all []time.Duration) float64 {
		slices.Sort(all)
		return float64(all[len(all)/2].Microseconds()) / 1000
	}
	b.ReportMetric(median(direct), "ms-direct")
	b.ReportMetric(median(through), "ms-through")
	b.ReportMetric(median(through)/median(direct), "ratio")
	b.ReportMetric(0, "ns/op")
}
