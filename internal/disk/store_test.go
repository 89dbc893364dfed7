package disk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// segmentForTest is a segment size after which a new segment starts after about ten entries.
const segmentForTest = 600

func configFor(folder string) Config {
	return Config{Folder: folder, Group: "g", Name: "a", SegmentBytes: segmentForTest}
}

func entries(term, from, to uint64) []message.LogEntry {
	var list []message.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, message.LogEntry{
			Index: i, Term: term, Type: message.EntryCommand, Command: fmt.Appendf(nil, "command %d", i),
		})
	}
	return list
}

func saveEntries(t *testing.T, s *Store, list []message.LogEntry) {
	t.Helper()
	if err := s.Save([]agreement.Persist{{Entries: list}}); err != nil {
		t.Fatal(err)
	}
}

// fill creates a folder with 30 entries in three segments, a vote and a snapshot.
func fill(t *testing.T, folder string) {
	t.Helper()
	s, _, err := Open(configFor(folder))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	hard := agreement.HardState{Term: 2, Vote: "b"}
	if err := s.Save([]agreement.Persist{{Hard: &hard}}); err != nil {
		t.Fatal(err)
	}
	for from := uint64(1); from <= 30; from += 5 {
		saveEntries(t, s, entries(2, from, from+4))
	}
	snapshot := agreement.Snapshot{
		Meta: agreement.SnapshotMeta{Index: 8, Term: 2}, Data: []byte("the state"),
	}
	if err := s.SaveSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
}

