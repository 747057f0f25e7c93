package placement

import (
	"container/list"

	"mimosaseam.example/mimosaseam/internal/port"
)

// blockCache is the bounded prefix cache of an engine: least recently used
// blocks go first, and the end of a prompt goes before its start.
type blockCache struct {
	limit int
	order *list.List
	at    map[port.BlockHash]*list.Element
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), at: map[port.BlockHash]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and touches them.
func (c *blockCache) match(blocks []port.BlockHash) int {
	n := 0
	for n < len(blocks) && c.at[blocks[n]] != nil {
		n++
	}
	c.touch(blocks[:n])
	return n
}

func (c *blockCache) touch(blocks []port.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.at[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

// store caches the blocks and returns which are new and which had to go.
func (c *blockCache) store(blocks []port.BlockHash) (stored, evicted []port.BlockHash) {
	for _, b := range blocks {
		if c.at[b] == nil {
			c.at[b] = c.order.PushFront(b)
			stored = append(stored, b)
		}
	}
	c.touch(blocks)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(port.BlockHash)
		delete(c.at, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}
