package enginetest

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// workCases are prefills and decodes that succeed.
var workCases = []testCase{
	{name: "whole output", run: wholeOutput},
	{name: "resume behind delivered", run: resume},
	{name: "resume at the end", run: resumeAtEnd},
	{name: "several at once", run: severalAtOnce},
}

func wholeOutput(b *bench) {
	text := prompt("whole", 500)
	result := b.mustPrefill("r", text)
	b.Equal(result.Tokens, 500)
	b.True(result.KVBytes > 0 && result.LivesFor > 0)
	output, err := b.decode(b.ctx, decodeRequest("r", text, result))
	b.NoErr(err)
	b.NoErr(b.Check(text, 100, output))
	b.freed(b.Decode)
	b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
	b.freed(b.Prefill)
}

// resume is what follows a decode server's death: the prompt and the output
// so far are computed again, and generation goes on behind them.
func resume(b *bench) {
	text := prompt("resume", 300)
	whole, err := b.decode(b.ctx, decodeRequest("r", text, b.mustPrefill("r", text)))
	b.NoErr(err)
	delivered := cut(whole, 10)
	request := decodeRequest("r", text, b.mustPrefill("again", text+delivered))
	request.Delivered = delivered
	request.Offset = 10
	rest, err := b.decode(b.ctx, request)
	b.NoErr(err)
	b.Equal(delivered+rest, whole)
}

func resumeAtEnd(b *bench) {
	text := prompt("end", 300)
	whole, err := b.decode(b.ctx, decodeRequest("r", text, b.mustPrefill("r", text)))
	b.NoErr(err)
	request := decodeRequest("r", text, b.mustPrefill("again", text+whole))
	request.Delivered = whole
	request.Offset = prefix.CountTokens(whole)
	rest, err := b.decode(b.ctx, request)
	b.NoErr(err)
	b.Equal(rest, "")
}

// cut returns the first tokens of an output.
func cut(output string, tokens int) string {
	words := strings.SplitAfterN(output, " ", tokens+2)
	return strings.TrimSuffix(strings.Join(words[:tokens+1], ""), " ")
}

func severalAtOnce(b *bench) {
	names := []string{"a", "b", "c", "d", "e"}
	var ended []<-chan error
	for _, name := range names {
		ended = append(ended, background(func() error {
			text := prompt(name, 400)
			result, err := b.Prefill.Prefill(b.ctx, prefillRequest(name, text))
			if err != nil {
				return err
			}
			output, err := b.decode(b.ctx, decodeRequest(name, text, result))
			return errors.Join(err, b.Check(text, 100, output))
		}))
	}
	for _, e := range ended {
		b.NoErr(<-e)
	}
}

// refusalCases are work that an engine can't do.
var refusalCases = []testCase{
	{name: "unknown model", run: func(b *bench) {
		request := prefillRequest("r", "text")
		request.Model = "no-such-lm"
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.reason(err, oriolebend.ReasonWrongModel)
	}},
	{name: "unknown version", run: func(b *bench) {
		request := prefillRequest("r", "text")
		request.Version = "0"
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.reason(err, oriolebend.ReasonWrongModel)
	}},
	{name: "unknown adapter", run: func(b *bench) {
		request := prefillRequest("r", "text")
		request.Adapter = "no-such-adapter"
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.reason(err, oriolebend.ReasonWrongModel)
	}},
	{name: "wrong role", run: func(b *bench) {
		_, err := b.Decode.Prefill(b.ctx, prefillRequest("r", "text"))
		b.reason(err, oriolebend.ReasonWrongRole)
	}},
	{name: "prompt over the memory", run: func(b *bench) {
		_, err := b.Prefill.Prefill(b.ctx, prefillRequest("r", prompt("long", KVTokens+1)))
		b.reason(err, oriolebend.ReasonNoMemory)
		b.freed(b.Prefill)
	}},
	{name: "full memory", run: fullMemory},
	{name: "attempt runs already", run: attemptRunsAlready},
	{name: "expired result", run: expiredResult},
	{name: "result of another prompt", run: resultOfAnotherPrompt},
	{name: "delivered of another output", run: func(b *bench) {
		request := decodeRequest("r", "text", engine.PrefillResult{})
		request.Delivered = " not mine"
		request.Offset = 2
		_, err := b.decode(b.ctx, request)
		b.reason(err, oriolebend.ReasonMalformed)
	}},
}

// fullMemory: symptom: a decode is refused while its KV cache is ready.
// Sequence: as many decodes as fit run, one more arrives. Cause: none of the
// memory is free; it is once one of them ended.
func fullMemory(b *bench) {
	text := prompt("full", 4000)
	result := b.mustPrefill("r", text)
	b.DecodeFaults.StallLinks(true)
	var ended []<-chan error
	for _, name := range []string{"first", "second"} {
		request := decodeRequest(name, text, result)
		ended = append(ended, background(func() error {
			_, err := b.decode(b.ctx, request)
			return err
		}))
	}
	b.eventually("two decodes", func() bool { return b.holds(b.Decode) == 2 })
	_, err := b.decode(b.ctx, decodeRequest("third", text, result))
	b.reason(err, oriolebend.ReasonNoMemory)
	b.NoErr(b.Decode.Cancel(b.ctx, attempt("first", 1)))
	b.reason(<-ended[0], oriolebend.ReasonCallerCancelled)
	b.DecodeFaults.StallLinks(false)
	_, err = b.decode(b.ctx, decodeRequest("third", text, b.mustPrefill("again", text)))
	b.NoErr(err)
	b.NoErr(<-ended[1])
	b.freed(b.Decode)
}

// attemptRunsAlready: symptom: a request is decoded twice. Sequence: the
// dispatch of an attempt is doubled on its way. Cause: without a refusal both
// would run.
func attemptRunsAlready(b *bench) {
	b.DecodeFaults.StallLinks(true)
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	ended := background(func() error {
		_, err := b.decode(b.ctx, request)
		return err
	})
	b.eventually("one decode", func() bool { return b.holds(b.Decode) == 1 })
	_, err := b.decode(b.ctx, request)
	b.reason(err, oriolebend.ReasonAttemptUsed)
	b.DecodeFaults.StallLinks(false)
	b.NoErr(<-ended)
}

// expiredResult: symptom: a decode finds nothing to import. Sequence: the
// prefill ended, and the decode came after the result's life. Cause: engines
// drop a result that nobody fetched.
func expiredResult(b *bench) {
	result := b.mustPrefill("r", "text")
	time.Sleep(result.LivesFor)
	b.freed(b.Prefill)
	_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
	b.reason(err, oriolebend.ReasonResultExpired)
	b.freed(b.Decode)
}

// resultOfAnotherPrompt: symptom: a caller gets the output of another's
// prompt. Sequence: two prefill results cross. Cause: the address of the wrong
// one was put into the decode; the engine compares digests and refuses.
func resultOfAnotherPrompt(b *bench) {
	result := b.mustPrefill("r", "text of another caller")
	_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
	b.reason(err, oriolebend.ReasonEngineFailed)
}

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
