package disk

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
)

// Format of the data folder. The version is increased with each change that an earlier program
// can't read.
const (
	formatName    = "oriolebend-control"
	formatVersion = 1
	formatFile    = "format.json"
)

// Identity identifies the format, member, group and generation of a data folder.
type Identity struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Group   string `json:"group"`
	Name    string `json:"name"`
	// Generation is increased by each restore; members of different generations ignore each other's
	// messages.
	Generation uint64 `json:"generation"`
	// Founder is set if the folder was created at the first start of a founder of the group. A folder
	// that replaces a lost one is not a founder's.
	Founder bool `json:"founder,omitempty"`
}

// readIdentity returns the folder's identity; it reports false for a new folder.
func readIdentity(fs FileSystem, folder string) (Identity, bool, error) {
	names, err := fs.Names(folder)
	if err != nil {
		return Identity{}, false, ioError(folder, 0, err)
	}
	if !slices.Contains(names, formatFile) {
		return Identity{}, false, checkNoLogFiles(names)
	}
	data, err := fs.Read(filepath.Join(folder, formatFile))
	if err != nil {
		return Identity{}, false, ioError(formatFile, 0, err)
	}
	var id Identity
	if err := json.Unmarshal(data, &id); err != nil {
		return Identity{}, false, &Error{Kind: KindDamaged, File: formatFile, Cause: err}
	}
	return id, true, checkFormat(id)
}

// checkNoLogFiles returns an error if a folder without an identity holds files of a log: treating
// it as new would make the member forget its votes.
func checkNoLogFiles(names []string) error {
	for _, name := range names {
		if isSegment(name) || isSnapshot(name) || name == hardFile {
			return &Error{
				Kind: KindDamaged, File: formatFile,
				Detail: "the file is missing, but " + name + " exists",
			}
		}
	}
	return nil
}

func checkFormat(id Identity) error {
	detail := fmt.Sprintf("the folder has format %s version %d, this program supports %s version %d",
		id.Format, id.Version, formatName, formatVersion)
	switch {
	case id.Format != formatName || id.Version > formatVersion:
		return &Error{Kind: KindUnknownFormat, File: formatFile, Detail: detail}
	case id.Version < formatVersion:
		return &Error{Kind: KindOldFormat, File: formatFile, Detail: detail}
	}
	return nil
}

// SetGeneration changes the generation of an empty folder to a later one of its group.
func (s *Store) SetGeneration(generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	id := s.identity
	id.Generation = generation
	if err := s.recordFailure(writeIdentity(s.fs, s.config.Folder, id)); err != nil {
		return err
	}
	s.identity = id
	return nil
}

// Identity returns the identity of the folder.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

func writeIdentity(fs FileSystem, folder string, id Identity) error {
	id.Format, id.Version = formatName, formatVersion
	data, err := json.Marshal(id)
	if err != nil {
		return ioError(formatFile, 0, err)
	}
	return writeAtomically(fs, filepath.Join(folder, formatFile), append(data, '\n'))
}
