package enginetest

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// refusalCases are work that an engine can't do.
var refusalCases = []testCase{
	{name: "unknown model", run: notLoaded(func(r *engine.PrefillRequest) { r.Model = "no-such-lm" })},
	{name: "unknown version", run: notLoaded(func(r *engine.PrefillRequest) { r.Version = "0" })},
	{name: "unknown adapter", run: notLoaded(func(r *engine.PrefillRequest) { r.Adapter = "no-such-adapter" })},
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

// notLoaded returns a case of a prefill that names something not loaded.
func notLoaded(change func(*engine.PrefillRequest)) func(*bench) {
	return func(b *bench) {
		request := prefillRequest("r", "text")
		change(&request)
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.reason(err, oriolebend.ReasonWrongModel)
	}
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
