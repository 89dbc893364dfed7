package entry

import (
	"sort"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

// maxHeldParts bounds the parts that are held because an earlier one is
// missing.
const maxHeldParts = 64

// output is the output that was delivered to the caller.
type output struct {
	tokens int
	built  strings.Builder
	// marks are the token offsets at which parts ended, each with the number of
	// bytes up to it. They show which bytes of an overlapping part are new.
	marks []mark
	// held are the parts after a gap, in the order of their offsets.
	held []message.Part
}

type mark struct{ tokens, bytes int }

func (o *output) text() string { return o.built.String() }

// verdict is the relation of a part to the output so far.
type verdict string

const (
	partNext      verdict = "next"      // continues where the output ends
	partDuplicate verdict = "duplicate" // holds nothing new
	partAhead     verdict = "ahead"     // an earlier part is missing
	partBroken    verdict = "broken"    // does not fit what was delivered
)

// classify compares a part with the output so far, and trims a part that
// continues the output to what is new.
func (o *output) classify(m message.Part) (message.Part, verdict) {
	end := m.Offset + m.Tokens
	switch {
	case m.Offset > o.tokens:
		return m, partAhead
	case m.Offset == o.tokens:
		return m, partNext
	case end < o.tokens:
		return m, partDuplicate
	}
	skip, known := o.byteLength(m.Offset)
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

// byteLength returns the number of bytes of the first tokens of the output. It
// is known only at an offset where a part ended.
func (o *output) byteLength(tokens int) (int, bool) {
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

// hold keeps a part that comes after a gap; it returns false if too many are
// held.
func (o *output) hold(m message.Part) bool {
	if len(o.held) >= maxHeldParts {
		return false
	}
	i := sort.Search(len(o.held), func(i int) bool { return o.held[i].Offset >= m.Offset })
	o.held = append(o.held, message.Part{})
	copy(o.held[i+1:], o.held[i:])
	o.held[i] = m
	return true
}

// popHeld removes and returns the first held part if the output has reached its
// offset.
func (o *output) popHeld() (message.Part, bool) {
	if len(o.held) == 0 || o.held[0].Offset > o.tokens {
		return message.Part{}, false
	}
	m := o.held[0]
	o.held = o.held[1:]
	return m, true
}
