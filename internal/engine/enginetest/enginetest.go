// Package enginetest is the contract that every engine.Engine keeps, as tests
// to run against a client with its engine.
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

// Model and Version are loaded on both engines of a pair at the start.
const (
	Model   = "planner-lm"
	Version = "1"
)

// KVTokens is the KV memory of both engines of a pair.
const KVTokens = 10_000

// eventuallyWithin bounds the wait for a state that must come.
const eventuallyWithin = 20 * time.Second

// Faults breaks an engine.
type Faults interface {
	Kill()
	Restart()
	Freeze(stop bool)
	StallLinks(stop bool)
	SlowBy(factor float64)
	DropEvents(count int)
}

// Pair is a prefill and a decode engine that reach each other, each with a
// memory of KVTokens.
type Pair struct {
	Prefill       engine.Engine
	Decode        engine.Engine
	PrefillFaults Faults
	DecodeFaults  Faults
	// Check reports whether text is the whole output of a prompt.
	Check func(prompt string, maxTokens int, text string) error
}

// Setup is what a case needs of its pair beyond the usual.
type Setup struct {
	// IgnoresFencing makes the engines accept outdated orders.
	IgnoresFencing bool
}

// Suite says how the contract is run.
type Suite struct {
	// New makes a pair; it ends with the test.
	New func(t *testing.T, s Setup) Pair
	// Around runs one case; nil runs it as it is.
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

// testCase is one row of the contract.
type testCase struct {
	name  string
	setup Setup
	run   func(b *bench)
}

func (s Suite) runCase(t *testing.T, c testCase) {
	around := s.Around
	if around == nil {
		around = func(t *testing.T, run func(t *testing.T)) { run(t) }
	}
	around(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := &bench{Pair: s.New(t, c.setup), I: is.New(t), t: t, ctx: ctx}
		c.run(b)
	})
}

// bench is a pair in one case.
type bench struct {
	Pair
	*is.I
	t   *testing.T
	ctx context.Context
}

// attempt names an attempt of a request.
func attempt(request string, number uint32) message.Attempt {
	return message.Attempt{RequestID: request, Number: number}
}

// prompt returns a text of so many tokens that begins with a name.
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

// mustPrefill computes a prompt that must succeed.
func (b *bench) mustPrefill(request, text string) engine.PrefillResult {
	b.t.Helper()
	result, err := b.Prefill.Prefill(b.ctx, prefillRequest(request, text))
	b.NoErr(err)
	return result
}

// decode runs a decode and returns its text; every part must follow the one
// before, and only the last may have Finish set.
func (b *bench) decode(ctx context.Context, r engine.DecodeRequest) (string, error) {
	var text strings.Builder
	next, ended := r.Offset, false
	err := b.Decode.Decode(ctx, r, func(p message.Part) error {
		if p.Attempt != r.Attempt || p.Offset != next || ended {
			return fmt.Errorf("part %+v where %d of %+v was next: %w", p, next, r.Attempt, errors.ErrUnsupported)
		}
		next += p.Tokens
		ended = p.Finish != ""
		text.WriteString(p.Text)
		return nil
	})
	if err == nil && !ended {
		b.t.Errorf("decode of %+v ended without Finish", r.Attempt)
	}
	return text.String(), err
}

// background runs a call and returns the channel of its error.
func background(run func() error) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	return ended
}

// reason asserts the reason of an error.
func (b *bench) reason(err error, want oriolebend.Reason) {
	b.t.Helper()
	var typed *engine.Error
	if !errors.As(err, &typed) {
		b.t.Fatalf("error is %v, want an *engine.Error with reason %s", err, want)
	}
	if typed.Reason != want {
		b.t.Fatalf("reason is %s, want %s: %v", typed.Reason, want, err)
	}
}

// eventually waits for a state that must come.
func (b *bench) eventually(what string, reached func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(eventuallyWithin); !reached(); {
		if time.Now().After(deadline) {
			b.t.Fatalf("never came: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// holds counts the attempts that hold memory of an engine.
func (b *bench) holds(e engine.Engine) int {
	b.t.Helper()
	work, err := e.Work(b.ctx)
	b.NoErr(err)
	return len(work)
}

// freed waits until an engine holds no memory, by its list of work and by its
// load report.
func (b *bench) freed(e engine.Engine) {
	b.t.Helper()
	b.eventually("no work", func() bool { return b.holds(e) == 0 })
	b.eventually("all tokens free", func() bool {
		report, err := e.Load(b.ctx)
		b.NoErr(err)
		return report.FreeTokens == KVTokens && report.TotalTokens == KVTokens
	})
}
