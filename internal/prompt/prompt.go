// Package prompt measures a prompt the same way wherever it is measured: at the
// edge that schedules it, in the engines' stand-in and in the traces.
package prompt

import (
	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/request"
)

// BytesPerToken is the rough size of a token in UTF-8 text.
const BytesPerToken = 4

// Describe estimates the tokens of a prompt and forms the cumulative hashes of
// its leading blocks of request.PrefixBlockTokens tokens; an incomplete last
// block has no hash.
func Describe(text string) (tokens int, prefixes []uint64) {
	tokens = (len(text) + BytesPerToken - 1) / BytesPerToken
	const block = request.PrefixBlockTokens * BytesPerToken
	count := len(text) / block
	if count == 0 {
		return tokens, nil
	}
	prefixes = make([]uint64, 0, count)
	var digest xxhash.Digest
	digest.Reset()
	for end := block; end <= len(text); end += block {
		_, _ = digest.WriteString(text[end-block : end])
		prefixes = append(prefixes, digest.Sum64())
	}
	return tokens, prefixes
}
