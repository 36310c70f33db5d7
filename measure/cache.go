package measure

import "github.com/carawaystile/carawaystile/tables"

// cache is an engine's store of prompt blocks. It evicts the least recently
// used block, or, for the oracle, the one whose next use is farthest away.
type cache struct {
	capacity int
	blocks   map[tables.BlockHash]*cached
	// head and tail are the least and the most recently used.
	head, tail *cached
	// nextUse tells the future; nil but for the oracle.
	nextUse func(tables.BlockHash) tables.Instant
	evicted []tables.BlockHash
	stored  []tables.BlockHash
}

type cached struct {
	hash       tables.BlockHash
	prev, next *cached
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[tables.BlockHash]*cached, capacity)}
}

func (c *cache) has(hash tables.BlockHash) bool { return c.blocks[hash] != nil }

// prefix is how many outermost blocks are held.
func (c *cache) prefix(blocks []tables.BlockHash) int {
	for i, hash := range blocks {
		if !c.has(hash) {
			return i
		}
	}
	return len(blocks)
}

func (c *cache) unlink(e *cached) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.tail = e.prev
	}
	e.prev, e.next = nil, nil
}

func (c *cache) append(e *cached) {
	e.prev = c.tail
	if c.tail != nil {
		c.tail.next = e
	} else {
		c.head = e
	}
	c.tail = e
}

// touch marks the blocks as used, the outermost last, so that the parts of a
// prefix are evicted from its end.
func (c *cache) touch(blocks []tables.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.blocks[blocks[i]]; e != nil {
			c.unlink(e)
			c.append(e)
		}
	}
}

func (c *cache) store(hash tables.BlockHash) {
	if c.has(hash) {
		return
	}
	for len(c.blocks) >= c.capacity {
		c.evict()
	}
	e := &cached{hash: hash}
	c.blocks[hash] = e
	c.append(e)
	c.stored = append(c.stored, hash)
}

func (c *cache) evict() {
	victim := c.head
	if c.nextUse != nil {
		victim = c.farthest()
	}
	c.unlink(victim)
	delete(c.blocks, victim.hash)
	c.evicted = append(c.evicted, victim.hash)
}

// farthest is the block that is needed again last.
func (c *cache) farthest() *cached {
	var victim *cached
	var worst tables.Instant = -1
	for e := c.head; e != nil; e = e.next {
		if use := c.nextUse(e.hash); use > worst {
			victim, worst = e, use
		}
	}
	return victim
}
