package engine

import (
	"container/list"

	"mimosaseam.example/mimosaseam/internal/port"
)

type cachedBlock struct {
	hash  port.BlockHash
	scope string
}

// blockCache is a bounded LRU set of blocks. Block hashes are seeded with the
// scope, so a block is never found from another scope.
type blockCache struct {
	capacity int
	order    *list.List
	blocks   map[port.BlockHash]*list.Element
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), blocks: make(map[port.BlockHash]*list.Element)}
}

func (c *blockCache) len() int { return len(c.blocks) }

func (c *blockCache) has(h port.BlockHash) bool {
	_, ok := c.blocks[h]
	return ok
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *blockCache) match(chain []port.BlockHash) int {
	n := 0
	for n < len(chain) && c.has(chain[n]) {
		n++
	}
	c.touch(chain[:n])
	return n
}

// touch marks the blocks as used, the last one first, so that a chain is evicted
// from its end.
func (c *blockCache) touch(chain []port.BlockHash) {
	for i := len(chain) - 1; i >= 0; i-- {
		if e, ok := c.blocks[chain[i]]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// insert adds the blocks of a chain and returns the newly stored and the evicted
// blocks. Blocks of the chain beyond the capacity are not stored.
func (c *blockCache) insert(scope string, chain []port.BlockHash) (stored []port.BlockHash, evicted []cachedBlock) {
	if len(chain) > c.capacity {
		chain = chain[:c.capacity]
	}
	for _, h := range chain {
		if !c.has(h) {
			c.blocks[h] = c.order.PushFront(cachedBlock{hash: h, scope: scope})
			stored = append(stored, h)
		}
	}
	c.touch(chain)
	for len(c.blocks) > c.capacity {
		evicted = append(evicted, c.evictOldest())
	}
	return stored, evicted
}

func (c *blockCache) evictOldest() cachedBlock {
	block := c.order.Remove(c.order.Back()).(cachedBlock)
	delete(c.blocks, block.hash)
	return block
}

// clear empties the cache and returns the removed blocks.
func (c *blockCache) clear() []cachedBlock {
	all := make([]cachedBlock, 0, len(c.blocks))
	for len(c.blocks) > 0 {
		all = append(all, c.evictOldest())
	}
	return all
}
