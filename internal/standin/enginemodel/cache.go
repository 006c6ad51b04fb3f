package enginemodel

import (
	"container/list"

	"sycamoretrail/internal/core/request"
)

// prefixCache is an LRU cache of block hashes.
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

// match returns the number of leading blocks that are cached and marks them as
// used. The shortest prefix is marked last, so that a prefix is evicted after
// the longer prefixes that extend it.
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

// add caches a block. It reports whether the block was new, and which block was
// evicted to make space for it, if any.
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
