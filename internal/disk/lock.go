package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

const lockFile = "lock"

// Lock implements FileSystem.
//
// Two processes on one folder would each rely on their own term and vote, and overwrite each
// other's entries. The kernel releases the lock when the process ends, however it ends.
func (OS) Lock(folder string) (io.Closer, error) {
	path := filepath.Join(folder, lockFile)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, ioError(path, 0, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &Error{
			Kind: KindLocked, File: lockFile,
			Detail: "another process uses the folder", Cause: err,
		}
	}
	return f, nil
}
