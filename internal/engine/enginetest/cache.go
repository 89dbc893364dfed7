package enginetest

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// cacheCases test the prefix cache and its events.
var cacheCases = []testCase{
	{name: "prefix is reused", run: func(b *testbed) {
		text := prompt("shared", 640)
		b.Equal(b.mustPrefill("a", text).CachedTokens, 0)
		b.Equal(b.mustPrefill("b", text+" but another end").CachedTokens, 640)
	}},
	{name: "events report the stored blocks", run: func(b *testbed) {
		text := prompt("told", 640)
		b.mustPrefill("r", text)
		hashes := prefix.Hashes(Model, text, prefix.BlockTokens, prefix.MaxHashes)
		b.waitFor("an event of every hash", func() bool { return b.storedAll(hashes) })
	}},
	{name: "index repairs a gap", run: indexRepairsGap},
	{name: "restart shows as a gap", run: restartShowsAsGap},
}

// storedAll reports whether the events so far show all the blocks as stored.
func (b *testbed) storedAll(hashes []uint64) bool {
	events, err := b.Prefill.CacheEvents(b.ctx, 0)
	b.NoErr(err)
	stored := make(map[uint64]bool)
	for _, e := range events {
		stored[e.Block] = e.Change == engine.BlockStored
	}
	for _, hash := range hashes {
		if !stored[hash] {
			return false
		}
	}
	return true
}

// indexRepairsGap guards against requests that are routed to a cached prefix that does
// not exist, or not routed to one that does, after an event was lost. The sequence
// numbers reveal the gap, and the complete index repairs it.
func indexRepairsGap(b *testbed) {
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.DropEvents(1)
	text := prompt("gap", 640)
	b.mustPrefill("r", text)
	var events []engine.CacheEvent
	b.waitFor("the other events", func() bool {
		events, err = b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 9
	})
	b.Equal(events[0].Sequence, before.Sequence+2) // one sequence number is missing
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(after.Sequence, before.Sequence+10)
	b.Equal(len(after.Blocks), 10)
}

// restartShowsAsGap guards against an index that keeps the blocks of a process that has
// exited. If the engine restarts between two reads and its sequence numbers start from 1
// again, they look like numbers that were already seen.
func restartShowsAsGap(b *testbed) {
	b.mustPrefill("r", prompt("first", 640))
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.Restart()
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(len(after.Blocks), 0)
	b.True(after.Sequence > before.Sequence)
	b.mustPrefill("again", prompt("second", 640))
	b.waitFor("the events after the restart", func() bool {
		events, err := b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 10 && events[0].Sequence > before.Sequence+1
	})
}
