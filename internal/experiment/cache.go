package experiment

import (
	"container/list"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// cache models the prefix cache of an engine, with LRU eviction, and numbers the
// events that it publishes.
type cache struct {
	// capacity is the size in blocks.
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
}

func newCache(tokens int, incarnation uint64) *cache {
	return &cache{
		capacity: tokens / prefix.BlockTokens,
		lru:      list.New(),
		blocks:   map[uint64]*list.Element{},
		sequence: incarnation << 32,
	}
}

// cachedTokens returns the number of leading tokens of a prompt that are in the cache.
func (c *cache) cachedTokens(a *arrival) int {
	blocks := 0
	for c.blocks[a.block(blocks+1)] != nil && (blocks+1)*prefix.BlockTokens <= a.promptTokens {
		blocks++
	}
	return blocks * prefix.BlockTokens
}

// store adds the blocks of a prompt, evicts the blocks beyond the capacity, and
// returns the events of both.
func (c *cache) store(a *arrival) []engine.CacheEvent {
	var events []engine.CacheEvent
	for n := a.promptTokens / prefix.BlockTokens; n > 0; n-- {
		block := a.block(n)
		if element := c.blocks[block]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		events = append(events, c.event(engine.BlockStored, block))
	}
	for c.lru.Len() > c.capacity {
		block := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, block)
		events = append(events, c.event(engine.BlockEvicted, block))
	}
	return events
}

func (c *cache) event(change engine.CacheChange, block uint64) engine.CacheEvent {
	c.sequence++
	return engine.CacheEvent{Sequence: c.sequence, Change: change, Block: block}
}

func (c *cache) index() engine.CacheIndex {
	index := engine.CacheIndex{Sequence: c.sequence}
	for element := c.lru.Front(); element != nil; element = element.Next() {
		index.Blocks = append(index.Blocks, element.Value.(uint64))
	}
	return index
}
