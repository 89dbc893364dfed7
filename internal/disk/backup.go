package disk

import (
	"path/filepath"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// Backup copies the data folder, as it is now, into a new folder, and reads
// the copy back. It may run beside Save: the copy ends at the last entry that
// was durable when it began.
func (s *Store) Backup(destination string) error {
	if err := requireNew(s.fs, destination); err != nil {
		return err
	}
	s.mu.Lock()
	hard, identity := s.hard, s.identity
	plan := s.copyPlan()
	s.mu.Unlock()
	for _, c := range plan {
		if err := s.copyFile(c, destination); err != nil {
			return err
		}
	}
	if err := writeHard(s.fs, destination, hard); err != nil {
		return err
	}
	if err := writeIdentity(s.fs, destination, identity); err != nil {
		return err
	}
	_, err := Read(s.fs, destination)
	return err
}

// copied is one file of a backup and how much of it.
type copied struct {
	path string
	size int64
}

// wholeFile marks a file that is copied to its end.
const wholeFile = -1

func (s *Store) copyPlan() []copied {
	var plan []copied
	if n := len(s.snapshots); n > 0 {
		plan = append(plan, copied{path: s.snapshots[n-1].path, size: wholeFile})
	}
	for _, segment := range s.segments {
		plan = append(plan, copied{path: segment.path, size: segment.synced})
	}
	return plan
}

func (s *Store) copyFile(c copied, destination string) error {
	data, err := s.fs.Read(c.path)
	if err != nil {
		return failed(c.path, 0, err)
	}
	if c.size != wholeFile && c.size < int64(len(data)) {
		data = data[:c.size]
	}
	return writeWhole(s.fs, filepath.Join(destination, filepath.Base(c.path)), data)
}

// Backup copies the data folder of a process that is stopped.
func Backup(folder, destination string) error {
	id, exists, err := readIdentity(OS{}, folder)
	if err != nil {
		return err
	}
	if !exists {
		return &Error{Kind: KindUnknownFormat, File: formatFile, Detail: "not a data folder"}
	}
	s, _, err := Open(Config{Folder: folder, Group: id.Group, Name: id.Name})
	if err != nil {
		return err
	}
	defer s.Close()
	return s.Backup(destination)
}

// RestoreConfig says what a restored folder is for.
type RestoreConfig struct {
	// Name is the member that will run on the folder; empty means the one that
	// the backup is of.
	Name string
	// Members replaces the members of the group; empty keeps those that the
	// backup tells of. It must be the same on every VM that is restored.
	Members []message.Member
	// Generation must be higher than any that was in use; zero means one more
	// than the backup's.
	Generation uint64
}

// Restore makes a new data folder from a backup. Members that were not
// restored do not listen to those that were, since the generation differs:
// an old member could otherwise bring back what the restore undid.
func Restore(backup, folder string, config RestoreConfig) error {
	fs := OS{}
	content, err := Read(fs, backup)
	if err != nil {
		return err
	}
	if err := requireNew(fs, folder); err != nil {
		return err
	}
	identity := content.Identity
	if config.Name != "" {
		identity.Name = config.Name
	}
	identity.Generation = max(identity.Generation+1, config.Generation)
	return writeRestored(fs, folder, identity, content.Loaded, config.Members)
}

func writeRestored(fs FileSystem, folder string, id Identity, l Loaded, members []message.Member) error {
	l.Hard.Vote, l.Hard.RecoverTo = "", 0
	if len(members) > 0 {
		l.Hard.Term++
		l.Entries = append(l.Entries, message.LogEntry{
			Index: lastIndex(l) + 1, Term: l.Hard.Term,
			Type: message.EntryMembers, Members: members,
		})
	}
	if l.Snapshot.Index > 0 {
		snapshot := agreement.Snapshot{Meta: l.Snapshot, Data: l.State}
		if _, err := writeSnapshot(fs, folder, snapshot); err != nil {
			return err
		}
	}
	if err := writeHard(fs, folder, l.Hard); err != nil {
		return err
	}
	if len(l.Entries) > 0 {
		segment, err := createSegment(fs, folder, l.Entries[0].Index)
		if err != nil {
			return err
		}
		defer segment.file.Close()
		if err := segment.write(l.Entries); err != nil {
			return err
		}
		if err := segment.sync(); err != nil {
			return err
		}
	}
	// The identity comes last: without it the folder does not open.
	return writeIdentity(fs, folder, id)
}

func lastIndex(l Loaded) uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// Content is what a folder holds, read without changing it.
type Content struct {
	Identity Identity
	Loaded
}

// Read reads and checks a folder that no process writes to, such as a backup.
func Read(fs FileSystem, folder string) (Content, error) {
	id, exists, err := readIdentity(fs, folder)
	if err != nil {
		return Content{}, err
	}
	if !exists {
		return Content{}, &Error{Kind: KindUnknownFormat, File: formatFile, Detail: "not a data folder"}
	}
	s := &Store{config: Config{Folder: folder}, fs: readOnly{fs}}
	loaded, err := s.loadFiles()
	for _, segment := range s.segments {
		if segment.file != nil {
			_ = segment.file.Close()
		}
	}
	return Content{Identity: id, Loaded: loaded}, err
}

// requireNew makes a folder, and refuses one that holds anything.
func requireNew(fs FileSystem, folder string) error {
	if err := fs.MakeFolder(folder); err != nil {
		return failed(folder, 0, err)
	}
	names, err := fs.Names(folder)
	if err != nil {
		return failed(folder, 0, err)
	}
	if len(names) > 0 {
		return &Error{Kind: KindOccupied, File: folder, Detail: "the folder is not empty"}
	}
	return nil
}

// readOnly is a file system whose changes go nowhere.
type readOnly struct{ FileSystem }

// Append implements FileSystem.
func (r readOnly) Append(path string) (File, error) {
	f, err := r.FileSystem.Open(path)
	return readOnlyFile{f}, err
}

// Remove implements FileSystem.
func (readOnly) Remove(string) error { return nil }

// SyncFolder implements FileSystem.
func (readOnly) SyncFolder(string) error { return nil }

type readOnlyFile struct{ File }

// Sync implements File.
func (readOnlyFile) Sync() error { return nil }

// Truncate implements File.
func (readOnlyFile) Truncate(int64) error { return nil }
