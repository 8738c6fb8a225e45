package snapshot

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// Lock makes this process the only one that writes the file at path, until the returned lock is
// closed or the process ends. It fails at once if another process holds the lock. The lock is an
// flock of a file beside the snapshot, since the snapshot itself is replaced at each write; that
// file stays.
func Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("snapshot %s: another process writes it: %w", path, err)
	}
	return f, nil
}
