package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCountTokens(t *testing.T) {
	for _, row := range []struct {
		text string
		want int
	}{
		{"", 0},
		{" \n\t ", 0},
		{"Cirebon", 1},
		{"  Cirebon to  Bandung\n", 3},
		{strings.Repeat("x", 16), 1},
		{strings.Repeat("x", 17), 2},
	} {
		is := is.New(t)
		is.Equal(CountTokens(row.text), row.want) // tokens of the row's text
	}
}

func TestHashesMatchBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := strings.Join(rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,20}`), 0, 200).Draw(t, "words"), " ")
		blocks := Blocks("planner-lm", prompt, 4)
		if len(blocks) != CountTokens(prompt)/4 {
			t.Fatalf("got %d blocks for %d tokens", len(blocks), CountTokens(prompt))
		}
		for i, hash := range Hashes("planner-lm", prompt, 4, 20) {
			block := blocks[1<<i-1]
			if block.Hash != hash || block.Tokens != Tokens(4, i) {
				t.Fatalf("hash %d is %x, want that of block %+v", i, hash, block)
			}
		}
	})
}

func TestHashesShareOnlyTheCommonPrefix(t *testing.T) {
	is := is.New(t)
	head := strings.Repeat("truck ", 8)
	a := Hashes("m", head+"north road open to all", 4, 9)
	b := Hashes("m", head+"south road shut by mud", 4, 9)
	is.Equal(len(a), 2) // 13 tokens: blocks of 4 and 8
	is.Equal(a, b)      // both are within the common prefix
	is.True(Blocks("m", head+"a b c d", 4)[2] != Blocks("m", head+"a b c e", 4)[2])
	is.True(Hashes("other", head, 4, 9)[0] != a[0])         // another model has other hashes
	is.Equal(len(Hashes("m", head, 4, 1)), 1)               // bounded by maxHashes
	is.Equal(Hashes("m", "too short", 4, 9), []uint64(nil)) // no complete block
}

func BenchmarkHashes(b *testing.B) {
	prompt := strings.Repeat("truck with medicine ", 3000)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		Hashes("planner-lm", prompt, BlockTokens, MaxHashes)
	}
}
