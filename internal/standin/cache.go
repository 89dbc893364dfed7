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
	// keptEvents bounds the cache events that an engine can still publish.
	keptEvents = 8192
	// maxEventsRead bounds the events of one answer.
	maxEventsRead = 1024
	// incarnationShift puts the incarnation above the sequence numbers, so
	// that a restart shows as a gap and never as a number seen before.
	incarnationShift = 32
)

// cache is a bounded prefix cache that drops the block used least recently,
// and the log of its changes.
type cache struct {
	blocks   int
	recent   *list.List // of uint64, most recent first
	held     map[uint64]*list.Element
	sequence uint64
	log      []loggedEvent
	delay    time.Duration
	loss     float64
	dropNext int
	random   *rand.Rand
}

// loggedEvent is a cache event and when it happened.
type loggedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newCache(c EngineConfig, incarnation uint64) *cache {
	return &cache{
		blocks:   c.CacheTokens / c.BlockTokens,
		recent:   list.New(),
		held:     make(map[uint64]*list.Element),
		sequence: incarnation << incarnationShift,
		delay:    c.EventDelay,
		loss:     c.EventLoss,
		random:   rand.New(rand.NewPCG(c.Seed, incarnation)),
	}
}

// cached returns how many leading tokens are held.
func (c *cache) cached(blocks []prefix.Block) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.held[b.Hash]; !ok {
			break
		}
		tokens = b.Tokens
	}
	return tokens
}

// store holds the blocks of a prompt and marks them as used. It goes from the longest to the
// shortest, so that a prefix is never dropped before what builds on it.
func (c *cache) store(blocks []prefix.Block) {
	blocks = blocks[:min(len(blocks), c.blocks)]
	for _, b := range slices.Backward(blocks) {
		if element, ok := c.held[b.Hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.held[b.Hash] = c.recent.PushFront(b.Hash)
		c.note(engine.BlockStored, b.Hash)
	}
	for c.recent.Len() > c.blocks {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.held, hash)
		c.note(engine.BlockEvicted, hash)
	}
}

// note logs a change. A lost event leaves a gap in the sequence numbers.
func (c *cache) note(change engine.CacheChange, block uint64) {
	c.sequence++
	if c.loses() {
		return
	}
	if len(c.log) == keptEvents {
		c.log = slices.Delete(c.log, 0, keptEvents/2)
	}
	event := engine.CacheEvent{Sequence: c.sequence, Change: change, Block: block}
	c.log = append(c.log, loggedEvent{CacheEvent: event, at: time.Now()})
}

func (c *cache) loses() bool {
	if c.dropNext > 0 {
		c.dropNext--
		return true
	}
	return c.loss > 0 && c.random.Float64() < c.loss
}

// events returns the published events after a sequence number.
func (c *cache) events(after uint64) []engine.CacheEvent {
	published := time.Now().Add(-c.delay)
	events := []engine.CacheEvent{}
	for _, e := range c.log {
		if e.at.After(published) || len(events) == maxEventsRead {
			break
		}
		if e.Sequence > after {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

// index returns all held blocks in the order of their hashes.
func (c *cache) index() engine.CacheIndex {
	blocks := make([]uint64, 0, len(c.held))
	for hash := range c.held {
		blocks = append(blocks, hash)
	}
	slices.Sort(blocks)
	return engine.CacheIndex{Sequence: c.sequence, Blocks: blocks}
}
