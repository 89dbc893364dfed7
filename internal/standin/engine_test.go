package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var testModels = []oriolebend.LoadedModel{{Model: "planner-lm", Version: "1"}}

// testPrompt returns a prompt with the given number of tokens that begins with name.
func testPrompt(name string, tokens int) string {
	return name + strings.Repeat(" road", tokens-1)
}

func prefillRequest(name string, tokens int, u oriolebend.Urgency) engine.PrefillRequest {
	attempt := message.Attempt{RequestID: name, Number: 1}
	return engine.PrefillRequest{Attempt: attempt, Model: "planner-lm", Prompt: testPrompt(name, tokens), Priority: u}
}

// startEngine returns an engine that is closed at the end of the test.
func startEngine(t *testing.T, c EngineConfig) *Engine {
	t.Helper()
	e := NewEngine(c)
	t.Cleanup(e.Close)
	return e
}

// newEnginePair returns a prefill and a decode engine that can reach each other.
func newEnginePair(t *testing.T, c EngineConfig) (prefill, decode *Engine) {
	t.Helper()
	network := make(MemoryNetwork)
	c.Models = testModels
	c.Transport = network
	c.URL = "http://prefill"
	prefill = startEngine(t, c)
	c.Role = oriolebend.Decode
	decode = startEngine(t, c)
	network["prefill"] = prefill.Handler()
	return prefill, decode
}

// prefilledDecodeRequest runs a prefill and returns the decode request for its result.
func prefilledDecodeRequest(t *testing.T, prefill *Engine, name string, tokens int) engine.DecodeRequest {
	t.Helper()
	request := prefillRequest(name, tokens, oriolebend.Patient)
	result, err := prefill.Prefill(t.Context(), request)
	is.New(t).NoErr(err)
	return engine.DecodeRequest{
		Attempt:   request.Attempt,
		Model:     request.Model,
		SourceURL: result.SourceURL,
		Prompt:    request.Prompt,
		MaxTokens: 50,
	}
}

// usedTokens returns the KV memory that an engine's work holds, in tokens.
func usedTokens(t *testing.T, e *Engine) int {
	t.Helper()
	work, err := e.Work(t.Context())
	is.New(t).NoErr(err)
	tokens := 0
	for _, w := range work {
		tokens += w.Tokens
	}
	return tokens
}

func discardPart(message.Part) error { return nil }

func TestUrgentPrefillRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, EngineConfig{Models: testModels})
		var mu sync.Mutex
		var wait sync.WaitGroup
		var order []string
		submit := func(name string, u oriolebend.Urgency) {
			wait.Go(func() {
				_, err := e.Prefill(t.Context(), prefillRequest(name, 5000, u))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(name, err))
			})
			synctest.Wait()
		}
		submit("a", oriolebend.Patient)
		submit("b", oriolebend.Patient)
		submit("ping", oriolebend.Urgent)
		wait.Wait()
		is.Equal(order, []string{"ping<nil>", "a<nil>", "b<nil>"})
	})
}

func TestPrefillTimeExcludesCachedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, EngineConfig{Models: testModels, PrefillTokens: 10_000})
		first, err := e.Prefill(t.Context(), prefillRequest("a", 6400, oriolebend.Patient))
		is.NoErr(err)
		is.Equal(first.Took.Round(time.Millisecond), 640*time.Millisecond)
		again := prefillRequest("a", 6400, oriolebend.Patient)
		again.Attempt.Number = 2
		again.Prompt += strings.Repeat(" new", 100)
		second, err := e.Prefill(t.Context(), again)
		is.NoErr(err)
		is.Equal(second.CachedTokens, 6400)
		is.Equal(second.Took.Round(time.Millisecond), 10*time.Millisecond)
	})
}

func TestDecodeStepGrowsWithBatchSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newEnginePair(t, EngineConfig{DecodeStep: 20 * time.Millisecond, PrefillTokens: 1e9, LinkBytes: 1e18})
		for _, row := range []struct {
			batch int
			want  time.Duration
		}{{1, time.Second}, {11, 1100 * time.Millisecond}} {
			var took [11]time.Duration
			var wait sync.WaitGroup
			for i := range row.batch {
				request := prefilledDecodeRequest(t, prefill, fmt.Sprint(row.batch, "-", i), 10)
				wait.Go(func() {
					began := time.Now()
					if err := decode.Decode(t.Context(), request, discardPart); err != nil {
						t.Error(err)
					}
					took[i] = time.Since(began)
				})
			}
			wait.Wait()
			is.New(t).Equal(took[0].Round(50*time.Millisecond), row.want) // 50 tokens
		}
	})
}

func TestUrgentDecodeEntersFullBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newEnginePair(t, EngineConfig{MaxBatch: 1, PrefillTokens: 1e9, LinkBytes: 1e18})
		patient := prefilledDecodeRequest(t, prefill, "brief", 10)
		urgent := prefilledDecodeRequest(t, prefill, "ping", 10)
		urgent.Priority = oriolebend.Urgent
		var wait sync.WaitGroup
		finished := make(chan string, 2)
		for _, request := range []engine.DecodeRequest{patient, urgent} {
			wait.Go(func() {
				if err := decode.Decode(t.Context(), request, discardPart); err != nil {
					t.Error(err)
				}
				finished <- request.Attempt.RequestID
			})
			synctest.Wait()
		}
		wait.Wait()
		is.New(t).Equal(<-finished, "ping")
	})
}

