package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// lockSuffix ends the name of the file that is locked.
const lockSuffix = ".lock"

// ErrLocked is returned by Lock where another process holds the lock.
var ErrLocked = errors.New("another process writes it")

// Lock makes this process the only one that writes the file at path, until the returned lock is
// closed or the process exits. It does not block: if another process holds the lock, it returns an
// error that wraps ErrLocked. The lock is an flock of a second file, since the snapshot itself is
// replaced at each write. That file is never removed.
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
