package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// maxBufferedEvents bounds the events that are buffered until the index is read
// again.
const maxBufferedEvents = 16_384

// cacheIndex tracks which prefix blocks the engine holds.
//
// The engine's events arrive late and may have gaps. After a missed eviction,
// the index would promise blocks that are no longer cached, and prefills would
// take longer than predicted. Therefore a gap makes the index unverified: until
// the complete index was read, only blocks that were stored after the gap
// count.
type cacheIndex struct {
	// blocks maps each block to the sequence number at which it was stored.
	blocks     map[uint64]uint64
	bound      int
	sequence   uint64
	unverified bool
	// gap is the last sequence number within the latest gap.
	gap uint64
	// buffered holds the events since the index became unverified.
	buffered []engine.CacheEvent
	// listPending is true while a ListCache is unanswered. lastListAt is when
	// the latest one was emitted.
	listPending bool
	lastListAt  time.Time
}

func newCacheIndex(c Config) cacheIndex {
	return cacheIndex{blocks: map[uint64]uint64{}, bound: c.CacheBlocks}
}

// cachedTokens returns how many leading tokens of a prompt the engine certainly
// holds. The hashes are those of the leading blocks, as package prefix computes
// them.
func (c *cacheIndex) cachedTokens(hashes []uint64, promptTokens, blockTokens int) int {
	leading := 0
	for _, block := range hashes {
		if !c.holds(block) {
			break
		}
		leading++
	}
	if leading == 0 {
		return 0
	}
	return min(prefix.Tokens(blockTokens, leading-1), promptTokens)
}

func (c *cacheIndex) holds(block uint64) bool {
	stored, found := c.blocks[block]
	return found && (!c.unverified || stored > c.gap)
}

// apply applies one event and reports whether events before it are missing.
func (c *cacheIndex) apply(e engine.CacheEvent) (gap bool) {
	if e.Sequence <= c.sequence {
		return false
	}
	gap = e.Sequence != c.sequence+1
	if gap {
		c.unverified = true
		c.gap = e.Sequence - 1
	}
	c.sequence = e.Sequence
	switch {
	case e.Change == engine.BlockEvicted:
		delete(c.blocks, e.Block)
	case len(c.blocks) < c.bound:
		c.blocks[e.Block] = e.Sequence
	}
	return gap
}

// replace applies the complete index and the buffered events after it. It
// reports whether the index is complete.
func (c *cacheIndex) replace(index engine.CacheIndex) bool {
	buffered := c.buffered
	c.buffered = nil
	c.blocks = make(map[uint64]uint64, len(index.Blocks))
	for _, block := range index.Blocks {
		if len(c.blocks) >= c.bound {
			break
		}
		c.blocks[block] = index.Sequence
	}
	c.sequence = index.Sequence
	c.unverified = false
	complete := true
	for _, e := range buffered {
		if c.apply(e) {
			complete = false
		}
		if c.unverified {
			c.buffered = append(c.buffered, e)
		}
	}
	return complete
}

// handleCacheChanged applies cache events in the order in which they were read.
func (s *State) handleCacheChanged(e CacheChanged) {
	for _, event := range e.Events {
		if s.cache.apply(event) {
			s.count("cacheGap", "")
		}
		if s.cache.unverified && len(s.cache.buffered) < maxBufferedEvents {
			s.cache.buffered = append(s.cache.buffered, event)
		}
	}
	s.listCacheIfNeeded()
}

// listCacheIfNeeded reads the complete index while it is unverified, and again
// if the answer does not arrive.
func (s *State) listCacheIfNeeded() {
	if !s.cache.unverified || !s.engine.known {
		return
	}
	if s.cache.listPending && s.now.Sub(s.cache.lastListAt) < s.config.RepairEvery {
		return
	}
	s.cache.listPending = true
	s.cache.lastListAt = s.now
	s.emit(ListCache{})
}

// handleCacheListed repairs the index.
func (s *State) handleCacheListed(e CacheListed) {
	s.cache.listPending = false
	if !s.cache.unverified {
		return
	}
	if s.cache.replace(e.Index) {
		s.count("cacheRepaired", "")
	}
	s.listCacheIfNeeded()
}

// resetCache discards the index, which may be out of date after the engine
// restarted or was unreachable, and reads it again.
func (s *State) resetCache() {
	s.cache = newCacheIndex(s.config)
	s.cache.unverified = true
	s.listCacheIfNeeded()
}
