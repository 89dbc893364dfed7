package caller

import (
	"unicode/utf8"
)

// textAligner splits a text that arrives in runs at character boundaries and leaves
// out its first bytes. A token may end inside a character, and JSON would replace
// the incomplete character by a replacement character, which the caller can't
// reverse.
type textAligner struct {
	// skip is the number of bytes that are still to be left out.
	skip int
	// position is the number of bytes of the text that were returned or left out.
	position int
	// afterSkip is true from the first byte that is left out to the first byte that
	// is returned. Only then can skip end inside a character.
	afterSkip bool
	// incomplete is the part of a character at the end of the last run.
	incomplete string
}

// add adds a run and returns the complete characters that can be sent now, or all
// of the text if the run is the last one. It reports false if skip ends inside a
// character or after the last run.
func (t *textAligner) add(run string, last bool) (string, bool) {
	text := t.incomplete + run
	t.incomplete = ""
	skipped := min(t.skip, len(text))
	t.skip -= skipped
	t.position += skipped
	text = text[skipped:]
	t.afterSkip = t.afterSkip || skipped > 0
	if t.afterSkip && text != "" && !utf8.RuneStart(text[0]) {
		return "", false
	}
	t.afterSkip = t.afterSkip && text == ""
	if last {
		t.position += len(text)
		return text, t.skip == 0
	}
	complete := completeRunes(text)
	t.incomplete = text[complete:]
	t.position += complete
	return text[:complete], true
}

// completeRunes returns the length of a text without an incomplete last character.
func completeRunes(text string) int {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
		if !utf8.RuneStart(text[start]) {
			continue
		}
		if utf8.FullRuneInString(text[start:]) {
			return len(text)
		}
		return start
	}
	return len(text)
}
