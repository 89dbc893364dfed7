package caller

import (
	"unicode/utf8"
)

// textCut gives out a text that comes in runs, without its first bytes and
// never in the middle of a character: tokens may end inside one, and JSON
// would carry the half as a replacement mark that the caller cannot undo.
type textCut struct {
	// skip is how many bytes are still to be left out.
	skip int
	// position is how many bytes of the whole text are given or left out.
	position int
	// inside is true from the first byte left out to the first one given: only
	// then can skip end inside a character.
	inside bool
	held   string
}

// take returns what can be given out after another run; all of it if the run
// is the last. It reports false if skip ends inside a character or behind the
// last run.
func (t *textCut) take(run string, last bool) (string, bool) {
	text := t.held + run
	t.held = ""
	left := min(t.skip, len(text))
	t.skip -= left
	t.position += left
	text = text[left:]
	t.inside = t.inside || left > 0
	if t.inside && text != "" && !utf8.RuneStart(text[0]) {
		return "", false
	}
	t.inside = t.inside && text == ""
	if last {
		t.position += len(text)
		return text, t.skip == 0
	}
	whole := wholeRunes(text)
	t.held = text[whole:]
	t.position += whole
	return text[:whole], true
}

// wholeRunes returns the length of a text without an unfinished last character.
func wholeRunes(text string) int {
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
