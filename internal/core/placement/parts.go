package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

// PartBlockTokens is the number of tokens of one block of a prompt that is known
// by its parts only. It is a multiple of the 16 tokens in which engines manage
// their memory, and keeps long prompts at a few hundred blocks.
const PartBlockTokens = 64

// PartBlocks turns a prompt's chain of parts into the chain of blocks that the
// placement works with. Equal parts behind equal parts give equal blocks; the
// last block of a part may be a short one.
func PartBlocks(scope port.Scope, parts []port.Segment) []port.BlockHash {
	at := xxhash.Sum64String(scope.String())
	var blocks []port.BlockHash
	var buffer [24]byte
	for _, part := range parts {
		id := xxhash.Sum64String(part.ID)
		for n := 0; n < (part.Tokens+PartBlockTokens/2)/PartBlockTokens; n++ {
			binary.LittleEndian.PutUint64(buffer[0:], at)
			binary.LittleEndian.PutUint64(buffer[8:], id)
			binary.LittleEndian.PutUint64(buffer[16:], uint64(n))
			at = xxhash.Sum64(buffer[:])
			blocks = append(blocks, port.BlockHash(at))
		}
	}
	return blocks
}
