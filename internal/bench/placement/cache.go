package placement

import (
	"container/list"

	"mimosaseam.example/mimosaseam/internal/port"
)

// blockCache is the bounded prefix cache of an engine. It evicts the least
// recently used blocks, and the end of a prompt before its start.
type blockCache struct {
	limit    int
	order    *list.List
	elements map[port.BlockHash]*list.Element
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), elements: map[port.BlockHash]*list.Element{}}
}

// match returns the number of leading blocks that are cached and marks them as
// used.
func (c *blockCache) match(blocks []port.BlockHash) int {
	n := 0
	for n < len(blocks) && c.elements[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

func (c *blockCache) touch(blocks []port.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.elements[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

// store caches the blocks and returns the new and the evicted ones.
func (c *blockCache) store(blocks []port.BlockHash) (stored, evicted []port.BlockHash) {
	for _, b := range blocks {
		if c.elements[b] == nil {
			c.elements[b] = c.order.PushFront(b)
			stored = append(stored, b)
		}
	}
	c.touch(blocks)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(port.BlockHash)
		delete(c.elements, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}
