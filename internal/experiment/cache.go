package experiment

import (
	"container/list"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// cache is an engine's prefix cache, which drops the block used least
// recently, with the numbers of its events.
type cache struct {
	bound    int
	recent   *list.List
	held     map[uint64]*list.Element
	sequence uint64
}

func newCache(tokens int, incarnation uint64) *cache {
	return &cache{
		bound:    tokens / prefix.BlockTokens,
		recent:   list.New(),
		held:     map[uint64]*list.Element{},
		sequence: incarnation << 32,
	}
}

// cached is how many leading tokens of a prompt are held.
func (c *cache) cached(a *arrival) int {
	blocks := 0
	for c.held[a.block(blocks+1)] != nil && (blocks+1)*prefix.BlockTokens <= a.prompt {
		blocks++
	}
	return blocks * prefix.BlockTokens
}

// store holds the blocks of a prompt and returns the events of it.
func (c *cache) store(a *arrival) []engine.CacheEvent {
	var events []engine.CacheEvent
	for n := a.prompt / prefix.BlockTokens; n > 0; n-- {
		block := a.block(n)
		if element := c.held[block]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		c.held[block] = c.recent.PushFront(block)
		events = append(events, c.event(engine.BlockStored, block))
	}
	for c.recent.Len() > c.bound {
		block := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.held, block)
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
	for element := c.recent.Front(); element != nil; element = element.Next() {
		index.Blocks = append(index.Blocks, element.Value.(uint64))
	}
	return index
}
