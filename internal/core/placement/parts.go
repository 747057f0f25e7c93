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
// part may be shorter. Blocks behind the limit, which is that of CountPartBlocks, are left out.
// A part is a port.Segment of the prompt; in this package, a segment is a node of the radix tree.
func PartBlocks(scope port.Scope, parts []port.Segment, limit int) []port.BlockHash {
	at := xxhash.Sum64String(scope.String())
	blocks := make([]port.BlockHash, 0, CountPartBlocks(parts, limit))
	var buffer [24]byte
	for _, part := range parts {
		id := xxhash.Sum64String(part.ID)
		for n := range partBlocks(part) {
			if len(blocks) == cap(blocks) {
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

// CountPartBlocks returns the number of blocks of a prompt, at most the limit; 0: as many as
// placement looks at.
func CountPartBlocks(parts []port.Segment, limit int) int {
	if limit <= 0 || limit > maxPartBlocks {
		limit = maxPartBlocks
	}
	sum := 0
	for _, part := range parts {
		sum = min(sum+partBlocks(part), limit)
	}
	return sum
}

func partBlocks(part port.Segment) int { return (part.Tokens + PartBlockTokens/2) / PartBlockTokens }
