package enginetest

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

// cacheCases are the prefix cache and its events.
var cacheCases = []testCase{
	{name: "prefix is reused", run: func(b *bench) {
		text := prompt("shared", 640)
		b.Equal(b.mustPrefill("a", text).CachedTokens, 0)
		b.Equal(b.mustPrefill("b", text+" but another end").CachedTokens, 640)
	}},
	{name: "events tell the blocks", run: func(b *bench) {
		text := prompt("told", 640)
		b.mustPrefill("r", text)
		hashes := prefix.Hashes(Model, text, prefix.BlockTokens, prefix.MaxHashes)
		b.eventually("an event of every hash", func() bool { return b.reports(hashes) })
	}},
	{name: "index repairs a gap", run: indexRepairsGap},
	{name: "restart shows as a gap", run: restartShowsAsGap},
}

// reports says whether the events so far tell that all the blocks are stored.
func (b *bench) reports(hashes []uint64) bool {
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

// indexRepairsGap: symptom: requests are sent after a cached prefix that is
// not there, or past one that is. Sequence: an event is lost. Cause: events
// have gaps; the sequence numbers show it and the whole index mends it.
func indexRepairsGap(b *bench) {
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.DropEvents(1)
	text := prompt("gap", 640)
	b.mustPrefill("r", text)
	var events []engine.CacheEvent
	b.eventually("the other events", func() bool {
		events, err = b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 9
	})
	b.Equal(events[0].Sequence, before.Sequence+2) // a number is missing
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(after.Sequence, before.Sequence+10)
	b.Equal(len(after.Blocks), 10)
}

// restartShowsAsGap: symptom: an index keeps the blocks of a dead process.
// Sequence: the engine restarts between two reads. Cause: numbers that began
// again from 1 would look like ones already seen.
func restartShowsAsGap(b *bench) {
	b.mustPrefill("r", prompt("first", 640))
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.Restart()
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(len(after.Blocks), 0)
	b.True(after.Sequence > before.Sequence)
	b.mustPrefill("again", prompt("second", 640))
	b.eventually("its events", func() bool {
		events, err := b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 10 && events[0].Sequence > before.Sequence+1
	})
}
