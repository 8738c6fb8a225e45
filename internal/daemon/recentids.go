package daemon

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"rowancart/internal/recentids"
)

// recentIDsFile is the name under which a successor inherits the file with the ids of recent
// requests. Processes of different versions use it, so it must not change.
const recentIDsFile = "recent-ids"

// sharedIDs are the ids of recent requests of all pools. A successor shares them, so that a request
// that this process has received is not run again by the other.
type sharedIDs struct {
	set  *recentids.Set
	file *os.File // nil: the ids cannot be shared
}

// openSharedIDs returns the ids in the predecessor's file, or in a new one if file is nil. If the
// file cannot be used, it returns ids of this process alone, and the error.
func openSharedIDs(file *os.File) (sharedIDs, error) {
	if file == nil {
		fd, err := unix.MemfdCreate(recentIDsFile, unix.MFD_CLOEXEC)
		if err != nil {
			return sharedIDs{set: recentids.New()}, fmt.Errorf("recent ids: memfd_create: %w", err)
		}
		file = os.NewFile(uintptr(fd), recentIDsFile)
	}
	set, err := recentids.Open(file)
	if err != nil {
		file.Close()
		return sharedIDs{set: recentids.New()}, err
	}
	return sharedIDs{set: set, file: file}, nil
}

// files returns what a successor inherits.
func (s *sharedIDs) files() map[string]*os.File {
	files := map[string]*os.File{}
	if s.file != nil {
		files[recentIDsFile] = s.file
	}
	return files
}
