package enginetest

import (
	"errors"
	"strings"

	"github.com/oriolebend/oriolebend/internal/prefix"
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
