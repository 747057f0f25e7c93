package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	letters = "abcdefghijklmnopqrstuvwxyzABCDEF"
	// escapeEvery makes about one chunk in this many contain characters that
	// JSON escapes, and one non-ASCII characters, to exercise a relay's decoding.
	escapeEvery = 64
)

// Text generates the chunks of one response.
type Text struct{ seed uint64 }

// NewText returns the generator for a prompt and a weights version.
func NewText(prompt, weightsVersion string) Text {
	digest := xxhash.New()
	_, _ = digest.WriteString(weightsVersion)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return Text{seed: digest.Sum64()}
}

// Append appends the text of the chunk with this index.
func (t Text) Append(dst []byte, index int) []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	h := xxhash.Sum64(b[:])
	switch h >> 32 % escapeEvery {
	case 0:
		return append(dst, "\"\n\\<"...)
	case 1:
		return append(dst, "ö…"...)
	}
	return append(dst, letters[h&31], letters[h>>5&31], letters[h>>10&31], ' ')
}

// ChunkText returns the text of one chunk of the response to the prompt, which is
// the same on every engine with these weights.
func ChunkText(prompt, weightsVersion string, index int) string {
	return string(NewText(prompt, weightsVersion).Append(nil, index))
}

// ResponseText returns the text of the chunks in the half-open range [from, to).
func ResponseText(prompt, weightsVersion string, from, to int) string {
	text := NewText(prompt, weightsVersion)
	var out strings.Builder
	var buffer []byte
	for i := from; i < to; i++ {
		buffer = text.Append(buffer[:0], i)
		out.Write(buffer)
	}
	return out.String()
}
