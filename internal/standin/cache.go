package standin

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

const (
	// maxLoggedEvents bounds the number of logged cache events.
	maxLoggedEvents = 8192
	// maxEventsPerRead bounds the number of events in one response.
	maxEventsPerRead = 1024
	// incarnationShift places the incarnation in the high bits of the sequence
	// numbers, so that a restart causes a gap and never repeats a number.
	incarnationShift = 32
)

// prefixCache is a bounded prefix cache that evicts the least recently used block, with
// the log of its changes.
type prefixCache struct {
	maxBlocks int
	recent    *list.List // of uint64, most recent first
	blocks    map[uint64]*list.Element
	sequence  uint64
	log       []loggedEvent
	delay     time.Duration
	loss      float64
	dropNext  int
	random    *rand.Rand
}

// loggedEvent is a cache event with its time.
type loggedEvent struct {
	engine.CacheEvent
	loggedAt time.Time
}

func newCache(c EngineConfig, incarnation uint64) *prefixCache {
	return &prefixCache{
		maxBlocks: c.CacheTokens / c.BlockTokens,
		recent:    list.New(),
		blocks:    make(map[uint64]*list.Element),
		sequence:  incarnation << incarnationShift,
		delay:     c.EventDelay,
		loss:      c.EventLoss,
		random:    rand.New(rand.NewPCG(c.Seed, incarnation)),
	}
}

// cachedTokens returns the number of leading tokens that are cached.
func (c *prefixCache) cachedTokens(blocks []prefix.Block) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.blocks[b.Hash]; !ok {
			break
		}
		tokens = b.Tokens
	}
	return tokens
}

// store adds the blocks of a prompt to the cache and marks them as used. It proceeds from
// the longest block to the shortest, so that a prefix is never evicted before the longer
// blocks that contain it.
func (c *prefixCache) store(blocks []prefix.Block) {
	blocks = blocks[:min(len(blocks), c.maxBlocks)]
	for _, b := range slices.Backward(blocks) {
		if element, ok := c.blocks[b.Hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[b.Hash] = c.recent.PushFront(b.Hash)
		c.logChange(engine.BlockStored, b.Hash)
	}
	for c.recent.Len() > c.maxBlocks {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, hash)
		c.logChange(engine.BlockEvicted, hash)
	}
}

// logChange logs a change. A lost event leaves a gap in the sequence numbers.
func (c *prefixCache) logChange(change engine.CacheChange, block uint64) {
	c.sequence++
	if c.shouldLose() {
		return
	}
	if len(c.log) == maxLoggedEvents {
		c.log = slices.Delete(c.log, 0, maxLoggedEvents/2)
	}
	event := engine.CacheEvent{Sequence: c.sequence, Change: change, Block: block}
	c.log = append(c.log, loggedEvent{CacheEvent: event, loggedAt: time.Now()})
}

// shouldLose reports whether the next event is to be lost.
func (c *prefixCache) shouldLose() bool {
	if c.dropNext > 0 {
		c.dropNext--
		return true
	}
	return c.loss > 0 && c.random.Float64() < c.loss
}

// events returns the published events after a sequence number.
func (c *prefixCache) events(after uint64) []engine.CacheEvent {
	publishedUntil := time.Now().Add(-c.delay)
	events := []engine.CacheEvent{}
	for _, e := range c.log {
		if e.loggedAt.After(publishedUntil) || len(events) == maxEventsPerRead {
			break
		}
		if e.Sequence > after {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

// index returns all cached blocks in the order of their hashes.
func (c *prefixCache) index() engine.CacheIndex {
	blocks := make([]uint64, 0, len(c.blocks))
	for hash := range c.blocks {
		blocks = append(blocks, hash)
	}
	slices.Sort(blocks)
	return engine.CacheIndex{Sequence: c.sequence, Blocks: blocks}
}
