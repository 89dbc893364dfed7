package enginetest

import (
	"context"
	"errors"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// step is a moment in the life of a request at which it is cancelled.
type step struct {
	name string
	// begin brings a request to the step and returns the engine that holds its
	// memory and the end of its call, which is nil if none is in progress.
	begin func(b *bench, ctx context.Context) (engine.Engine, <-chan error)
}

var steps = []step{
	{"while its prefill runs", func(b *bench, ctx context.Context) (engine.Engine, <-chan error) {
		b.PrefillFaults.SlowBy(1e4)
		return b.Prefill, b.backgroundPrefill(ctx, "r")
	}},
	{"while its prefill waits", func(b *bench, ctx context.Context) (engine.Engine, <-chan error) {
		b.PrefillFaults.SlowBy(1e4)
		b.backgroundPrefill(b.ctx, "other")
		b.eventually("prefill of the other", func() bool { return b.holds(b.Prefill) == 1 })
		ended := b.backgroundPrefill(ctx, "r")
		b.eventually("both prefills", func() bool { return b.holds(b.Prefill) == 2 })
		b.NoErr(b.Prefill.Cancel(b.ctx, attempt("other", 1)))
		return b.Prefill, ended
	}},
	{"while it is transferred", func(b *bench, ctx context.Context) (engine.Engine, <-chan error) {
		request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
		b.DecodeFaults.StallLinks(true)
		return b.Decode, b.backgroundDecode(ctx, request)
	}},
	{"while it is decoded", func(b *bench, ctx context.Context) (engine.Engine, <-chan error) {
		request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
		parts := make(chan struct{}, request.MaxTokens)
		ended := background(func() error {
			return b.Decode.Decode(ctx, request, func(message.Part) error {
				b.DecodeFaults.SlowBy(1e4)
				parts <- struct{}{}
				return nil
			})
		})
		<-parts
		return b.Decode, ended
	}},
}

func (b *bench) backgroundPrefill(ctx context.Context, request string) <-chan error {
	return background(func() error {
		_, err := b.Prefill.Prefill(ctx, prefillRequest(request, prompt("long", 2000)))
		return err
	})
}

func (b *bench) backgroundDecode(ctx context.Context, r engine.DecodeRequest) <-chan error {
	return background(func() error {
		_, err := b.decode(ctx, r)
		return err
	})
}

// cancelCases end a request at each step, in each way. Symptom without them:
// memory of an engine stays held by a request whose caller is gone, until the
// engine admits nothing more.
func cancelCases() []testCase {
	cases := []testCase{
		{name: "result not fetched", run: func(b *bench) {
			b.mustPrefill("r", "text")
			b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
			b.Equal(b.holds(b.Prefill), 0) // freed at once
		}},
		{name: "nothing there", run: func(b *bench) {
			b.NoErr(b.Prefill.Cancel(b.ctx, attempt("never came", 1)))
		}},
		{name: "other attempt of the request", run: otherAttempt},
		{name: "receiver refuses a part", run: receiverRefuses},
	}
	for _, s := range steps {
		cases = append(cases,
			testCase{name: "by order " + s.name, run: func(b *bench) { cancelByOrder(b, s) }},
			testCase{name: "by leaving " + s.name, run: func(b *bench) { cancelByLeaving(b, s) }},
		)
	}
	return cases
}

// cancelByOrder cancels twice, as a gate does that lost the first answer.
func cancelByOrder(b *bench, s step) {
	holder, ended := s.begin(b, b.ctx)
	b.eventually("its work", func() bool { return b.holds(holder) == 1 })
	b.NoErr(holder.Cancel(b.ctx, attempt("r", 1)))
	b.Equal(b.holds(holder), 0) // freed at once
	b.NoErr(holder.Cancel(b.ctx, attempt("r", 1)))
	b.reason(<-ended, oriolebend.ReasonCallerCancelled)
	b.freed(holder)
}

func cancelByLeaving(b *bench, s step) {
	ctx, leave := context.WithCancel(b.ctx)
	holder, ended := s.begin(b, ctx)
	b.eventually("its work", func() bool { return b.holds(holder) == 1 })
	leave()
	b.reason(<-ended, oriolebend.ReasonCallerCancelled)
	b.freed(holder)
}

func otherAttempt(b *bench) {
	request := decodeRequest("r", "text", b.mustPrefill("source", "text"))
	b.DecodeFaults.StallLinks(true)
	ended := b.backgroundDecode(b.ctx, request)
	b.eventually("its work", func() bool { return b.holds(b.Decode) == 1 })
	b.NoErr(b.Decode.Cancel(b.ctx, attempt("r", 2)))
	b.Equal(b.holds(b.Decode), 1) // another attempt is another's work
	b.DecodeFaults.StallLinks(false)
	b.NoErr(<-ended)
}

func receiverRefuses(b *bench) {
	result := b.mustPrefill("r", "text")
	gone := &engine.Error{Reason: oriolebend.ReasonLeaseEnded}
	err := b.Decode.Decode(b.ctx, decodeRequest("r", "text", result), func(message.Part) error { return gone })
	b.reason(err, oriolebend.ReasonCallerCancelled)
	b.True(errors.Is(err, gone)) // the receiver's error is the cause
	b.freed(b.Decode)
}
