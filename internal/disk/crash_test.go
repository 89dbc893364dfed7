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

// foldersPerSeed makes thousands of folders of rapid's usual hundred draws.
const foldersPerSeed = 30

// Symptom: what Save returned for is not there after a power cut. Sequence:
// any order of saves, replaced entries, snapshots and compactions, with full
// disks and power cuts in between that keep a random part of what was not
// synced. Cause: a missing sync, or a wrong order of two.
func TestPowerCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed")
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		random := rand.New(rand.NewChaCha8([32]byte(seed)))
		for range foldersPerSeed {
			p := &powerCut{t: t, random: random, fs: newMemory()}
			p.open()
			for range steps {
				p.step()
			}
		}
	})
}

// powerCut compares a store with what it promised.
type powerCut struct {
	t      *rapid.T
	random *rand.Rand
	fs     *memory
	store  *Store
	term   uint64
	// promised is what must be there.
	promised Loaded
}

func (p *powerCut) open() {
	config := configFor("/folder")
	config.FileSystem = p.fs
	store, loaded, err := Open(config)
	if err != nil {
		p.t.Fatalf("open: %v", err)
	}
	p.check(loaded)
	p.store, p.promised = store, loaded
}

func (p *powerCut) check(loaded Loaded) {
	if loaded.Hard != p.promised.Hard && loaded.Hard.Term <= p.promised.Hard.Term {
		p.t.Fatalf("vote %v became %v", p.promised.Hard, loaded.Hard)
	}
	if loaded.Snapshot.Index < p.promised.Snapshot.Index {
		p.t.Fatalf("snapshot %d became %d", p.promised.Snapshot.Index, loaded.Snapshot.Index)
	}
	for _, e := range p.promised.Entries {
		at, ok := slices.BinarySearchFunc(loaded.Entries, e.Index,
			func(e message.LogEntry, index uint64) int { return int(e.Index) - int(index) })
		if e.Index > loaded.Snapshot.Index && (!ok || loaded.Entries[at].Term != e.Term) {
			p.t.Fatalf("entry %d of term %d is gone", e.Index, e.Term)
		}
	}
}

func (p *powerCut) last() uint64 { return lastIndex(p.promised) }

func (p *powerCut) step() {
	switch p.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		p.add(p.last()+1, uint64(p.random.IntN(4)))
	case 5:
		if span := p.last() - p.promised.Snapshot.Index; span > 0 {
			p.term++
			p.add(p.promised.Snapshot.Index+1+p.random.Uint64N(span), 2)
		}
	case 6:
		p.snapshot()
	case 7:
		p.install()
	case 8:
		p.full()
	default:
		p.cut()
	}
}

// add saves entries that replace those from an index on; the replaced ones are
// no longer promised from the moment of the call.
func (p *powerCut) add(from, more uint64) {
	p.term += uint64(p.random.IntN(2))
	hard := agreement.HardState{Term: p.term}
	p.forget(from)
	added := entries(p.term, from, from+more)
	p.save(agreement.Persist{Hard: &hard, Entries: added})
	p.promised.Hard = hard
	p.promised.Entries = append(p.promised.Entries, added...)
}

func (p *powerCut) forget(from uint64) {
	p.promised.Entries = slices.DeleteFunc(slices.Clone(p.promised.Entries),
		func(e message.LogEntry) bool { return e.Index >= from })
}

func (p *powerCut) save(changes ...agreement.Persist) {
	err := p.store.Save(changes)
	for kind(err) == KindFull {
		err = p.store.Save(changes)
	}
	if err != nil {
		p.t.Fatalf("save: %v", err)
	}
}

func (p *powerCut) snapshot() {
	n := len(p.promised.Entries)
	if n == 0 {
		return
	}
	e := p.promised.Entries[p.random.IntN(n)]
	if e.Index <= p.promised.Snapshot.Index {
		return
	}
	meta := agreement.SnapshotMeta{Index: e.Index, Term: e.Term}
	switch err := p.store.SaveSnapshot(agreement.Snapshot{Meta: meta}); {
	case kind(err) == KindFull:
		return
	case err != nil:
		p.t.Fatalf("snapshot: %v", err)
	}
	p.promised.Snapshot = meta
	if err := p.store.Compact(e.Index - min(e.Index, 3)); err != nil {
		p.t.Fatalf("compact: %v", err)
	}
}

// install replaces the log by a snapshot that is ahead of it.
func (p *powerCut) install() {
	p.term++
	hard := agreement.HardState{Term: p.term}
	meta := agreement.SnapshotMeta{Index: p.last() + 1 + p.random.Uint64N(3), Term: p.term}
	p.promised.Entries = nil
	p.save(agreement.Persist{Hard: &hard, Snapshot: &agreement.Snapshot{Meta: meta}})
	p.promised.Snapshot, p.promised.Hard = meta, hard
}

// full lets one of the next writes fail for want of room.
func (p *powerCut) full() {
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

// cut cuts the power, sometimes in the middle of a save.
func (p *powerCut) cut() {
	if p.random.IntN(2) == 0 {
		at := p.random.IntN(12)
		p.fs.fail = func(string, string) error {
			at--
			if at < 0 {
				return syscall.EIO
			}
			return nil
		}
		_ = p.store.Save([]agreement.Persist{p.unpromised()})
	}
	// Without a power cut the next process finds what was not synced, and must
	// sync it before it counts.
	if p.random.IntN(4) > 0 {
		p.fs.crash(p.random)
	}
	p.fs.fail = func(string, string) error { return nil }
	p.open()
}

// unpromised is a change that fails half-way.
func (p *powerCut) unpromised() agreement.Persist {
	if p.random.IntN(2) == 0 {
		from := p.last() + 1 - p.random.Uint64N(p.last()-p.promised.Snapshot.Index+1)
		p.term++
		p.forget(from)
		return agreement.Persist{Entries: entries(p.term, from, from+2)}
	}
	meta := agreement.SnapshotMeta{Index: p.last() + 2, Term: p.term}
	return agreement.Persist{Snapshot: &agreement.Snapshot{Meta: meta}}
}
