// Package routing decides, without any I/O, which version and which replica a
// request gets.
package routing

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the prompt blocks whose chained hashes name
// a cached prefix, in bytes of text.
const PrefixBlockBytes = 256

// MaxPrefixBlocks bounds how many blocks of a prompt are looked at.
const MaxPrefixBlocks = 64

// bytesPerToken is how many bytes of text make about one token.
const bytesPerToken = 4

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// PrefixHashes returns the chained hashes of a prompt's whole blocks, the
// shortest prefix first. A prompt shorter than one block has none.
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
