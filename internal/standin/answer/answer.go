// Package answer computes the output that the stand-in engines generate. The output
// depends only on the model, the adapter and the prompt, so that a check can distinguish
// a complete answer from a damaged or truncated one or one of another prompt, whichever
// engines generated its parts.
//
// Token 0 identifies the prompt by its hash, and token i is a word selected by the hash
// and i. Every token begins with a space and is one token of package prefix, so that the
// tokens of a text can be counted.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Bounds of the natural length of an answer, in tokens. The natural length is the length
// of an answer without a limit.
const (
	minTokens = 64
	maxTokens = 384
)

const (
	hashDigits = 12
	hashMask   = 1<<(4*hashDigits) - 1
)

// Source generates the answer of one prompt.
type Source struct {
	hash uint64
}

// Of returns the source of a prompt's answer. The answer does not depend on the version of
// the model, because a caller that specifies no version can't know it.
func Of(model, adapter, prompt string) Source {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, adapter, prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Source{hash: digest.Sum64() & hashMask}
}

// Natural returns the number of tokens of the answer without a limit.
func (s Source) Natural() int {
	return minTokens + int(mix(s.hash)%(maxTokens-minTokens+1))
}

// Length returns the number of tokens of the answer with a limit of maxTokens, and the
// reason for its end.
func (s Source) Length(maxTokens int) (int, message.FinishReason) {
	natural := s.Natural()
	if natural <= maxTokens {
		return natural, message.FinishStop
	}
	return max(maxTokens, 0), message.FinishLength
}

// Token returns token i.
func (s Source) Token(i int) string {
	if i == 0 {
		return fmt.Sprintf(" r%0*x", hashDigits, s.hash)
	}
	return words[mix(s.hash+uint64(i))%uint64(len(words))]
}

// Text returns the tokens from, from+1, ... to-1.
func (s Source) Text(from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(s.Token(i))
	}
	return text.String()
}

// Text returns the complete answer to a prompt, its length in tokens and the reason for its
// end.
func Text(model, adapter, prompt string, maxTokens int) (string, int, message.FinishReason) {
	source := Of(model, adapter, prompt)
	tokens, finish := source.Length(maxTokens)
	return source.Text(0, tokens), tokens, finish
}

// DamageError describes how a text differs from the complete answer.
type DamageError struct {
	// Offset is the offset of the first byte that differs.
	Offset int
	Detail string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("answer: damaged at byte %d: %s", e.Offset, e.Detail)
}

// Check returns a *DamageError unless text is the complete answer to a prompt.
func Check(model, adapter, prompt string, maxTokens int, text string) error {
	want, _, _ := Text(model, adapter, prompt, maxTokens)
	return compare(want, text)
}

// CheckText returns a *DamageError unless text is the complete answer to some prompt. It uses
// the text alone, so that it can't detect the answer to another prompt.
func CheckText(text string, maxTokens int) error {
	const head = len(" r") + hashDigits
	if len(text) < head {
		return &DamageError{Offset: len(text), Detail: "shorter than its first token"}
	}
	hash, err := strconv.ParseUint(text[len(" r"):head], 16, 64)
	if err != nil {
		return &DamageError{Detail: "first token names no prompt"}
	}
	source := Source{hash: hash}
	tokens, _ := source.Length(maxTokens)
	return compare(source.Text(0, tokens), text)
}

// compare returns a *DamageError if got differs from want.
func compare(want, got string) error {
	if want == got {
		return nil
	}
	at := 0
	for at < len(want) && at < len(got) && want[at] == got[at] {
		at++
	}
	detail := "another text"
	switch at {
	case len(got):
		detail = fmt.Sprintf("broken off, %d bytes are missing", len(want)-at)
	case len(want):
		detail = fmt.Sprintf("%d bytes too many", len(got)-at)
	}
	return &DamageError{Offset: at, Detail: detail}
}

// mix spreads a number over all 64 bits with the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