func kind(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

func TestReopen(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	fill(t, folder)
	s, loaded, err := Open(configFor(folder))
	is.NoErr(err)
	is.Equal(loaded.Entries, entries(2, 1, 30))
	is.Equal(loaded.Hard, agreement.HardState{Term: 2, Vote: "b"})
	is.Equal(string(loaded.State), "the state")
	_, _, err = Open(configFor(folder))
	is.Equal(kind(err), KindLocked) // a second process
	data, last, err := s.ReadSnapshot(8, 4, 3)
	is.NoErr(err)
	is.Equal(string(data), "sta")
	is.True(!last)
	saveEntries(t, s, entries(3, 22, 24))
	is.NoErr(s.Compact(15))
	is.Equal(len(s.segments), 3) // the snapshot covers no complete segment
	is.NoErr(s.SaveSnapshot(agreement.Snapshot{Meta: agreement.SnapshotMeta{Index: 18, Term: 2}}))
	is.NoErr(s.Compact(15))
	is.NoErr(s.Close())
	_, loaded, err = Open(configFor(folder))
	is.NoErr(err)
	is.Equal(loaded.Entries[0].Index, uint64(11)) // only complete segments were dropped
	is.Equal(loaded.Entries[len(loaded.Entries)-3:], entries(3, 22, 24))
}

// Guards against accepted entries that are missing after a start without an error: a file is
// damaged, cut short or missing while the process is stopped, and the unreadable part is taken for
// the end of the log.
func TestDamage(t *testing.T) {
	segments := func(folder string) []string {
		paths, _ := filepath.Glob(filepath.Join(folder, segmentPrefix+"*"))
		return paths
	}
	last := func(folder string) string { s := segments(folder); return s[len(s)-1] }
	flip := func(path string, find string) {
		data, _ := os.ReadFile(path)
		data[bytes.Index(data, []byte(find))] ^= 1
		_ = os.WriteFile(path, data, fileMode)
	}
	extend := func(path string, data []byte) {
		old, _ := os.ReadFile(path)
		_ = os.WriteFile(path, append(old, data...), fileMode)
	}
	format := func(folder, text string) {
		_ = os.WriteFile(filepath.Join(folder, formatFile), []byte(text), fileMode)
	}
	payload, _ := encodeEntry(entries(2, 31, 31)[0])
	complete := appendFrame(nil, 0, payload)
	broken := bytes.Replace(complete, []byte("command"), []byte("comMand"), 1)
	cases := []struct {
		name   string
		do     func(folder string)
		kind   Kind
		file   string
		cut    int64
		offset bool
	}{
		{name: "untouched", do: func(string) {}},
		{name: "torn frame", do: func(f string) { extend(last(f), complete[:20]) }, cut: 20},
		{name: "torn header", do: func(f string) { extend(last(f), complete[:3]) }, cut: 3},
		{name: "zeros at the end", do: func(f string) { extend(last(f), make([]byte, 64)) }, cut: 64},
		{
			name: "unsynced frames in the wrong order",
			do:   func(f string) { extend(last(f), append(bytes.Clone(broken), complete...)) },
			cut:  int64(2 * len(complete)),
		},
		{name: "middle of the last segment", do: func(f string) { flip(last(f), "command 27") }, kind: KindDamaged, file: "log", offset: true},
		{name: "last synced entry", do: func(f string) { flip(last(f), "command 30") }, kind: KindDamaged, file: "log", offset: true},
		{name: "sealed segment", do: func(f string) { flip(segments(f)[0], "command 3") }, kind: KindDamaged, file: "log", offset: true},
		{name: "segment header", do: func(f string) { flip(segments(f)[1], "log1") }, kind: KindDamaged, file: "log"},
		{name: "missing segment", do: func(f string) { _ = os.Remove(segments(f)[1]) }, kind: KindDamaged, file: "log"},
		{name: "missing first segment", do: func(f string) { _ = os.Remove(segments(f)[0]) }, kind: KindDamaged, file: "log"},
		{name: "vote", do: func(f string) { flip(filepath.Join(f, hardFile), "vote") }, kind: KindDamaged, file: hardFile},
		{name: "snapshot", do: func(f string) { flip(filepath.Join(f, snapshotName(8)), "state") }, kind: KindDamaged, file: "snapshot", offset: true},
		{name: "older format", do: func(f string) { format(f, `{"format":"oriolebend-control","version":0}`) }, kind: KindOldFormat, file: formatFile},
		{name: "newer format", do: func(f string) { format(f, `{"format":"oriolebend-control","version":2}`) }, kind: KindUnknownFormat, file: formatFile},
		{name: "other program", do: func(f string) { format(f, `{}`) }, kind: KindUnknownFormat, file: formatFile},
		{name: "broken format", do: func(f string) { format(f, `{`) }, kind: KindDamaged, file: formatFile},
		{name: "missing format", do: func(f string) { _ = os.Remove(filepath.Join(f, formatFile)) }, kind: KindDamaged, file: formatFile},
		{name: "other member", do: func(f string) {
			format(f, `{"format":"oriolebend-control","version":1,"group":"g","name":"b"}`)
		}, kind: KindForeign, file: formatFile},
		{name: "half written file", do: func(f string) { extend(filepath.Join(f, hardFile+temporarySuffix), complete) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			fill(t, folder)
			c.do(folder)
			s, loaded, err := Open(configFor(folder))
			is.Equal(kind(err), c.kind)
			if err == nil {
				defer s.Close()
				is.Equal(loaded.CutBytes, c.cut)
				is.Equal(loaded.Entries, entries(2, 1, 30))
				return
			}
			var typed *Error
			is.True(errors.As(err, &typed))
			is.True(strings.HasPrefix(typed.File, c.file))
			is.Equal(typed.Offset > 0, c.offset)
		})
	}
}

// Guards against a VM that reports entries as durable that are not, or that can't start any more
// after its disk was full: one operation of the file system fails once, and the error is ignored or
// a part of the write remains.
func TestFaults(t *testing.T) {
	hard := agreement.HardState{Term: 9}
	cases := []struct {
		operation, file string
		err             error
		change          agreement.Persist
		kind            Kind
	}{
		{"write", segmentPrefix, syscall.ENOSPC, agreement.Persist{Entries: entries(2, 6, 9)}, KindFull},
		{"write", segmentPrefix, syscall.EIO, agreement.Persist{Entries: entries(2, 6, 9)}, KindIO},
		{"sync", segmentPrefix, syscall.EIO, agreement.Persist{Entries: entries(2, 6, 9)}, KindSync},
		{"truncate", segmentPrefix, syscall.EIO, agreement.Persist{Entries: entries(3, 2, 4)}, KindIO},
		{"sync", segmentPrefix, syscall.EIO, agreement.Persist{Entries: entries(3, 2, 4)}, KindSync},
		{"create", segmentPrefix, syscall.ENOSPC, agreement.Persist{Entries: entries(2, 6, 40)}, KindFull},
		{"write", hardFile, syscall.ENOSPC, agreement.Persist{Hard: &hard}, KindFull},
		{"write", hardFile, syscall.EDQUOT, agreement.Persist{Hard: &hard}, KindFull},
		{"sync", hardFile, syscall.EIO, agreement.Persist{Hard: &hard}, KindSync},
		{"rename", hardFile, syscall.EIO, agreement.Persist{Hard: &hard}, KindIO},
		{"syncFolder", "", syscall.EIO, agreement.Persist{Hard: &hard}, KindSync},
		{"write", snapshotPrefix, syscall.ENOSPC, agreement.Persist{Snapshot: &agreement.Snapshot{}}, KindFull},
		{"sync", snapshotPrefix, syscall.EIO, agreement.Persist{Snapshot: &agreement.Snapshot{}}, KindSync},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s %v", c.operation, c.file, c.err), func(t *testing.T) {
			is := is.New(t)
			fs := newMemoryFileSystem()
			config := configFor("/folder")
			config.FileSystem = fs
			s, _, err := Open(config)
			is.NoErr(err)
			saveEntries(t, s, entries(2, 1, 5))
			if c.operation == "create" {
				saveEntries(t, s, entries(2, 6, 20)) // fills the segment
				c.change.Entries = c.change.Entries[15:]
			}
			failures := 0
			fs.fail = func(operation, name string) error {
				if operation == c.operation && strings.HasPrefix(name, c.file) && failures == 0 {
					failures++
					return c.err
				}
				return nil
			}
			err = s.Save([]agreement.Persist{c.change})
			is.Equal(kind(err), c.kind)
			again := s.Save([]agreement.Persist{c.change})
			if c.kind != KindFull {
				is.Equal(again, err) // nothing is written after a fatal failure
				return
			}
			is.NoErr(again)
			is.NoErr(s.Close())
			_, loaded, err := Open(config)
			is.NoErr(err)
			if n := len(c.change.Entries); n > 0 {
				is.Equal(loaded.Entries[len(loaded.Entries)-n:], c.change.Entries)
			}
			if c.change.Hard != nil {
				is.Equal(loaded.Hard, hard)
			}
		})
	}
}

func TestBackupAndRestore(t *testing.T) {
	is := is.New(t)
	folder, backup, restored := t.TempDir(), t.TempDir(), t.TempDir()
	fill(t, folder)
	is.NoErr(Backup(folder, backup))
	is.Equal(kind(Backup(folder, backup)), KindOccupied)
	is.NoErr(Restore(backup, restored, RestoreConfig{
		Name: "z", Members: []message.Member{{Name: "z", Address: "z:1", Voter: true}},
	}))
	config := configFor(restored)
	config.Name = "z"
	s, loaded, err := Open(config)
	is.NoErr(err)
	defer s.Close()
	is.Equal(s.Identity().Generation, uint64(2))
	is.Equal(loaded.Entries[:30], entries(2, 1, 30))
	is.Equal(loaded.Entries[30].Members[0].Name, "z")
	is.Equal(string(loaded.State), "the state")
	is.Equal(loaded.Hard, agreement.HardState{Term: 3})
}
