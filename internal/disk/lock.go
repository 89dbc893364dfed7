package disk

import (
	"os"
	"path/filepath"
	"syscall"
)

const lockFile = "lock"

// folderLock keeps a second process away from a data folder.
//
// Two processes on one folder would each believe in their own term and vote,
// and write over each other's entries. The kernel frees the lock when its
// process dies, however it dies.
type folderLock struct{ file *os.File }

func lockFolder(folder string) (*folderLock, error) {
	path := filepath.Join(folder, lockFile)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, failed(path, 0, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &Error{
			Kind: KindLocked, File: lockFile,
			Detail: "another process uses the folder", Cause: err,
		}
	}
	return &folderLock{file: f}, nil
}

func (l *folderLock) release() error {
	if l == nil || l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if err != nil {
		return failed(lockFile, 0, err)
	}
	return nil
}
