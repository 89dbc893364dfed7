package role

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// Symptom: a retry with the same key got the answer from the middle on.
// Sequence: first caller reads; a second attaches while output comes; both
// must see every chunk in order.
// Cause guarded against: one queue shared by two readers.
func TestAnswerLogGivesEachReaderAll(t *testing.T) {
	is := is.New(t)
	a := newAnswerLog(entry.Request{})
	a.append(caller.Chunk{Text: "one", Tokens: 1})
	first, _ := a.chunksFrom(0)
	is.Equal(len(first), 1)
	a.append(caller.Chunk{Text: "two", Tokens: 1, Offset: 1})
	a.append(caller.Chunk{End: &caller.End{Tokens: 2}})
	rest, _ := a.chunksFrom(1)
	is.Equal(rest[0].Text, "two")
	is.True(rest[1].Last())
	late, _ := a.chunksFrom(0)
	is.Equal(len(late), 3)
}

func TestAnswerLogTakesNothingBehindTheEnd(t *testing.T) {
	is := is.New(t)
	a := newAnswerLog(entry.Request{})
	a.append(caller.Chunk{End: &caller.End{}})
	a.append(caller.Chunk{Text: "late"})
	chunks, _ := a.chunksFrom(0)
	is.Equal(len(chunks), 1)
}