// TestLoadReportLags checks that the report still shows the earlier state when an engine
// fills up within one period. A router that relies on load reports then sends every
// request to the same engine.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, EngineConfig{Models: testModels, LoadPeriod: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		time.Sleep(100 * time.Millisecond)
		go func() { _, _ = e.Prefill(ctx, prefillRequest("a", 100_000, oriolebend.Patient)) }()
		synctest.Wait()
		report, err := e.Load(ctx)
		is.NoErr(err)
		is.Equal(report.FreeTokens, 160_000) // not reported yet
		time.Sleep(time.Second)
		report, err = e.Load(ctx)
		is.NoErr(err)
		is.Equal(report.FreeTokens, 60_000)
		is.Equal(time.Since(report.At), 100*time.Millisecond)
	})
}

func TestCacheEventsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, EngineConfig{Models: testModels, EventDelay: 300 * time.Millisecond})
		_, err := e.Prefill(t.Context(), prefillRequest("a", 128, oriolebend.Patient))
		is.NoErr(err)
		events, err := e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 0)
		time.Sleep(300 * time.Millisecond)
		events, err = e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(events), 2)
	})
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, EngineConfig{Models: testModels, CacheTokens: 10 * 64})
		cached := func(name string, number uint32) int {
			request := prefillRequest(name, 5*64, oriolebend.Patient)
			request.Attempt.Number = number
			result, err := e.Prefill(t.Context(), request)
			is.NoErr(err)
			return result.CachedTokens
		}
		cached("a", 1)
		cached("b", 1)
		is.Equal(cached("a", 2), 5*64)
		cached("c", 1) // two prompts fit: b is evicted
		is.Equal(cached("a", 3), 5*64)
		is.Equal(cached("b", 2), 0)
		index, err := e.CacheIndex(t.Context())
		is.NoErr(err)
		is.Equal(len(index.Blocks), 10)
	})
}

// TestLostEventsAreSeeded checks that the seed determines the lost events, so that a test
// with lost events has the same result in each run.
func TestLostEventsAreSeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readEvents := func(seed uint64) []engine.CacheEvent {
			e := startEngine(t, EngineConfig{Models: testModels, EventLoss: 0.3, Seed: seed})
			_, err := e.Prefill(t.Context(), prefillRequest("a", 6400, oriolebend.Patient))
			is.New(t).NoErr(err)
			time.Sleep(time.Second)
			events, _ := e.CacheEvents(t.Context(), 0)
			return events
		}
		is := is.New(t)
		is.Equal(readEvents(1), readEvents(1))
		is.True(len(readEvents(1)) < 90 && len(readEvents(1)) > 50) // of 100
		is.True(fmt.Sprint(readEvents(1)) != fmt.Sprint(readEvents(2)))
	})
}

// TestTransferOutlivesExpiredResult guards against a decode that starts again, and a
// prefill that is wasted, because the result expires during its transfer. A result must be
// kept while it is transferred, but not forever, because a reader that hangs would hold
// the memory.
func TestTransferOutlivesExpiredResult(t *testing.T) {
	for _, row := range []struct {
		name  string
		bytes float64 // rate of the link per second
		held  int     // tokens still held after one second
		want  oriolebend.Reason
	}{
		{"within twice the life", 1e9, 16_000, ""},
		{"longer", 0.1e9, 16_000, oriolebend.ReasonTransferStalled},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				prefill, decode := newEnginePair(t, EngineConfig{LinkBytes: row.bytes})
				request := prefilledDecodeRequest(t, prefill, "a", 16_000) // 1.05 GB
				done := make(chan error, 1)
				go func() { done <- decode.Decode(t.Context(), request, discardPart) }()
				time.Sleep(time.Second)
				is.Equal(usedTokens(t, prefill), row.held)
				late := request
				late.Attempt.Number = 2
				err := decode.Decode(t.Context(), late, discardPart)
				is.Equal(toEngineError(err).Reason, oriolebend.ReasonResultExpired) // no new transfer
				time.Sleep(time.Second)
				is.Equal(usedTokens(t, prefill), 0)
				if err = <-done; row.want == "" {
					is.NoErr(err)
				} else {
					is.Equal(toEngineError(err).Reason, row.want)
				}
			})
		})
	}
}

func TestFailNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prefill, decode := newEnginePair(t, EngineConfig{})
		request := prefilledDecodeRequest(t, prefill, "a", 10)
		decode.FailNext(OperationPart, oriolebend.ReasonEngineFailed)
		parts := 0
		err := decode.Decode(t.Context(), request, func(message.Part) error {
			parts++
			return nil
		})
		is.Equal(toEngineError(err).Reason, oriolebend.ReasonEngineFailed)
		is.Equal(parts, 1)
		prefill.FailNext(OperationPrefill, oriolebend.ReasonNoMemory)
		_, err = prefill.Prefill(t.Context(), prefillRequest("b", 10, oriolebend.Patient))
		is.Equal(toEngineError(err).Reason, oriolebend.ReasonNoMemory)
		_, err = prefill.Prefill(t.Context(), prefillRequest("b", 10, oriolebend.Patient))
		is.NoErr(err) // the fault is injected only once
	})
}

// TestSlowReceiver guards against one slow reader that delays the other requests of the
// batch. The batch must not wait for the reader, which then receives several tokens in one
// part.
func TestSlowReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prefill, decode := newEnginePair(t, EngineConfig{})
		largest := 0
		err := decode.Decode(t.Context(), prefilledDecodeRequest(t, prefill, "a", 10), func(p message.Part) error {
			largest = max(largest, p.Tokens)
			time.Sleep(100 * time.Millisecond)
			return nil
		})
		is.NoErr(err)
		is.True(largest >= 3)
	})
}
