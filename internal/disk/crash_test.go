package disk

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// foldersPerSeed multiplies rapid's default of 100 draws to thousands of folders.
const foldersPerSeed = 30

// Guards against data that Save has acknowledged and that is missing after a power failure. The
// test makes saves, replaced entries, snapshots and compactions in any order, with full disks and
// power failures in between that keep a random part of the unsynced data. It finds a missing sync,
// or two syncs in the wrong order.
func TestPowerCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed")
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		random := rand.New(rand.NewChaCha8([32]byte(seed)))
		for range foldersPerSeed {
			p := &powerCutTest{t: t, random: random, fs: newMemoryFileSystem()}
			p.open()
			for range steps {
				p.step()
			}
		}
	})
}

// powerCutTest compares the content of a store with what it has acknowledged.
type powerCutTest struct {
	t      *rapid.T
	random *rand.Rand
	fs     *memoryFileSystem
	store  *Store
	term   uint64
	// acknowledged is the content that must be there.
	acknowledged Loaded
}

func (p *powerCutTest) open() {
	config := configFor("/folder")
	config.FileSystem = p.fs
	store, loaded, err := Open(config)
	if err != nil {
		p.t.Fatalf("open: %v", err)
	}
	p.check(loaded)
	p.store, p.acknowledged = store, loaded
}

func (p *powerCutTest) check(loaded Loaded) {
	if loaded.Hard != p.acknowledged.Hard && loaded.Hard.Term <= p.acknowledged.Hard.Term {
		p.t.Fatalf("vote %v became %v", p.acknowledged.Hard, loaded.Hard)
	}
	if loaded.Snapshot.Index < p.acknowledged.Snapshot.Index {
		p.t.Fatalf("snapshot %d became %d", p.acknowledged.Snapshot.Index, loaded.Snapshot.Index)
	}
	for _, e := range p.acknowledged.Entries {
		at, ok := slices.BinarySearchFunc(loaded.Entries, e.Index,
			func(e message.LogEntry, index uint64) int { return int(e.Index) - int(index) })
		if e.Index > loaded.Snapshot.Index && (!ok || loaded.Entries[at].Term != e.Term) {
			p.t.Fatalf("entry %d of term %d is missing", e.Index, e.Term)
		}
	}
}

func (p *powerCutTest) last() uint64 { return lastIndex(p.acknowledged) }

func (p *powerCutTest) step() {
	switch p.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		p.add(p.last()+1, uint64(p.random.IntN(4)))
	case 5:
		if span := p.last() - p.acknowledged.Snapshot.Index; span > 0 {
			p.term++
			p.add(p.acknowledged.Snapshot.Index+1+p.random.Uint64N(span), 2)
		}
	case 6:
		p.snapshot()
	case 7:
		p.install()
	case 8:
		p.failWriteOnFullDisk()
	default:
		p.cutPower()
	}
}

// add saves entries that replace those from an index on; the replaced ones are no longer expected
// from the moment of the call.
func (p *powerCutTest) add(from, more uint64) {
	p.term += uint64(p.random.IntN(2))
	hard := agreement.HardState{Term: p.term}
	p.dropAcknowledged(from)
	added := entries(p.term, from, from+more)
	p.save(agreement.Persist{Hard: &hard, Entries: added})
	p.acknowledged.Hard = hard
	p.acknowledged.Entries = append(p.acknowledged.Entries, added...)
}

func (p *powerCutTest) dropAcknowledged(from uint64) {
	p.acknowledged.Entries = slices.DeleteFunc(slices.Clone(p.acknowledged.Entries),
		func(e message.LogEntry) bool { return e.Index >= from })
}

func (p *powerCutTest) save(changes ...agreement.Persist) {
	err := p.store.Save(changes)
	for kind(err) == KindFull {
		err = p.store.Save(changes)
	}
	if err != nil {
		p.t.Fatalf("save: %v", err)
	}
}

func (p *powerCutTest) snapshot() {
	n := len(p.acknowledged.Entries)
	if n == 0 {
		return
	}
	e := p.acknowledged.Entries[p.random.IntN(n)]
	if e.Index <= p.acknowledged.Snapshot.Index {
		return
	}
	meta := agreement.SnapshotMeta{Index: e.Index, Term: e.Term}
	switch err := p.store.SaveSnapshot(agreement.Snapshot{Meta: meta}); {
	case kind(err) == KindFull:
		return
	case err != nil:
		p.t.Fatalf("snapshot: %v", err)
	}
	p.acknowledged.Snapshot = meta
	if err := p.store.Compact(e.Index - min(e.Index, 3)); err != nil {
		p.t.Fatalf("compact: %v", err)
	}
}

// install replaces the log by a snapshot that is ahead of it.
func (p *powerCutTest) install() {
	p.term++
	hard := agreement.HardState{Term: p.term}
	meta := agreement.SnapshotMeta{Index: p.last() + 1 + p.random.Uint64N(3), Term: p.term}
	p.acknowledged.Entries = nil
	p.save(agreement.Persist{Hard: &hard, Snapshot: &agreement.Snapshot{Meta: meta}})
	p.acknowledged.Snapshot, p.acknowledged.Hard = meta, hard
}

// failWriteOnFullDisk makes one of the next writes fail for lack of space.
func (p *powerCutTest) failWriteOnFullDisk() {
	after := p.random.IntN(4)
	p.fs.fail = func(operation, _ string) error {
		if operation != "write" {
			return nil
		}
		after--
		if after == -1 {
			return syscall.ENOSPC
		}
		return nil
	}
}

// cutPower cuts the power, sometimes in the middle of a save.
func (p *powerCutTest) cutPower() {
	if p.random.IntN(2) == 0 {
		at := p.random.IntN(12)
		p.fs.fail = func(string, string) error {
			at--
			if at < 0 {
				return syscall.EIO
			}
			return nil
		}
		_ = p.store.Save([]agreement.Persist{p.randomChange()})
	}
	// Without a power failure the next process finds unsynced data, and must sync it before relying
	// on it.
	if p.random.IntN(4) > 0 {
		p.fs.crash(p.random)
	}
	p.fs.fail = func(string, string) error { return nil }
	p.open()
}

// randomChange returns a random change for a save that may fail partway. Entries that the change
// replaces are no longer expected.
func (p *powerCutTest) randomChange() agreement.Persist {
	if p.random.IntN(2) == 0 {
		from := p.last() + 1 - p.random.Uint64N(p.last()-p.acknowledged.Snapshot.Index+1)
		p.term++
		p.dropAcknowledged(from)
		return agreement.Persist{Entries: entries(p.term, from, from+2)}
	}
	meta := agreement.SnapshotMeta{Index: p.last() + 2, Term: p.term}
	return agreement.Persist{Snapshot: &agreement.Snapshot{Meta: meta}}
}
