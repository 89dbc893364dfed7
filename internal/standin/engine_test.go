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

var models = []oriolebend.LoadedModel{{Model: "planner-lm", Version: "1"}}

// words returns a prompt of so many tokens that begins with a name.
func words(name string, tokens int) string {
	return name + strings.Repeat(" road", tokens-1)
}

func prefillOf(name string, tokens int, u oriolebend.Urgency) engine.PrefillRequest {
	attempt := message.Attempt{RequestID: name, Number: 1}
	return engine.PrefillRequest{Attempt: attempt, Model: "planner-lm", Prompt: words(name, tokens), Priority: u}
}

// start returns an engine that ends with the test.
func start(t *testing.T, c EngineConfig) *Engine {
	t.Helper()
	e := NewEngine(c)
	t.Cleanup(e.Close)
	return e
}

// pair returns a prefill and a decode engine that reach each other.
func pair(t *testing.T, c EngineConfig) (prefill, decode *Engine) {
	t.Helper()
	network := make(MemoryNetwork)
	c.Models = models
	c.Transport = network
	c.URL = "http://prefill"
	prefill = start(t, c)
	c.Role = oriolebend.Decode
	decode = start(t, c)
	network["prefill"] = prefill.Handler()
	return prefill, decode
}

func decodeOf(t *testing.T, prefill *Engine, name string, tokens int) engine.DecodeRequest {
	t.Helper()
	request := prefillOf(name, tokens, oriolebend.Patient)
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

// heldTokens returns how much KV memory an engine's work holds.
func heldTokens(t *testing.T, e *Engine) int {
	t.Helper()
	work, err := e.Work(t.Context())
	is.New(t).NoErr(err)
	tokens := 0
	for _, w := range work {
		tokens += w.Tokens
	}
	return tokens
}

func ignore(message.Part) error { return nil }

func TestUrgentPrefillGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := start(t, EngineConfig{Models: models})
		var mu sync.Mutex
		var wait sync.WaitGroup
		var order []string
		submit := func(name string, u oriolebend.Urgency) {
			wait.Go(func() {
				_, err := e.Prefill(t.Context(), prefillOf(name, 5000, u))
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

func TestPrefillTakesTheTimeOfWhatIsNotCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := start(t, EngineConfig{Models: models, PrefillTokens: 10_000})
		first, err := e.Prefill(t.Context(), prefillOf("a", 6400, oriolebend.Patient))
		is.NoErr(err)
		is.Equal(first.Took.Round(time.Millisecond), 640*time.Millisecond)
		again := prefillOf("a", 6400, oriolebend.Patient)
		again.Attempt.Number = 2
		again.Prompt += strings.Repeat(" new", 100)
		second, err := e.Prefill(t.Context(), again)
		is.NoErr(err)
		is.Equal(second.CachedTokens, 6400)
		is.Equal(second.Took.Round(time.Millisecond), 10*time.Millisecond)
	})
}

func TestDecodeStepGrowsWithTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := pair(t, EngineConfig{DecodeStep: 20 * time.Millisecond, PrefillTokens: 1e9, LinkBytes: 1e18})
		for _, row := range []struct {
			batch int
			want  time.Duration
		}{{1, time.Second}, {11, 1100 * time.Millisecond}} {
			var took [11]time.Duration
			var wait sync.WaitGroup
			for i := range row.batch {
				request := decodeOf(t, prefill, fmt.Sprint(row.batch, "-", i), 10)
				wait.Go(func() {
					began := time.Now()
					if err := decode.Decode(t.Context(), request, ignore); err != nil {
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

func TestUrgentDecodesFillAFullBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := pair(t, EngineConfig{MaxBatch: 1, PrefillTokens: 1e9, LinkBytes: 1e18})
		patient := decodeOf(t, prefill, "brief", 10)
		urgent := decodeOf(t, prefill, "ping", 10)
		urgent.Priority = oriolebend.Urgent
		var wait sync.WaitGroup
		ended := make(chan string, 2)
		for _, request := range []engine.DecodeRequest{patient, urgent} {
			wait.Go(func() {
				if err := decode.Decode(t.Context(), request, ignore); err != nil {
					t.Error(err)
				}
				ended <- request.Attempt.RequestID
			})
			synctest.Wait()
		}
		wait.Wait()
		is.New(t).Equal(<-ended, "ping")
	})
}

// TestLoadReportLags: symptom: a router that trusts load reports sends every
// request to the same engine. Sequence: an engine fills up within one period.
// Cause: its report still tells the state before.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := start(t, EngineConfig{Models: models, LoadPeriod: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		time.Sleep(100 * time.Millisecond)
		go func() { _, _ = e.Prefill(ctx, prefillOf("a", 100_000, oriolebend.Patient)) }()
		synctest.Wait()
		report, err := e.Load(ctx)
		is.NoErr(err)
		is.Equal(report.FreeTokens, 160_000) // nothing told yet
		time.Sleep(time.Second)
		report, err = e.Load(ctx)
		is.NoErr(err)
		is.Equal(report.FreeTokens, 60_000)
		is.Equal(time.Since(report.At), 100*time.Millisecond)
	})
}

func TestCacheEventsComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := start(t, EngineConfig{Models: models, EventDelay: 300 * time.Millisecond})
		_, err := e.Prefill(t.Context(), prefillOf("a", 128, oriolebend.Patient))
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

func TestCacheDropsTheLeastRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := start(t, EngineConfig{Models: models, CacheTokens: 10 * 64})
		cached := func(name string, number uint32) int {
			request := prefillOf(name, 5*64, oriolebend.Patient)
			request.Attempt.Number = number
			result, err := e.Prefill(t.Context(), request)
			is.NoErr(err)
			return result.CachedTokens
		}
		cached("a", 1)
		cached("b", 1)
		is.Equal(cached("a", 2), 5*64)
		cached("c", 1) // there is room for two: b goes
		is.Equal(cached("a", 3), 5*64)
		is.Equal(cached("b", 2), 0)
		index, err := e.CacheIndex(t.Context())
		is.NoErr(err)
		is.Equal(len(index.Blocks), 10)
	})
}

// TestLostEventsAreSeeded makes sure that a test with lost events gives the
// same verdict on each run.
func TestLostEventsAreSeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := func(seed uint64) []engine.CacheEvent {
			e := start(t, EngineConfig{Models: models, EventLoss: 0.3, Seed: seed})
			_, err := e.Prefill(t.Context(), prefillOf("a", 6400, oriolebend.Patient))
			is.New(t).NoErr(err)
			time.Sleep(time.Second)
			events, _ := e.CacheEvents(t.Context(), 0)
			return events
		}
		is := is.New(t)
		is.Equal(told(1), told(1))
		is.True(len(told(1)) < 90 && len(told(1)) > 50) // of 100
		is.True(fmt.Sprint(told(1)) != fmt.Sprint(told(2)))
	})
}

// TestTransferOutlivesItsResult: symptom: a decode whose transfer was almost
// done starts over, and the prefill is wasted. Sequence: the transfer begins
// within the result's life and ends after it. Cause: a result in transfer must
// be kept, but not for ever: a reader that hangs would hold the memory.
func TestTransferOutlivesItsResult(t *testing.T) {
	for _, row := range []struct {
		name  string
		bytes float64 // of the link, a second
		held  int     // tokens still held after one second
		want  oriolebend.Reason
	}{
		{"within twice the life", 1e9, 16_000, ""},
		{"longer", 0.1e9, 16_000, oriolebend.ReasonTransferStalled},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				prefill, decode := pair(t, EngineConfig{LinkBytes: row.bytes})
				request := decodeOf(t, prefill, "a", 16_000) // 1.05 GB
				ended := make(chan error, 1)
				go func() { ended <- decode.Decode(t.Context(), request, ignore) }()
				time.Sleep(time.Second)
				is.Equal(heldTokens(t, prefill), row.held)
				late := request
				late.Attempt.Number = 2
				err := decode.Decode(t.Context(), late, ignore)
				is.Equal(engineError(err).Reason, oriolebend.ReasonResultExpired) // no new transfer
				time.Sleep(time.Second)
				is.Equal(heldTokens(t, prefill), 0)
				if err = <-ended; row.want == "" {
					is.NoErr(err)
				} else {
					is.Equal(engineError(err).Reason, row.want)
				}
			})
		})
	}
}

func TestFailNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prefill, decode := pair(t, EngineConfig{})
		request := decodeOf(t, prefill, "a", 10)
		decode.FailNext(OperationPart, oriolebend.ReasonEngineFailed)
		parts := 0
		err := decode.Decode(t.Context(), request, func(message.Part) error {
			parts++
			return nil
		})
		is.Equal(engineError(err).Reason, oriolebend.ReasonEngineFailed)
		is.Equal(parts, 1)
		prefill.FailNext(OperationPrefill, oriolebend.ReasonNoMemory)
		_, err = prefill.Prefill(t.Context(), prefillOf("b", 10, oriolebend.Patient))
		is.Equal(engineError(err).Reason, oriolebend.ReasonNoMemory)
		_, err = prefill.Prefill(t.Context(), prefillOf("b", 10, oriolebend.Patient))
		is.NoErr(err) // one time only
	})
}

// TestSlowReceiver: symptom: one caller that reads slowly slows the others.
// Sequence: its connection takes no more bytes. Cause: the batch must not wait
// for it; it then gets several tokens in one part.
func TestSlowReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prefill, decode := pair(t, EngineConfig{})
		largest := 0
		err := decode.Decode(t.Context(), decodeOf(t, prefill, "a", 10), func(p message.Part) error {
			largest = max(largest, p.Tokens)
			time.Sleep(100 * time.Millisecond)
			return nil
		})
		is.NoErr(err)
		is.True(largest >= 3)
	})
}
