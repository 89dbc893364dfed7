// Package prefix hashes the leading blocks of a prompt. Entries, gates and engines
// compute the same hashes, so that a gate can determine how much of a prompt its
// engine has cached without the prompt itself.
//
// Block n of a prompt covers its first n*blockTokens tokens. Only complete blocks
// have a hash. Engines store and report every block. Entries send only the hashes
// of the blocks 1, 2, 4, 8, ...: hash i of Hashes covers the first blockTokens<<i
// tokens, so that a dozen hashes cover tens of thousands of tokens, and a match
// determines the cached length to within a factor of two.
package prefix

import (
	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the block length that all processes use, in tokens, unless an
// engine's Info specifies another one.
const BlockTokens = 64

// MaxHashes is the maximum number of hashes that an entry sends. The last one covers
// 65,536 tokens.
const MaxHashes = 11

// Block is one leading block of a prompt.
type Block struct {
	// Tokens is the number of leading tokens of the prompt that the block covers.
	Tokens int
	// Hash is the hash of the model's name and of these tokens.
	Hash uint64
}

// Tokens returns the number of leading tokens that hash i of Hashes covers.
func Tokens(blockTokens, i int) int {
	return blockTokens << i
}

// Hashes returns at most maxHashes hashes of a prompt, the longest block last. Hash
// i covers the first blockTokens<<i tokens. A prompt shorter than one block has no
// hashes.
func Hashes(model, prompt string, blockTokens, maxHashes int) []uint64 {
	var hashes []uint64
	next := 1
	walkBlocks(model, prompt, blockTokens, func(number int, hash uint64) bool {
		if number == next {
			hashes = append(hashes, hash)
			next *= 2
		}
		return len(hashes) < maxHashes
	})
	return hashes
}

// Blocks returns every complete leading block of a prompt, the longest last.
func Blocks(model, prompt string, blockTokens int) []Block {
	var blocks []Block
	walkBlocks(model, prompt, blockTokens, func(number int, hash uint64) bool {
		blocks = append(blocks, Block{Tokens: number * blockTokens, Hash: hash})
		return true
	})
	return blocks
}

// walkBlocks calls visit for each complete block, numbered from 1, until visit
// returns false.
func walkBlocks(model, prompt string, blockTokens int, visit func(number int, hash uint64) bool) {
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
