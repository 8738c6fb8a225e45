package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// lockSuffix is the suffix of the name of the lock file.
const lockSuffix = ".lock"

// ErrLocked is returned by Lock if another process holds the lock.
var ErrLocked = errors.New("locked by another process")

// Lock reserves writing the file at path for this process, until the returned lock is closed or the
// process exits. It does not block: if another process holds the lock, Lock returns an error that
// wraps ErrLocked. The lock is an flock on a second file, because each write replaces the snapshot
// file itself. The second file is never removed.
func Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path+lockSuffix, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("snapshot %s: %w: %w", path, ErrLocked, err)
	}
	return f, nil
}
