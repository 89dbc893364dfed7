package enginetest

import (
	"context"
	"errors"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// cancelPoint is a stage of a request at which it is cancelled.
type cancelPoint struct {
	name string
	// start brings a request to the stage. It returns the engine that holds the
	// memory of the request, and the channel that receives the error of its call,
	// which is nil if no call is in progress.
	start func(b *testbed, ctx context.Context) (engine.Engine, <-chan error)
}

var cancelPoints = []cancelPoint{
	{"while its prefill runs", func(b *testbed, ctx context.Context) (engine.Engine, <-chan error) {
		b.PrefillFaults.SlowBy(1e4)
		return b.Prefill, b.startPrefill(ctx, "r")
	}},
	{"while its prefill is queued", func(b *testbed, ctx context.Context) (engine.Engine, <-chan error) {
		b.PrefillFaults.SlowBy(1e4)
		b.startPrefill(b.ctx, "other")
		b.waitFor("the other prefill", func() bool { return b.workCount(b.Prefill) == 1 })
		done := b.startPrefill(ctx, "r")
		b.waitFor("both prefills", func() bool { return b.workCount(b.Prefill) == 2 })
		b.NoErr(b.Prefill.Cancel(b.ctx, attempt("other", 1)))
		return b.Prefill, done
	}},
	{"while it is transferred", func(b *testbed, ctx context.Context) (engine.Engine, <-chan error) {
		request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
		b.DecodeFaults.StallLinks(true)
		return b.Decode, b.startDecode(ctx, request)
	}},
	{"while it is decoded", func(b *testbed, ctx context.Context) (engine.Engine, <-chan error) {
		request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
		parts := make(chan struct{}, request.MaxTokens)
		done := runAsync(func() error {
			return b.Decode.Decode(ctx, request, func(message.Part) error {
				b.DecodeFaults.SlowBy(1e4)
				parts <- struct{}{}
				return nil
			})
		})
		<-parts
		return b.Decode, done
	}},
}

// startPrefill starts a long prefill and returns the channel that receives its error.
func (b *testbed) startPrefill(ctx context.Context, request string) <-chan error {
	return runAsync(func() error {
		_, err := b.Prefill.Prefill(ctx, prefillRequest(request, prompt("long", 2000)))
		return err
	})
}

// startDecode starts a decode and returns the channel that receives its error.
func (b *testbed) startDecode(ctx context.Context, r engine.DecodeRequest) <-chan error {
	return runAsync(func() error {
		_, err := b.decode(ctx, r)
		return err
	})
}

// cancelCases cancel a request at each stage, both with a cancel call and by the
// caller's context. They guard against engine memory that stays allocated to a request
// whose caller has disconnected, until the engine admits nothing more.
func cancelCases() []testCase {
	cases := []testCase{
		{name: "result that was not fetched", run: func(b *testbed) {
			b.mustPrefill("r", "text")
			b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
			b.Equal(b.workCount(b.Prefill), 0) // freed at once
		}},
		{name: "unknown attempt", run: func(b *testbed) {
			b.NoErr(b.Prefill.Cancel(b.ctx, attempt("unknown", 1)))
		}},
		{name: "other attempt of the request", run: cancelOtherAttempt},
		{name: "emit returns an error", run: emitFails},
	}
	for _, s := range cancelPoints {
		cases = append(cases,
			testCase{name: "with a cancel call " + s.name, run: func(b *testbed) { cancelByOrder(b, s) }},
			testCase{name: "by the caller's context " + s.name, run: func(b *testbed) { cancelByCaller(b, s) }},
		)
	}
	return cases
}

// cancelByOrder cancels twice, like a gate that did not receive the first response.
func cancelByOrder(b *testbed, s cancelPoint) {
	holder, done := s.start(b, b.ctx)
	b.waitFor("one work entry", func() bool { return b.workCount(holder) == 1 })
	b.NoErr(holder.Cancel(b.ctx, attempt("r", 1)))
	b.Equal(b.workCount(holder), 0) // freed at once
	b.NoErr(holder.Cancel(b.ctx, attempt("r", 1)))
	b.wantReason(<-done, oriolebend.ReasonCallerCancelled)
	b.waitFreed(holder)
}

func cancelByCaller(b *testbed, s cancelPoint) {
	ctx, cancel := context.WithCancel(b.ctx)
	holder, done := s.start(b, ctx)
	b.waitFor("one work entry", func() bool { return b.workCount(holder) == 1 })
	cancel()
	b.wantReason(<-done, oriolebend.ReasonCallerCancelled)
	b.waitFreed(holder)
}

func cancelOtherAttempt(b *testbed) {
	request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
	b.DecodeFaults.StallLinks(true)
	done := b.startDecode(b.ctx, request)
	b.waitFor("one work entry", func() bool { return b.workCount(b.Decode) == 1 })
	b.NoErr(b.Decode.Cancel(b.ctx, attempt("r", 2)))
	b.Equal(b.workCount(b.Decode), 1) // the other attempt has no work here
	b.DecodeFaults.StallLinks(false)
	b.NoErr(<-done)
}

func emitFails(b *testbed) {
	result := b.mustPrefill("r", "text")
	emitErr := &engine.Error{Reason: oriolebend.ReasonLeaseEnded}
	err := b.Decode.Decode(b.ctx, decodeRequest("r", "text", result), func(message.Part) error { return emitErr })
	b.wantReason(err, oriolebend.ReasonCallerCancelled)
	b.True(errors.Is(err, emitErr)) // the error of emit is the cause
	b.waitFreed(b.Decode)
}
