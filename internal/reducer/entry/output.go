package entry

import (
	"sort"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

// maxHeldParts bounds the parts that are held because an earlier one is
// missing.
const maxHeldParts = 64

// output is what the caller was given so far.
type output struct {
	tokens int
	built  strings.Builder
	// marks are the token offsets at which parts ended, with the bytes up to
	// there: they tell which bytes of an overlapping part are new.
	marks []mark
	// held are parts behind a gap, in the order of their offsets.
	held []message.Part
}

type mark struct{ tokens, bytes int }

func (o *output) text() string { return o.built.String() }

// verdict says what a part is to the output.
type verdict string

const (
	partNext      verdict = "next"      // goes on where the output ends
	partDuplicate verdict = "duplicate" // holds nothing new
	partAhead     verdict = "ahead"     // an earlier part is missing
	partBroken    verdict = "broken"    // does not fit what was delivered
)

// fit trims a part to what is new and says what it is.
func (o *output) fit(m message.Part) (message.Part, verdict) {
	end := m.Offset + m.Tokens
	switch {
	case m.Offset > o.tokens:
		return m, partAhead
	case m.Offset == o.tokens:
		return m, partNext
	case end < o.tokens:
		return m, partDuplicate
	}
	skip, known := o.bytesBehind(m.Offset)
	if !known || !strings.HasPrefix(m.Text, o.text()[skip:]) {
		return m, partBroken
	}
	if end == o.tokens && m.Finish == "" {
		return m, partDuplicate
	}
	m.Text = m.Text[len(o.text())-skip:]
	m.Offset, m.Tokens = o.tokens, end-o.tokens
	return m, partNext
}

// bytesBehind is how many bytes the first tokens of the output have; it is
// known where a part ended.
func (o *output) bytesBehind(tokens int) (int, bool) {
	if tokens == 0 {
		return 0, true
	}
	i := sort.Search(len(o.marks), func(i int) bool { return o.marks[i].tokens >= tokens })
	if i == len(o.marks) || o.marks[i].tokens != tokens {
		return 0, false
	}
	return o.marks[i].bytes, true
}

func (o *output) add(m message.Part) {
	o.tokens += m.Tokens
	o.built.WriteString(m.Text)
	if m.Tokens > 0 {
		o.marks = append(o.marks, mark{tokens: o.tokens, bytes: o.built.Len()})
	}
}

// keep holds a part behind a gap; it reports false if there are too many.
func (o *output) keep(m message.Part) bool {
	if len(o.held) >= maxHeldParts {
		return false
	}
	i := sort.Search(len(o.held), func(i int) bool { return o.held[i].Offset >= m.Offset })
	o.held = append(o.held, message.Part{})
	copy(o.held[i+1:], o.held[i:])
	o.held[i] = m
	return true
}

// nextHeld takes a held part that the output has reached.
func (o *output) nextHeld() (message.Part, bool) {
	if len(o.held) == 0 || o.held[0].Offset > o.tokens {
		return message.Part{}, false
	}
	m := o.held[0]
	o.held = o.held[1:]
	return m, true
}
