// Package routing chooses the model version and the replica for a request. It
// does no I/O.
package routing

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size in bytes of the prompt blocks whose chained
// hashes identify a cached prefix.
const PrefixBlockBytes = 256

// MaxPrefixBlocks bounds the number of blocks of a prompt that are hashed.
const MaxPrefixBlocks = 64

// bytesPerToken is the approximate number of bytes of text per token.
const bytesPerToken = 4

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes returns the chained hashes of the complete blocks of a prompt,
// the shortest prefix first. A prompt shorter than one block has none.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
