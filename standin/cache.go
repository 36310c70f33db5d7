package standin

import (
	"container/list"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// block is one cached piece of a prompt, with what it truly belongs to.
type block struct {
	hash tables.BlockHash
	// owner is the organisation as the prompt itself tells it, and weights
	// the version that computed the block; both are for the records only.
	owner   string
	weights tables.WeightsVersion
	boot    tables.BootID
	pins    int
	touched time.Time
}

// cache holds pieces of prompts and evicts the least recently used ones. It is
// guarded by the lock of the life it belongs to.
type cache struct {
	capacity int
	// keep is how long an unused piece stays; zero means until its room is
	// needed.
	keep   time.Duration
	blocks map[tables.BlockHash]*list.Element
	// order has the most recently used block in front.
	order *list.List
}

func newCache(capacity int, keep time.Duration) *cache {
	return &cache{capacity: capacity, keep: keep, blocks: make(map[tables.BlockHash]*list.Element), order: list.New()}
}

func (c *cache) size() int { return c.order.Len() }

// match returns the longest run of cached blocks that the hashes begin with,
// and marks it as used.
func (c *cache) match(hashes []tables.BlockHash, now time.Time) []*block {
	var run []*block
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		run = append(run, element.Value.(*block))
	}
	for i := len(run) - 1; i >= 0; i-- {
		run[i].touched = now
		c.order.MoveToFront(c.blocks[run[i].hash])
	}
	return run
}

// insert adds a block and returns what had to go for it.
func (c *cache) insert(b *block, now time.Time) (evicted []tables.BlockHash, stored bool) {
	if element, ok := c.blocks[b.hash]; ok {
		element.Value.(*block).touched = now
		c.order.MoveToFront(element)
		return nil, false
	}
	for c.order.Len() >= c.capacity {
		hash, ok := c.evictOldest()
		if !ok {
			return evicted, false
		}
		evicted = append(evicted, hash)
	}
	b.touched = now
	c.blocks[b.hash] = c.order.PushFront(b)
	return evicted, true
}

func (c *cache) evictOldest() (tables.BlockHash, bool) {
	for element := c.order.Back(); element != nil; element = element.Prev() {
		b := element.Value.(*block)
		if b.pins > 0 {
			continue
		}
		c.order.Remove(element)
		delete(c.blocks, b.hash)
		return b.hash, true
	}
	return 0, false
}

// expire evicts what was not used for the time to keep.
func (c *cache) expire(now time.Time) (evicted []tables.BlockHash) {
	if c.keep <= 0 {
		return nil
	}
	for element := c.order.Back(); element != nil; {
		b := element.Value.(*block)
		before := element.Prev()
		if now.Sub(b.touched) < c.keep {
			break
		}
		if b.pins == 0 {
			c.order.Remove(element)
			delete(c.blocks, b.hash)
			evicted = append(evicted, b.hash)
		}
		element = before
	}
	return evicted
}
