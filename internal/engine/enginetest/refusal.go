package enginetest

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// refusalCases test work that an engine must refuse.
var refusalCases = []testCase{
	{name: "unknown model", run: notLoadedCase(func(r *engine.PrefillRequest) { r.Model = "no-such-lm" })},
	{name: "unknown version", run: notLoadedCase(func(r *engine.PrefillRequest) { r.Version = "0" })},
	{name: "unknown adapter", run: notLoadedCase(func(r *engine.PrefillRequest) { r.Adapter = "no-such-adapter" })},
	{name: "wrong role", run: func(b *testbed) {
		_, err := b.Decode.Prefill(b.ctx, prefillRequest("r", "text"))
		b.wantReason(err, oriolebend.ReasonWrongRole)
	}},
	{name: "prompt larger than the memory", run: func(b *testbed) {
		_, err := b.Prefill.Prefill(b.ctx, prefillRequest("r", prompt("long", KVTokens+1)))
		b.wantReason(err, oriolebend.ReasonNoMemory)
		b.waitFreed(b.Prefill)
	}},
	{name: "full memory", run: fullMemory},
	{name: "attempt that already runs", run: duplicateAttempt},
	{name: "expired result", run: expiredResult},
	{name: "result of another prompt", run: resultOfAnotherPrompt},
	{name: "delivered text of another output", run: func(b *testbed) {
		request := decodeRequest("r", "text", engine.PrefillResult{})
		request.Delivered = " not mine"
		request.Offset = 2
		_, err := b.decode(b.ctx, request)
		b.wantReason(err, oriolebend.ReasonMalformed)
	}},
}

// notLoadedCase returns a test of a prefill whose model, version or adapter is not loaded.
func notLoadedCase(change func(*engine.PrefillRequest)) func(*testbed) {
	return func(b *testbed) {
		request := prefillRequest("r", "text")
		change(&request)
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.wantReason(err, oriolebend.ReasonWrongModel)
	}
}

// fullMemory tests a decode that is refused although its KV cache is ready, because the
// running decodes use all memory. The memory is free again once one of them ends.
func fullMemory(b *testbed) {
	text := prompt("full", 4000)
	result := b.mustPrefill("r", text)
	b.DecodeFaults.StallLinks(true)
	var done []<-chan error
	for _, name := range []string{"first", "second"} {
		request := decodeRequest(name, text, result)
		done = append(done, runAsync(func() error {
			_, err := b.decode(b.ctx, request)
			return err
		}))
	}
	b.waitFor("two decodes", func() bool { return b.workCount(b.Decode) == 2 })
	_, err := b.decode(b.ctx, decodeRequest("third", text, result))
	b.wantReason(err, oriolebend.ReasonNoMemory)
	b.NoErr(b.Decode.Cancel(b.ctx, attempt("first", 1)))
	b.wantReason(<-done[0], oriolebend.ReasonCallerCancelled)
	b.DecodeFaults.StallLinks(false)
	_, err = b.decode(b.ctx, decodeRequest("third", text, b.mustPrefill("again", text)))
	b.NoErr(err)
	b.NoErr(<-done[1])
	b.waitFreed(b.Decode)
}

// duplicateAttempt guards against a request that is decoded twice because the dispatch of
// its attempt was duplicated in transit. Without a refusal, both would run.
func duplicateAttempt(b *testbed) {
	b.DecodeFaults.StallLinks(true)
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	done := runAsync(func() error {
		_, err := b.decode(b.ctx, request)
		return err
	})
	b.waitFor("one decode", func() bool { return b.workCount(b.Decode) == 1 })
	_, err := b.decode(b.ctx, request)
	b.wantReason(err, oriolebend.ReasonAttemptUsed)
	b.DecodeFaults.StallLinks(false)
	b.NoErr(<-done)
}

// expiredResult tests a decode that arrives after the prefill result has expired. Engines
// drop a result that was not fetched in time.
func expiredResult(b *testbed) {
	result := b.mustPrefill("r", "text")
	time.Sleep(result.LivesFor)
	b.waitFreed(b.Prefill)
	_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
	b.wantReason(err, oriolebend.ReasonResultExpired)
	b.waitFreed(b.Decode)
}

// resultOfAnotherPrompt guards against a caller that receives the output of another
// caller's prompt because two prefill results were swapped. The decode names the URL of the
// wrong result, and the engine compares the digests and refuses it.
func resultOfAnotherPrompt(b *testbed) {
	result := b.mustPrefill("r", "text of another caller")
	_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
	b.wantReason(err, oriolebend.ReasonEngineFailed)
}
