// Package prompt renders requests to prompt text and derives the chain of
// block hashes that identifies a prompt's prefixes.
package prompt

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// DefaultBlockBytes is the size of a prompt block: 64 tokens of 4 bytes.
	DefaultBlockBytes = 256
	// BytesPerToken is the average used to estimate token counts from text.
	BytesPerToken = 4
)

// AppendMessage renders the next message of a chat request. Chats with the same leading messages
// share a text prefix.
func AppendMessage(b *strings.Builder, role, content string) {
	b.WriteString(role)
	b.WriteByte('\n')
	b.WriteString(content)
	b.WriteByte('\n')
}

// BlockHashes returns the chained hashes of the complete blocks of text. Hash i
// depends on the scope and on all blocks up to i, so equal hashes mean equal prefixes
// in the same scope.
func BlockHashes(scope port.Scope, text string, blockBytes int) []port.BlockHash {
	if blockBytes <= 0 {
		blockBytes = DefaultBlockBytes
	}
	hashes := make([]port.BlockHash, 0, len(text)/blockBytes)
	previous := xxhash.Sum64String(scope.String())
	var seed [8]byte
	digest := xxhash.New()
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		binary.BigEndian.PutUint64(seed[:], previous)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(text[start : start+blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, port.BlockHash(previous))
	}
	return hashes
}

// EstimateTokens estimates the number of tokens in text.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
