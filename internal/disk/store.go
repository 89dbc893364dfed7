// Package disk stores the log, vote and snapshots of one member of an agreement group in its data
// folder. Package replica reads and writes the folder of a control VM, package crashreports saves
// its reports there, and operators' subcommands inspect, back up and restore it.
//
// Changes are durable once Save has returned without an error. A write that a crash cut short is
// dropped at the next start. Damage to durable data is reported with its file and place, and never
// repaired by guessing.
package disk

import (
	"errors"
	"io"
	"path/filepath"
	"slices"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// DefaultSegmentBytes is the size at which a new segment file is started.
const DefaultSegmentBytes = 16 << 20

// Config configures a Store. Folder, Group and Name are required.
type Config struct {
	Folder string
	// Group and Name must be those that the folder was created for.
	Group string
	Name  string
	// Founder is recorded in the identity of a new folder.
	Founder bool
	// SegmentBytes is the size of a segment file; zero means 16 MiB.
	SegmentBytes int64
	// FileSystem replaces the VM's own file system if it is not nil.
	FileSystem FileSystem
}

// Store is an open data folder. Its methods may be called by several goroutines, but Save only by
// one at a time.
type Store struct {
	config   Config
	fs       FileSystem
	identity Identity
	lock     io.Closer

	mu        sync.Mutex
	segments  []*segment
	snapshots []snapshotFile
	hard      agreement.HardState
	// failure is the error after which nothing is written any more.
	failure error
}

// Loaded is the content of a data folder.
type Loaded struct {
	agreement.Restored
	// State is the state of the snapshot, nil if there is none.
	State []byte
	// CutBytes is the size of the incomplete write that was dropped.
	CutBytes int64
}

// Open locks and reads a data folder, or creates a new one. Errors are *Error values.
func Open(config Config) (*Store, Loaded, error) {
	if config.FileSystem == nil {
		config.FileSystem = OS{}
	}
	if config.SegmentBytes == 0 {
		config.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{config: config, fs: config.FileSystem}
	if err := s.fs.MakeFolder(config.Folder); err != nil {
		return nil, Loaded{}, ioError(config.Folder, 0, err)
	}
	lock, err := s.fs.Lock(config.Folder)
	if err != nil {
		return nil, Loaded{}, err
	}
	s.lock = lock
	loaded, err := s.load()
	if err != nil {
		return nil, Loaded{}, errors.Join(err, s.Close())
	}
	return s, loaded, nil
}

// Free returns the free bytes of the disk.
func (s *Store) Free() (uint64, error) {
	free, err := s.fs.Free(s.config.Folder)
	if err != nil {
		return 0, ioError(s.config.Folder, 0, err)
	}
	return free, nil
}

// Save makes changes durable with one sync of the log. If it fails with KindFull, none of the
// changes was acknowledged, and the same call must be repeated before any other; after any other
// failure the process must stop.
func (s *Store) Save(changes []agreement.Persist) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	return s.recordFailure(s.save(changes))
}

// recordFailure records a failure after which nothing may be written, and returns err.
//
// After a failed sync the kernel may drop the unwritten pages and report the next sync as
// successful: continuing would acknowledge entries that are lost.
func (s *Store) recordFailure(err error) error {
	if err != nil && !isFull(err) && s.failure == nil {
		s.failure = err
	}
	return err
}

func (s *Store) save(changes []agreement.Persist) error {
	hard, entries := s.hard, []message.LogEntry(nil)
	for _, c := range changes {
		if c.Hard != nil {
			hard = *c.Hard
		}
		if c.Snapshot != nil {
			entries = nil
			if err := s.install(*c.Snapshot); err != nil {
				return err
			}
		}
		entries = merge(entries, c.Entries)
	}
	// The term is written first: log entries of a term that the member does not know yet would be
	// inconsistent, a term without its entries is not.
	if hard != s.hard {
		if err := writeHard(s.fs, s.config.Folder, hard); err != nil {
			return err
		}
		s.hard = hard
	}
	return s.append(entries)
}

// merge adds entries, which replace those from the index of the first one on.
func merge(entries, added []message.LogEntry) []message.LogEntry {
	if len(added) == 0 {
		return entries
	}
	first := added[0].Index
	at := slices.IndexFunc(entries, func(e message.LogEntry) bool { return e.Index >= first })
	if at >= 0 {
		entries = entries[:at:at]
	}
	return append(entries, added...)
}

// append writes and syncs entries, after dropping those that they replace.
func (s *Store) append(entries []message.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := s.truncate(entries[0].Index); err != nil {
		return err
	}
	active, err := s.activeSegment(entries[0].Index)
	if err != nil {
		return err
	}
	if err := active.write(entries); err != nil {
		return err
	}
	if err := active.sync(); err != nil {
		return err
	}
	if err := active.mark(); err != nil && !isFull(err) {
		return err
	}
	return nil
}

func isFull(err error) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == KindFull
}

