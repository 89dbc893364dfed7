package standin

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// processorTime returns the CPU time that the process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newBenchClient serves an engine and returns a client for it.
func newBenchClient(b *testing.B, c EngineConfig) *engine.Client {
	b.Helper()
	c.Models = testModels
	e := NewEngine(c)
	server, err := Serve(e.Handler())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		e.Close()
		_ = server.Close()
	})
	return engine.NewClient(engine.Config{BaseURL: server.URL()})
}

// BenchmarkRequest measures one request of 4,000 prompt tokens through a prefill and a
// decode engine over loopback. The modelled speeds are so high that only the cost of the
// stand-ins remains.
func BenchmarkRequest(b *testing.B) {
	prefill := newBenchClient(b, EngineConfig{PrefillTokens: 1e9, LinkBytes: 1e12, KVTokens: 1 << 30, ExportLife: 10 * time.Second})
	decode := newBenchClient(b, EngineConfig{Role: oriolebend.Decode, DecodeStep: time.Microsecond, LinkBytes: 1e12, KVTokens: 1 << 30})
	began := processorTime(b)
	number := 0
	for b.Loop() {
		number++
		runRequest(b, prefill, decode, fmt.Sprint("request-", number))
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N)/1e3, "cpu-µs/op")
}

func runRequest(b *testing.B, prefill, decode *engine.Client, name string) {
	ctx := context.Background()
	request := prefillRequest(name, 4000, oriolebend.Patient)
	result, err := prefill.Prefill(ctx, request)
	if err != nil {
		b.Fatal(err)
	}
	err = decode.Decode(ctx, engine.DecodeRequest{
		Attempt:   request.Attempt,
		Model:     request.Model,
		SourceURL: result.SourceURL,
		Prompt:    request.Prompt,
		MaxTokens: 200,
	}, discardPart)
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFleetDecode measures 14 decode engines with 20 requests each at the default
// decode step. This is about half of the load of a dev process with 27 engines. One
// operation is one token.
func BenchmarkFleetDecode(b *testing.B) {
	const engines, requests = 14, 20
	prefill := newBenchClient(b, EngineConfig{PrefillTokens: 1e9, LinkBytes: 1e12, KVTokens: 1 << 30, ExportLife: time.Hour})
	result, err := prefill.Prefill(context.Background(), prefillRequest("shared", 4000, oriolebend.Patient))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tokens := make(chan struct{}, 1024)
	var wait sync.WaitGroup
	for i := range engines {
		decode := newBenchClient(b, EngineConfig{Role: oriolebend.Decode, LinkBytes: 1e12})
		for j := range requests {
			wait.Go(func() { decodeForever(ctx, decode, result, fmt.Sprint(i, "-", j), tokens) })
		}
	}
	<-tokens
	began, at := processorTime(b), time.Now()
	for b.Loop() {
		<-tokens
	}
	used, took := processorTime(b)-began, time.Since(at)
	cancel()
	wait.Wait()
	b.ReportMetric(float64(used)/float64(b.N)/1e3, "cpu-µs/token")
	b.ReportMetric(float64(used)/float64(took), "cores")
	b.ReportMetric(float64(b.N)/took.Seconds(), "tokens/s")
}

func decodeForever(ctx context.Context, c *engine.Client, r engine.PrefillResult, name string, tokens chan<- struct{}) {
	for number := uint32(1); ctx.Err() == nil; number++ {
		request := prefillRequest("shared", 4000, oriolebend.Patient)
		_ = c.Decode(ctx, engine.DecodeRequest{
			Attempt:   message.Attempt{RequestID: name, Number: number},
			Model:     request.Model,
			SourceURL: r.SourceURL,
			Prompt:    request.Prompt,
			MaxTokens: 4000,
		}, func(p message.Part) error {
			for range p.Tokens {
				select {
				case tokens <- struct{}{}:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			return nil
		})
	}
}

// BenchmarkMemory measures the memory of 100 engines, idle and with a full prefix cache.
func BenchmarkMemory(b *testing.B) {
	const engines = 100
	for b.Loop() {
		before := heapBytes()
		held := make([]*Engine, engines)
		for i := range held {
			held[i] = NewEngine(EngineConfig{Models: testModels})
		}
		b.ReportMetric(float64(heapBytes()-before)/engines, "B/engine")
		for _, e := range held {
			e.process.cache.store(prefix.Blocks("planner-lm", testPrompt("full", defaultKVTokens), prefix.BlockTokens))
		}
		b.ReportMetric(float64(heapBytes()-before)/engines, "B/full-engine")
		runtime.KeepAlive(held)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
