package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// keptEvents bounds the events that are kept while the index is read anew.
const keptEvents = 16_384

// cacheIndex knows which prefix blocks the engine holds.
//
// The engine's events come late and may have gaps. A missing eviction would
// make the index promise blocks that are gone: seen as prefills that take
// longer than predicted. So a gap makes the index doubtful: until the whole
// index was read, only blocks that were stored behind the gap count.
type cacheIndex struct {
	// blocks maps each block to the sequence number at which it was stored.
	blocks   map[uint64]uint64
	bound    int
	sequence uint64
	doubtful bool
	// gap is the last sequence number at the latest gap.
	gap uint64
	// kept holds the events since the index became doubtful.
	kept []engine.CacheEvent
	// asked is true while a ListCache is out; askedAt is when it went.
	asked   bool
	askedAt time.Time
}

func newCacheIndex(c Config) cacheIndex {
	return cacheIndex{blocks: map[uint64]uint64{}, bound: c.CacheBlocks}
}

// cachedTokens is how much of a prompt the engine holds for certain. The hashes
// are those of the leading blocks that package prefix names.
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
	return found && (!c.doubtful || stored > c.gap)
}

// apply takes one event in. It reports whether events before it are missing.
func (c *cacheIndex) apply(e engine.CacheEvent) (gap bool) {
	if e.Sequence <= c.sequence {
		return false
	}
	gap = e.Sequence != c.sequence+1
	if gap {
		c.doubtful = true
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

// replace takes the whole index in, and the kept events behind it. It reports
// whether the index is whole.
func (c *cacheIndex) replace(index engine.CacheIndex) bool {
	kept := c.kept
	c.kept = nil
	c.blocks = make(map[uint64]uint64, len(index.Blocks))
	for _, block := range index.Blocks {
		if len(c.blocks) >= c.bound {
			break
		}
		c.blocks[block] = index.Sequence
	}
	c.sequence = index.Sequence
	c.doubtful = false
	whole := true
	for _, e := range kept {
		if c.apply(e) {
			whole = false
		}
		if c.doubtful {
			c.kept = append(c.kept, e)
		}
	}
	return whole
}

// cacheChanged takes events in, in the order in which they were read.
func (s *State) cacheChanged(e CacheChanged) {
	for _, event := range e.Events {
		if s.cache.apply(event) {
			s.count("cacheGap", "")
		}
		if s.cache.doubtful && len(s.cache.kept) < keptEvents {
			s.cache.kept = append(s.cache.kept, event)
		}
	}
	s.askCache()
}

// askCache reads the whole index while it is doubtful, and again if the
// reading was lost.
func (s *State) askCache() {
	if !s.cache.doubtful || !s.engine.known {
		return
	}
	if s.cache.asked && s.now.Sub(s.cache.askedAt) < s.config.RepairEvery {
		return
	}
	s.cache.asked = true
	s.cache.askedAt = s.now
	s.emit(ListCache{})
}

// cacheListed repairs the index.
func (s *State) cacheListed(e CacheListed) {
	s.cache.asked = false
	if !s.cache.doubtful {
		return
	}
	if s.cache.replace(e.Index) {
		s.count("cacheRepaired", "")
	}
	s.askCache()
}

// resetCache forgets the index of an engine that restarted and reads it anew.
func (s *State) resetCache() {
	s.cache = newCacheIndex(s.config)
	s.cache.doubtful = true
	s.askCache()
}
