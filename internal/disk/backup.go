package disk

import (
	"path/filepath"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// Backup copies the current data folder into a new folder, and reads the copy back. It may run
// concurrently with Save: the copy ends at the last entry that was durable when it began.
func (s *Store) Backup(destination string) error {
	if err := makeEmptyFolder(s.fs, destination); err != nil {
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

// fileCopy is one file of a backup and the size to copy.
type fileCopy struct {
	path string
	size int64
}

// completeFile is the size of a file that is copied to its end.
const completeFile = -1

func (s *Store) copyPlan() []fileCopy {
	var plan []fileCopy
	if n := len(s.snapshots); n > 0 {
		plan = append(plan, fileCopy{path: s.snapshots[n-1].path, size: completeFile})
	}
	for _, segment := range s.segments {
		plan = append(plan, fileCopy{path: segment.path, size: segment.synced})
	}
	return plan
}

func (s *Store) copyFile(c fileCopy, destination string) error {
	data, err := s.fs.Read(c.path)
	if err != nil {
		return ioError(c.path, 0, err)
	}
	if c.size != completeFile && c.size < int64(len(data)) {
		data = data[:c.size]
	}
	return writeAtomically(s.fs, filepath.Join(destination, filepath.Base(c.path)), data)
}

// Backup copies the data folder of a stopped process.
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

// RestoreConfig configures a Restore.
type RestoreConfig struct {
	// Name is the member that will run on the folder; empty means the member of the backup.
	Name string
	// Members replaces the members of the group; empty keeps those of the backup. It must be the
	// same on every VM that is restored.
	Members []message.Member
	// Generation must be higher than any generation in use before; zero means one more than that of
	// the backup.
	Generation uint64
}

// Restore creates a new data folder from a backup. Members that were not restored ignore the
// messages of those that were, and the reverse, because their generations differ: an old member
// could otherwise bring back changes that the restore has undone.
func Restore(backup, folder string, config RestoreConfig) error {
	fs := OS{}
	content, err := Read(fs, backup)
	if err != nil {
		return err
	}
	if err := makeEmptyFolder(fs, folder); err != nil {
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
	// The identity is written last: without it the folder can't be opened.
	return writeIdentity(fs, folder, id)
}

func lastIndex(l Loaded) uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// Content is the content of a folder, read without changing it.
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

// makeEmptyFolder creates a folder, and returns an error if it exists and is not empty.
func makeEmptyFolder(fs FileSystem, folder string) error {
	if err := fs.MakeFolder(folder); err != nil {
		return ioError(folder, 0, err)
	}
	names, err := fs.Names(folder)
	if err != nil {
		return ioError(folder, 0, err)
	}
	if len(names) > 0 {
		return &Error{Kind: KindOccupied, File: folder, Detail: "the folder is not empty"}
	}
	return nil
}

// readOnly is a file system that ignores changes.
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
