// Package prefix hashes the leading blocks of a prompt, in the way on which
// entries, gates and engines agree, so that a gate can tell how much of a
// prompt its engine holds without seeing the prompt.
//
// Block n of a prompt covers its first n*blockTokens tokens; only whole blocks
// have a hash. Engines store and report every block. Entries send the hashes
// of the blocks 1, 2, 4, 8, ... only: hash i of Hashes covers the first
// blockTokens<<i tokens, so that a dozen hashes reach tens of thousands of
// tokens, and a match tells the cached length to within a factor of two.
package prefix

import (
	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the block length, in tokens, on which the processes agree
// unless an engine's Info says otherwise.
const BlockTokens = 64

// MaxHashes is how many hashes an entry sends; the last covers 65,536 tokens.
const MaxHashes = 11

// Block is one leading block of a prompt.
type Block struct {
	// Tokens is how many leading tokens of the prompt the block covers.
	Tokens int
	// Hash is the hash of the model's name and those tokens.
	Hash uint64
}

// Tokens returns how many leading tokens hash i of Hashes covers.
func Tokens(blockTokens, i int) int {
	return blockTokens << i
}

// Hashes returns at most maxHashes hashes of a prompt, longest last. Hash i
// covers the first blockTokens<<i tokens. A prompt shorter than one block has
// none.
func Hashes(model, prompt string, blockTokens, maxHashes int) []uint64 {
	var hashes []uint64
	next := 1
	walk(model, prompt, blockTokens, func(number int, hash uint64) bool {
		if number == next {
			hashes = append(hashes, hash)
			next *= 2
		}
		return len(hashes) < maxHashes
	})
	return hashes
}

// Blocks returns every whole leading block of a prompt, longest last.
func Blocks(model, prompt string, blockTokens int) []Block {
	var blocks []Block
	walk(model, prompt, blockTokens, func(number int, hash uint64) bool {
		blocks = append(blocks, Block{Tokens: number * blockTokens, Hash: hash})
		return true
	})
	return blocks
}

// walk calls visit for each whole block, numbered from 1, until it returns
// false.
func walk(model, prompt string, blockTokens int, visit func(number int, hash uint64) bool) {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	tokens, start := 0, 0
	eachToken(prompt, func(end int) bool {
		tokens++
		if tokens%blockTokens != 0 {
			return true
		}
		_, _ = digest.WriteString(prompt[start:end])
		start = end
		return visit(tokens/blockTokens, digest.Sum64())
	})
}