// activeSegment returns the segment to write to.
func (s *Store) activeSegment(next uint64) (*segment, error) {
	if n := len(s.segments); n > 0 {
		active := s.segments[n-1]
		if active.next() != next {
			return nil, &Error{
				Kind: KindIO, File: filepath.Base(active.path), Offset: active.size,
				Detail: "the entries do not continue the log",
			}
		}
		if active.size < s.config.SegmentBytes {
			return active, nil
		}
		// The last mark is not synced yet. A power failure could leave a part of it in a segment
		// that is no longer the last, which counts as damage.
		if err := active.sync(); err != nil {
			return nil, err
		}
	}
	fresh, err := createSegment(s.fs, s.config.Folder, next)
	if err != nil {
		return nil, err
	}
	if n := len(s.segments); n > 0 {
		_ = s.segments[n-1].file.Close()
		s.segments[n-1].file = nil
	}
	s.segments = append(s.segments, fresh)
	return fresh, nil
}

// truncate drops the entries from index on.
func (s *Store) truncate(from uint64) error {
	for len(s.segments) > 0 {
		last := s.segments[len(s.segments)-1]
		if from > last.first || (from == last.first && len(s.segments) == 1) {
			break
		}
		if err := s.dropSegment(len(s.segments) - 1); err != nil {
			return err
		}
	}
	if len(s.segments) == 0 {
		return nil
	}
	last := s.segments[len(s.segments)-1]
	if err := s.reopen(last); err != nil {
		return err
	}
	if from >= last.next() {
		return nil
	}
	return last.truncate(from)
}

// reopen opens the last segment for writing.
func (s *Store) reopen(last *segment) error {
	if last.file != nil {
		return nil
	}
	file, err := s.fs.Append(last.path)
	if err != nil {
		return ioError(last.path, 0, err)
	}
	last.file = file
	return nil
}

func (s *Store) dropSegment(at int) error {
	dropped := s.segments[at]
	if dropped.file != nil {
		_ = dropped.file.Close()
	}
	if err := s.fs.Remove(dropped.path); err != nil {
		return ioError(dropped.path, 0, err)
	}
	s.segments = slices.Delete(s.segments, at, at+1)
	if err := s.fs.SyncFolder(s.config.Folder); err != nil {
		return syncError(dropped.path, err)
	}
	return nil
}

// install replaces the log by a snapshot. The snapshot is durable before the first segment is
// removed; a start in between finds a log that the snapshot covers.
func (s *Store) install(snapshot agreement.Snapshot) error {
	if err := s.addSnapshot(snapshot); err != nil {
		return err
	}
	for len(s.segments) > 0 {
		if err := s.dropSegment(len(s.segments) - 1); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot makes a snapshot of this member's own state durable; the log stays unchanged.
func (s *Store) SaveSnapshot(snapshot agreement.Snapshot) error {
	file, err := writeSnapshot(s.fs, s.config.Folder, snapshot)
	s.mu.Lock()
	failure := s.failure
	_ = s.recordFailure(err)
	s.mu.Unlock()
	if err != nil || failure != nil {
		return errors.Join(err, failure)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordFailure(s.registerSnapshot(file))
}

func (s *Store) addSnapshot(snapshot agreement.Snapshot) error {
	file, err := writeSnapshot(s.fs, s.config.Folder, snapshot)
	if err != nil {
		return err
	}
	return s.registerSnapshot(file)
}

func (s *Store) registerSnapshot(file snapshotFile) error {
	s.snapshots = slices.DeleteFunc(s.snapshots,
		func(other snapshotFile) bool { return other.index == file.index })
	s.snapshots = append(s.snapshots, file)
	slices.SortFunc(s.snapshots, func(a, b snapshotFile) int {
		if a.index < b.index {
			return -1
		}
		return 1
	})
	for len(s.snapshots) > keepSnapshots {
		if err := s.fs.Remove(s.snapshots[0].path); err != nil {
			return ioError(s.snapshots[0].path, 0, err)
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
}

// ReadSnapshot returns a part of a snapshot's state, and whether it is the last one.
func (s *Store) ReadSnapshot(index uint64, offset int64, bytes int) (data []byte, last bool, err error) {
	s.mu.Lock()
	at := slices.IndexFunc(s.snapshots, func(f snapshotFile) bool { return f.index == index })
	if at < 0 {
		s.mu.Unlock()
		return nil, false, &Error{Kind: KindIO, File: snapshotName(index), Detail: "the snapshot does not exist"}
	}
	file := s.snapshots[at]
	s.mu.Unlock()
	if offset < 0 || offset > file.size {
		return nil, false, &Error{
			Kind: KindIO, File: snapshotName(index), Offset: offset, Detail: "the offset is past the end of the state",
		}
	}
	f, err := s.fs.Open(file.path)
	if err != nil {
		return nil, false, ioError(file.path, offset, err)
	}
	defer f.Close()
	data = make([]byte, min(int64(bytes), file.size-offset))
	if _, err := f.ReadAt(data, file.offset+offset); err != nil {
		return nil, false, ioError(file.path, offset, err)
	}
	return data, offset+int64(len(data)) == file.size, nil
}

// Compact drops the segments that hold only entries up to through, as far as a snapshot covers
// them.
func (s *Store) Compact(through uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return nil
	}
	through = min(through, s.snapshots[len(s.snapshots)-1].index)
	for len(s.segments) > 1 && s.segments[1].first <= through+1 {
		if err := s.dropSegment(0); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the store and unlocks the folder. It may be called twice.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = &Error{Kind: KindClosed}
	}
	for _, segment := range s.segments {
		if segment.file != nil {
			_ = segment.file.Close()
			segment.file = nil
		}
	}
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	if err != nil {
		return ioError(lockFile, 0, err)
	}
	return nil
}
