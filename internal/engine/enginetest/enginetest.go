// Package enginetest holds the tests of the contract of engine.Engine, which run against a
// client and its engine. The tests of package standin run them with stand-in engines.
package enginetest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Model and Version name the model that both engines of a pair have loaded at the start.
const (
	Model   = "planner-lm"
	Version = "1"
)

// KVTokens is the size of the KV memory of each engine of a pair, in tokens.
const KVTokens = 10_000

// waitTimeout bounds the wait for an expected state.
const waitTimeout = 20 * time.Second

// Faults injects faults into an engine.
type Faults interface {
	Kill()
	Restart()
	Freeze(stop bool)
	StallLinks(stop bool)
	SlowBy(factor float64)
	DropEvents(count int)
}

// Pair is a prefill and a decode engine that can reach each other, each with a KV
// memory of KVTokens.
type Pair struct {
	Prefill       engine.Engine
	Decode        engine.Engine
	PrefillFaults Faults
	DecodeFaults  Faults
	// Check returns an error unless text is the complete output of a prompt.
	Check func(prompt string, maxTokens int, text string) error
}

// Setup holds the options of a test case for its pair of engines.
type Setup struct {
	// IgnoresFencing makes the engines accept outdated orders.
	IgnoresFencing bool
}

// Suite configures how the contract is run.
type Suite struct {
	// New returns a pair, which is closed at the end of the test.
	New func(t *testing.T, s Setup) Pair
	// Around wraps the run of one case; nil means no wrapper.
	Around func(t *testing.T, run func(t *testing.T))
}

// Run runs the whole contract.
func (s Suite) Run(t *testing.T) {
	for _, group := range []struct {
		name  string
		cases []testCase
	}{
		{"work", workCases},
		{"refusal", refusalCases},
		{"cancel", cancelCases()},
		{"fault", faultCases},
		{"order", orderCases},
		{"cache", cacheCases},
	} {
		for _, c := range group.cases {
			t.Run(group.name+"/"+c.name, func(t *testing.T) { s.runCase(t, c) })
		}
	}
}

// testCase is one test of the contract.
type testCase struct {
	name  string
	setup Setup
	run   func(b *testbed)
}

func (s Suite) runCase(t *testing.T, c testCase) {
	around := s.Around
	if around == nil {
		around = func(t *testing.T, run func(t *testing.T)) { run(t) }
	}
	around(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := &testbed{Pair: s.New(t, c.setup), I: is.New(t), t: t, ctx: ctx}
		c.run(b)
	})
}

// testbed is the pair of engines of one test case, with its assertions.
type testbed struct {
	Pair
	*is.I
	t   *testing.T
	ctx context.Context
}

// attempt returns the identity of an attempt.
func attempt(request string, number uint32) message.Attempt {
	return message.Attempt{RequestID: request, Number: number}
}

// prompt returns a text with the given number of tokens that begins with name.
func prompt(name string, tokens int) string {
	return name + strings.Repeat(" road", tokens-1)
}

func prefillRequest(request, text string) engine.PrefillRequest {
	return engine.PrefillRequest{
		Attempt:  attempt(request, 1),
		Model:    Model,
		Version:  Version,
		Prompt:   text,
		Priority: oriolebend.Patient,
	}
}

func decodeRequest(request, text string, r engine.PrefillResult) engine.DecodeRequest {
	return engine.DecodeRequest{
		Attempt:        attempt(request, 1),
		Model:          Model,
		Version:        Version,
		SourceURL:      r.SourceURL,
		Prompt:         text,
		MaxTokens:      100,
		Priority:       oriolebend.Patient,
		TransferWithin: 5 * time.Second,
	}
}

// mustPrefill runs a prefill that must succeed.
func (b *testbed) mustPrefill(request, text string) engine.PrefillResult {
	b.t.Helper()
	result, err := b.Prefill.Prefill(b.ctx, prefillRequest(request, text))
	b.NoErr(err)
	return result
}

// decode runs a decode and returns its text. Each part must continue at the end of
// the previous one, and only the last part may have Finish set.
func (b *testbed) decode(ctx context.Context, r engine.DecodeRequest) (string, error) {
	var text strings.Builder
	next, finished := r.Offset, false
	err := b.Decode.Decode(ctx, r, func(p message.Part) error {
		if p.Attempt != r.Attempt || p.Offset != next || finished {
			return fmt.Errorf("got part %+v, want offset %d of attempt %+v: %w", p, next, r.Attempt, errors.ErrUnsupported)
		}
		next += p.Tokens
		finished = p.Finish != ""
		text.WriteString(p.Text)
		return nil
	})
	if err == nil && !finished {
		b.t.Errorf("decode of %+v ended without Finish", r.Attempt)
	}
	return text.String(), err
}

// runAsync runs a call in a goroutine and returns the channel that receives its error.
func runAsync(run func() error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- run() }()
	return done
}

// wantReason asserts the reason of an error.
func (b *testbed) wantReason(err error, want oriolebend.Reason) {
	b.t.Helper()
	var typed *engine.Error
	if !errors.As(err, &typed) {
		b.t.Fatalf("error is %v, want an *engine.Error with reason %s", err, want)
	}
	if typed.Reason != want {
		b.t.Fatalf("reason is %s, want %s: %v", typed.Reason, want, err)
	}
}

// waitFor waits for a state and fails the test if it does not occur in time.
func (b *testbed) waitFor(state string, reached func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !reached(); {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting for %s", state)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// workCount returns the number of attempts that hold memory of an engine.
func (b *testbed) workCount(e engine.Engine) int {
	b.t.Helper()
	work, err := e.Work(b.ctx)
	b.NoErr(err)
	return len(work)
}

// waitFreed waits until an engine holds no memory, according to both its work list and
// its load report.
func (b *testbed) waitFreed(e engine.Engine) {
	b.t.Helper()
	b.waitFor("no work", func() bool { return b.workCount(e) == 0 })
	b.waitFor("all tokens free", func() bool {
		report, err := e.Load(b.ctx)
		b.NoErr(err)
		return report.FreeTokens == KVTokens && report.TotalTokens == KVTokens
	})
}
