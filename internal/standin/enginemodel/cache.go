package enginemodel

import (
	"container/list"

	"sycamoretrail/internal/core/request"
)

// prefixCache keeps block hashes, least recently used dropped first.
type prefixCache struct {
	limit  int // blocks
	recent *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		limit:  tokens / request.PrefixBlockTokens,
		recent: list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

// match counts the leading blocks that are cached and marks them as used. The
// shortest prefix is marked last, so that a prefix outlives what builds on it.
func (c *prefixCache) match(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[prefixes[i]])
	}
	return n
}

// add keeps a block; it returns whether it was new, and the block that had to go.
func (c *prefixCache) add(hash uint64) (added bool, dropped uint64, evicted bool) {
	if c.limit == 0 {
		return false, 0, false
	}
	if element := c.blocks[hash]; element != nil {
		c.recent.MoveToFront(element)
		return false, 0, false
	}
	if c.recent.Len() >= c.limit {
		oldest := c.recent.Back()
		dropped = c.recent.Remove(oldest).(uint64)
		delete(c.blocks, dropped)
		evicted = true
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	return true, dropped, evicted
}
