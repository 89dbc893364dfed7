package disk

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// load reads the folder, or writes its identity if it is new.
func (s *Store) load() (Loaded, error) {
	id, exists, err := readIdentity(s.fs, s.config.Folder)
	if err != nil {
		return Loaded{}, err
	}
	if !exists {
		id = Identity{Group: s.config.Group, Name: s.config.Name, Generation: 1, Founder: s.config.Founder}
		if err := writeIdentity(s.fs, s.config.Folder, id); err != nil {
			return Loaded{}, err
		}
	}
	if id.Group != s.config.Group || id.Name != s.config.Name {
		return Loaded{}, &Error{
			Kind: KindForeign, File: formatFile,
			Detail: fmt.Sprintf("the folder belongs to member %s of group %s", id.Name, id.Group),
		}
	}
	s.identity = id
	return s.loadFiles()
}

// loadFiles reads all files of the folder, after making their names durable: an earlier process may
// have ended between a rename and its sync, and everything read here counts as acknowledged.
func (s *Store) loadFiles() (Loaded, error) {
	if err := s.fs.SyncFolder(s.config.Folder); err != nil {
		return Loaded{}, syncError(s.config.Folder, err)
	}
	names, err := s.fs.Names(s.config.Folder)
	if err != nil {
		return Loaded{}, ioError(s.config.Folder, 0, err)
	}
	var loaded Loaded
	for _, name := range names {
		if err := s.loadFile(name, &loaded); err != nil {
			return Loaded{}, err
		}
	}
	if err := s.loadSegments(names, &loaded); err != nil {
		return Loaded{}, err
	}
	return loaded, s.reconcileLog(&loaded)
}

// loadFile reads the vote or a snapshot; the newest snapshot replaces earlier ones. A file that a
// crash left incomplete still has its temporary name and is removed.
func (s *Store) loadFile(name string, loaded *Loaded) error {
	path := filepath.Join(s.config.Folder, name)
	if strings.HasSuffix(name, temporarySuffix) {
		if err := s.fs.Remove(path); err != nil {
			return ioError(path, 0, err)
		}
		return nil
	}
	if name != hardFile && !isSnapshot(name) {
		return nil
	}
	data, err := s.fs.Read(path)
	if err != nil {
		return ioError(path, 0, err)
	}
	if name == hardFile {
		loaded.Hard, err = parseHard(data)
		s.hard = loaded.Hard
		return err
	}
	snapshot, file, err := parseSnapshot(name, data)
	if err != nil {
		return err
	}
	file.path = path
	s.snapshots = append(s.snapshots, file)
	loaded.Snapshot, loaded.State = snapshot.Meta, snapshot.Data
	return nil
}

func (s *Store) loadSegments(names []string, loaded *Loaded) error {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isSegment(name) })
	for i, name := range names {
		last := i == len(names)-1
		if err := s.loadSegment(name, last, loaded); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) loadSegment(name string, last bool, loaded *Loaded) error {
	path := filepath.Join(s.config.Folder, name)
	data, err := s.fs.Read(path)
	if err != nil {
		return ioError(path, 0, err)
	}
	segment, entries, torn, err := readSegment(name, data, last)
	if err != nil {
		return err
	}
	segment.path = path
	if n := len(s.segments); n > 0 && s.segments[n-1].next() != segment.first {
		return damageError(name, 0, "the previous segment is missing")
	}
	s.segments = append(s.segments, segment)
	loaded.Entries = append(loaded.Entries, entries...)
	if !last {
		segment.synced = segment.size
		return nil
	}
	return s.openLastSegment(segment, int64(len(data)), torn, loaded)
}

// openLastSegment opens the last segment for writing, cuts off an incomplete write and syncs the
// rest: an earlier process may have written it without a sync.
func (s *Store) openLastSegment(last *segment, size, torn int64, loaded *Loaded) error {
	if err := s.reopen(last); err != nil {
		return err
	}
	if torn >= 0 {
		loaded.CutBytes = size - torn
		if err := last.file.Truncate(torn); err != nil {
			return ioError(last.path, torn, err)
		}
	}
	return last.sync()
}

// reconcileLog checks that the log continues the snapshot. A log that the snapshot replaced, but
// that a crash left in place, is removed.
func (s *Store) reconcileLog(loaded *Loaded) error {
	if len(loaded.Entries) == 0 {
		return s.dropEmptyLog(loaded.Snapshot.Index)
	}
	first := loaded.Entries[0].Index
	if first > loaded.Snapshot.Index+1 {
		return damageError(filepath.Base(s.segments[0].path), 0, fmt.Sprintf(
			"the log begins at %d, the snapshot ends at %d", first, loaded.Snapshot.Index))
	}
	if first == loaded.Snapshot.Index+1 || containsSnapshotEntry(loaded.Entries, loaded.Snapshot) {
		return nil
	}
	loaded.Entries = nil
	for len(s.segments) > 0 {
		if err := s.dropSegment(len(s.segments) - 1); err != nil {
			return err
		}
	}
	return nil
}

// containsSnapshotEntry reports whether the log holds the last entry that the snapshot covers.
func containsSnapshotEntry(entries []message.LogEntry, snapshot agreement.SnapshotMeta) bool {
	at := snapshot.Index - entries[0].Index
	return at < uint64(len(entries)) && entries[at].Term == snapshot.Term
}

// dropEmptyLog removes segments without entries that do not begin right after the snapshot.
func (s *Store) dropEmptyLog(snapshot uint64) error {
	for len(s.segments) > 0 && s.segments[0].first != snapshot+1 {
		if err := s.dropSegment(len(s.segments) - 1); err != nil {
			return err
		}
	}
	return nil
}
