package disk

import (
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
)

// memoryFileSystem is a file system in memory that loses unsynced data in a crash, and fails on
// demand.
type memoryFileSystem struct {
	files map[string]*memoryFile
	// durableNames are the files that a crash leaves, as of the last SyncFolder.
	durableNames map[string]*memoryFile
	// fail is called before each operation with its name and file, and returns the error to inject.
	fail func(operation, name string) error
}

type memoryFile struct {
	name    string
	data    []byte
	durable []byte
}

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{
		files: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{},
		fail: func(string, string) error { return nil },
	}
}

// crash may drop unsynced names, and keeps a random part of the unsynced content, one byte of which
// may be wrong.
func (m *memoryFileSystem) crash(random *rand.Rand) {
	if random.IntN(2) == 0 {
		m.files = maps.Clone(m.durableNames)
	}
	for _, path := range slices.Sorted(maps.Keys(m.files)) {
		m.files[path].crash(random)
	}
	m.durableNames = maps.Clone(m.files)
	m.fail = func(string, string) error { return nil }
}

func (f *memoryFile) crash(random *rand.Rand) {
	kept := slices.Clone(f.durable)
	if len(f.data) > len(kept) && string(f.data[:len(kept)]) == string(kept) {
		extra := slices.Clone(f.data[len(kept):])
		extra = extra[:random.IntN(len(extra)+1)]
		if len(extra) > 0 && random.IntN(2) == 0 {
			extra[random.IntN(len(extra))] ^= 1
		}
		kept = append(kept, extra...)
	} else if cut := random.IntN(len(f.data) + 1); cut < len(kept) {
		// A part of the new content replaces the start of the old content.
		copy(kept, f.data[:cut])
	}
	f.data, f.durable = kept, slices.Clone(kept)
}

func (m *memoryFileSystem) Create(path string) (File, error) {
	if err := m.fail("create", filepath.Base(path)); err != nil {
		return nil, err
	}
	f := &memoryFile{name: filepath.Base(path)}
	m.files[path] = f
	return &memoryHandle{m, f}, nil
}

func (m *memoryFileSystem) Append(path string) (File, error) { return m.Open(path) }

func (m *memoryFileSystem) Open(path string) (File, error) {
	if err := m.fail("open", filepath.Base(path)); err != nil {
		return nil, err
	}
	return &memoryHandle{m, m.files[path]}, nil
}

func (m *memoryFileSystem) Read(path string) ([]byte, error) {
	return slices.Clone(m.files[path].data), m.fail("read", filepath.Base(path))
}

func (m *memoryFileSystem) Rename(from, to string) error {
	if err := m.fail("rename", filepath.Base(to)); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	m.files[to].name = filepath.Base(to)
	delete(m.files, from)
	return nil
}

func (m *memoryFileSystem) Remove(path string) error {
	if err := m.fail("remove", filepath.Base(path)); err != nil {
		return err
	}
	delete(m.files, path)
	return nil
}

func (m *memoryFileSystem) Names(folder string) ([]string, error) {
	var names []string
	for path := range m.files {
		if strings.HasPrefix(path, folder+"/") {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFileSystem) MakeFolder(string) error { return nil }

func (m *memoryFileSystem) SyncFolder(string) error {
	if err := m.fail("syncFolder", ""); err != nil {
		return err
	}
	m.durableNames = maps.Clone(m.files)
	return nil
}

func (m *memoryFileSystem) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memoryFileSystem) Free(string) (uint64, error) { return 1 << 40, m.fail("free", "") }

type memoryHandle struct {
	m *memoryFileSystem
	f *memoryFile
}

// Write writes half of the data if an error is injected.
func (h *memoryHandle) Write(data []byte) (int, error) {
	if err := h.m.fail("write", h.f.name); err != nil {
		h.f.data = append(h.f.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	h.f.data = append(h.f.data, data...)
	return len(data), nil
}

func (h *memoryHandle) ReadAt(data []byte, offset int64) (int, error) {
	return copy(data, h.f.data[offset:]), nil
}

func (h *memoryHandle) Sync() error {
	if err := h.m.fail("sync", h.f.name); err != nil {
		return err
	}
	h.f.durable = slices.Clone(h.f.data)
	return nil
}

func (h *memoryHandle) Truncate(size int64) error {
	if err := h.m.fail("truncate", h.f.name); err != nil {
		return err
	}
	h.f.data = h.f.data[:size:size]
	return nil
}

func (h *memoryHandle) Close() error { return nil }
