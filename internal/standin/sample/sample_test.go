package sample

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/prefix"
)

func TestFilesMatchGenerator(t *testing.T) {
	for name, body := range Files() {
		is := is.New(t)
		want, err := Encode(body)
		is.NoErr(err)
		got, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "requests", name))
		is.NoErr(err)
		is.Equal(string(got), string(want)) // go run ./internal/tools/samples
		if completion, ok := body.(Completion); ok {
			tokens := prefix.CountTokens(completion.Prompt)
			is.True(tokens > 7000 && tokens < 14000) // thousands of tokens
		}
	}
}

func TestSeedDeterminesText(t *testing.T) {
	is := is.New(t)
	is.Equal(Brief(7, 5), Brief(7, 5))
	is.True(Brief(7, 5) != Brief(8, 5))
	is.True(TabHistory(7, 5) != TabHistory(8, 5))
	is.True(Ping(7) != Ping(8))
	is.True(Tip(7) != Tip(8))
}
