package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of a data folder.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FileSystem is the part of a file system that a data folder uses; tests inject faults into it.
type FileSystem interface {
	// Create opens a new file for writing and reading, and replaces an old one.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end and reading.
	Append(path string) (File, error)
	Open(path string) (File, error)
	Read(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// Names lists the files of a folder, sorted.
	Names(folder string) ([]string, error)
	MakeFolder(folder string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
	// Lock prevents other processes from using a folder until the closer is closed; it fails with
	// an *Error of KindLocked if another process uses the folder already.
	Lock(folder string) (io.Closer, error)
	// Free returns the bytes that may still be written.
	Free(folder string) (uint64, error)
}

// fileMode and folderMode deny access to other users of the VM.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OS is the file system of the VM.
type OS struct{}

// Create implements FileSystem.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Append implements FileSystem.
func (OS) Append(path string) (File, error) { return open(path, os.O_RDWR|os.O_APPEND) }

// Open implements FileSystem.
func (OS) Open(path string) (File, error) { return open(path, os.O_RDONLY) }

func open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Read implements FileSystem.
func (OS) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OS) Remove(path string) error { return os.Remove(path) }

// MakeFolder implements FileSystem.
func (OS) MakeFolder(folder string) error { return os.MkdirAll(folder, folderMode) }

// Names implements FileSystem.
func (OS) Names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncFolder implements FileSystem.
func (OS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}

// Free implements FileSystem.
func (OS) Free(folder string) (uint64, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(folder, &stat); err != nil {
		return 0, err
	}
	return stat.Bavail * uint64(stat.Bsize), nil
}

// ioError returns an error of the file system as an *Error of KindFull or KindIO.
func ioError(path string, offset int64, err error) error {
	kind := KindIO
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		kind = KindFull
	}
	return &Error{Kind: kind, File: filepath.Base(path), Offset: offset, Cause: err}
}

func syncError(path string, err error) error {
	return &Error{Kind: KindSync, File: filepath.Base(path), Cause: err}
}

// writeAtomically writes a complete file under a temporary name, syncs it and renames it, so that a
// crash leaves the old or the new file and never a part of one.
func writeAtomically(fs FileSystem, path string, parts ...[]byte) error {
	temporary := path + temporarySuffix
	f, err := fs.Create(temporary)
	if err != nil {
		return ioError(path, 0, err)
	}
	if err := writeParts(f, path, parts); err != nil {
		_ = f.Close()
		_ = fs.Remove(temporary)
		return err
	}
	if err := f.Close(); err != nil {
		return ioError(path, 0, err)
	}
	if err := fs.Rename(temporary, path); err != nil {
		return ioError(path, 0, err)
	}
	if err := fs.SyncFolder(filepath.Dir(path)); err != nil {
		return syncError(path, err)
	}
	return nil
}

func writeParts(f File, path string, parts [][]byte) error {
	offset := int64(0)
	for _, part := range parts {
		n, err := f.Write(part)
		if err != nil {
			return ioError(path, offset+int64(n), err)
		}
		offset += int64(n)
	}
	if err := f.Sync(); err != nil {
		return syncError(path, err)
	}
	return nil
}

const temporarySuffix = ".tmp"
