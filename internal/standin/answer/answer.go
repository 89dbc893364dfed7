// Package answer gives the output that the stand-in engines generate. It is
// worked out from the prompt alone, so that a whole answer can be told from a
// damaged, foreign or broken-off one, wherever its parts were generated.
//
// Token 0 names the prompt by its hash, and token i is a word chosen by the
// hash and i. Every token begins with a space and is one token of package
// prefix, so that tokens of a text can be counted.
package answer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Bounds of the natural length of an answer, in tokens.
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

// Of returns the source of a prompt's answer. The version of the model does
// not matter, since a caller that names none can't know it.
func Of(model, adapter, prompt string) Source {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{model, adapter, prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Source{hash: digest.Sum64() & hashMask}
}

// Natural returns how many tokens the answer has if nothing bounds it.
func (s Source) Natural() int {
	return minTokens + int(mix(s.hash)%(maxTokens-minTokens+1))
}

// Length returns how many tokens an answer bounded by maxTokens has, and why
// it ends there.
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

// Text returns the whole answer of a prompt, its length and why it ends.
func Text(model, adapter, prompt string, maxTokens int) (string, int, message.FinishReason) {
	source := Of(model, adapter, prompt)
	tokens, finish := source.Length(maxTokens)
	return source.Text(0, tokens), tokens, finish
}

// DamageError tells how a text differs from the whole answer.
type DamageError struct {
	// Offset is the first byte that differs.
	Offset int
	Detail string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("answer: damaged at byte %d: %s", e.Offset, e.Detail)
}

// Check reports whether text is the whole answer of a prompt. The error is a
// *DamageError.
func Check(model, adapter, prompt string, maxTokens int, text string) error {
	whole, _, _ := Text(model, adapter, prompt, maxTokens)
	return compare(whole, text)
}

// CheckText reports whether text is the whole answer of some prompt, from the
// text alone. It can't tell whose answer it is.
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

func compare(whole, text string) error {
	if whole == text {
		return nil
	}
	at := 0
	for at < len(whole) && at < len(text) && whole[at] == text[at] {
		at++
	}
	detail := "another text"
	switch at {
	case len(text):
		detail = fmt.Sprintf("broken off, %d bytes are missing", len(whole)-at)
	case len(whole):
		detail = fmt.Sprintf("%d bytes too many", len(text)-at)
	}
	return &DamageError{Offset: at, Detail: detail}
}

// mix spreads a number over all 64 bits (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
