package enginetest

import (
	"errors"
	"strings"

	"github.com/oriolebend/oriolebend/internal/prefix"
)

// workCases test prefills and decodes that succeed.
var workCases = []testCase{
	{name: "complete output", run: wholeOutput},
	{name: "resume after delivered output", run: resume},
	{name: "resume at the end of the output", run: resumeAtEnd},
	{name: "several at once", run: severalAtOnce},
}

func wholeOutput(b *testbed) {
	text := prompt("whole", 500)
	result := b.mustPrefill("r", text)
	b.Equal(result.Tokens, 500)
	b.True(result.KVBytes > 0 && result.LivesFor > 0)
	output, err := b.decode(b.ctx, decodeRequest("r", text, result))
	b.NoErr(err)
	b.NoErr(b.Check(text, 100, output))
	b.waitFreed(b.Decode)
	b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
	b.waitFreed(b.Prefill)
}

// resume tests the recovery from the crash of a decode server: the prompt and the output
// so far are prefilled again, and generation continues after them.
func resume(b *testbed) {
	text := prompt("resume", 300)
	whole, err := b.decode(b.ctx, decodeRequest("r", text, b.mustPrefill("r", text)))
	b.NoErr(err)
	delivered := firstTokens(whole, 10)
	request := decodeRequest("r", text, b.mustPrefill("again", text+delivered))
	request.Delivered = delivered
	request.Offset = 10
	rest, err := b.decode(b.ctx, request)
	b.NoErr(err)
	b.Equal(delivered+rest, whole)
}

func resumeAtEnd(b *testbed) {
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

// firstTokens returns the first tokens of an output.
func firstTokens(output string, tokens int) string {
	words := strings.SplitAfterN(output, " ", tokens+2)
	return strings.TrimSuffix(strings.Join(words[:tokens+1], ""), " ")
}

func severalAtOnce(b *testbed) {
	names := []string{"a", "b", "c", "d", "e"}
	var done []<-chan error
	for _, name := range names {
		done = append(done, runAsync(func() error {
			text := prompt(name, 400)
			result, err := b.Prefill.Prefill(b.ctx, prefillRequest(name, text))
			if err != nil {
				return err
			}
			output, err := b.decode(b.ctx, decodeRequest(name, text, result))
			return errors.Join(err, b.Check(text, 100, output))
		}))
	}
	for _, e := range done {
		b.NoErr(<-e)
	}
}
