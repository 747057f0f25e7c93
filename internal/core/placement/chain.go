package placement

import (
	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

// chain derives the keys of a request's blocks. Keys include the scope, so that
// equal block hashes of different scopes don't collide.
type chain struct {
	seed   uint64
	blocks []port.BlockHash
}

func newChain(scope string, blocks []port.BlockHash) chain {
	return chain{seed: xxhash.Sum64String(scope), blocks: blocks}
}

func (c chain) len() int { return len(c.blocks) }

func (c chain) key(i int) uint64 { return uint64(c.blocks[i]) ^ c.seed }

// mix64 is the splitmix64 finalizer: every input bit changes every output bit
// with probability one half.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous is the rendezvous hashing weight of a target for a home key; the
// highest weight comes first. It depends on nothing else, so all routers compute
// the same order.
func rendezvous(home, nameHash uint64) uint64 { return mix64(home ^ mix64(nameHash)) }
