package disk

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
)

// Format of the data folder. Version grows with each change that an earlier
// program can't read.
const (
	formatName    = "oriolebend-control"
	formatVersion = 1
	formatFile    = "format.json"
)

// Identity says whose data folder it is.
type Identity struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Group   string `json:"group"`
	Name    string `json:"name"`
	// Generation grows with each restore; members of different generations do
	// not listen to each other.
	Generation uint64 `json:"generation"`
}

// readIdentity returns the folder's identity; it is false for a new folder.
func readIdentity(fs FileSystem, folder string) (Identity, bool, error) {
	names, err := fs.Names(folder)
	if err != nil {
		return Identity{}, false, failed(folder, 0, err)
	}
	if !slices.Contains(names, formatFile) {
		return Identity{}, false, checkNew(names)
	}
	data, err := fs.Read(filepath.Join(folder, formatFile))
	if err != nil {
		return Identity{}, false, failed(formatFile, 0, err)
	}
	var id Identity
	if err := json.Unmarshal(data, &id); err != nil {
		return Identity{}, false, &Error{Kind: KindDamaged, File: formatFile, Cause: err}
	}
	return id, true, checkFormat(id)
}

// checkNew refuses a folder without an identity that holds files of a log:
// taking it for new would make the member forget its votes.
func checkNew(names []string) error {
	for _, name := range names {
		if isSegment(name) || isSnapshot(name) || name == hardFile {
			return &Error{
				Kind: KindDamaged, File: formatFile,
				Detail: "the file is missing, and " + name + " is there",
			}
		}
	}
	return nil
}

func checkFormat(id Identity) error {
	detail := fmt.Sprintf("the folder has %s %d, this program %s %d",
		id.Format, id.Version, formatName, formatVersion)
	switch {
	case id.Format != formatName || id.Version > formatVersion:
		return &Error{Kind: KindUnknownFormat, File: formatFile, Detail: detail}
	case id.Version < formatVersion:
		return &Error{Kind: KindOldFormat, File: formatFile, Detail: detail}
	}
	return nil
}

// SetGeneration moves an empty folder to a later generation of its group.
func (s *Store) SetGeneration(generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken
	}
	id := s.identity
	id.Generation = generation
	if err := s.note(writeIdentity(s.fs, s.config.Folder, id)); err != nil {
		return err
	}
	s.identity = id
	return nil
}

// Identity returns whose folder it is.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

func writeIdentity(fs FileSystem, folder string, id Identity) error {
	id.Format, id.Version = formatName, formatVersion
	data, err := json.Marshal(id)
	if err != nil {
		return failed(formatFile, 0, err)
	}
	return writeWhole(fs, filepath.Join(folder, formatFile), append(data, '\n'))
}
