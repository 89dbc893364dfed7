package role

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// Guards against a retry with the same key that receives only the end of the
// answer, as it would if a second caller that attaches while the first one reads
// shared a queue with it. Each reader must get every chunk in order.
func TestAnswerLogReadersGetAllChunks(t *testing.T) {
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

func TestAnswerLogDropsChunksAfterTheEnd(t *testing.T) {
	is := is.New(t)
	a := newAnswerLog(entry.Request{})
	a.append(caller.Chunk{End: &caller.End{}})
	a.append(caller.Chunk{Text: "late"})
	chunks, _ := a.chunksFrom(0)
	is.Equal(len(chunks), 1)
}
