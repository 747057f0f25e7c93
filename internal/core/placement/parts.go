package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

// PartBlockTokens is the block size, in tokens, of a prompt that is described by
// its parts. It is a multiple of the engines' KV cache block of 16 tokens, and long
// prompts have only a few hundred such blocks.
const PartBlockTokens = 64

// maxPartBlocks bounds the blocks of one prompt. Placement ignores what lies behind them.
const maxPartBlocks = 1 << 16

// PartBlocks converts a prompt's sequence of parts to the block hashes used for
// placement. Equal parts after equal parts yield equal blocks; the last block of a
// part may be shorter. A part is a port.Segment of the prompt; in this package, a
// segment is a node of the radix tree.
func PartBlocks(scope port.Scope, parts []port.Segment) []port.BlockHash {
	at := xxhash.Sum64String(scope.String())
	var blocks []port.BlockHash
	var buffer [24]byte
	for _, part := range parts {
		id := xxhash.Sum64String(part.ID)
		for n := 0; n < (part.Tokens+PartBlockTokens/2)/PartBlockTokens; n++ {
			if len(blocks) == maxPartBlocks {
				return blocks
			}
			binary.LittleEndian.PutUint64(buffer[0:], at)
			binary.LittleEndian.PutUint64(buffer[8:], id)
			binary.LittleEndian.PutUint64(buffer[16:], uint64(n))
			at = xxhash.Sum64(buffer[:])
			blocks = append(blocks, port.BlockHash(at))
		}
	}
	return blocks
}
