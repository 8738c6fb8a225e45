// Package hotrestart is what the processes of one sidecar share while one takes over from another:
// which of them are running, which endpoints the operators have disabled, and the learned state.
// Each fact is a file of its own in one directory. So writers can't undo each other's changes, and
// a process that is killed leaves nothing half done.
package hotrestart

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
)

// The files of a shared directory. Processes of different versions meet there, so these names must
// not change.
const (
	sharedDirPrefix = "rowancart-" // then the escaped name of the sidecar
	disabledDir     = "bans"       // a directory: one empty file for each disabled endpoint
	snapshotFile    = "learned"
)

// maxDisabledID is the length in bytes of the longest endpoint ID that can be disabled. Its
// hexadecimal form has to fit a file name.
const maxDisabledID = 120

// ErrIDTooLong says that an endpoint's ID does not fit a file name: it can't be disabled.
var ErrIDTooLong = fmt.Errorf("an id of more than %d bytes", maxDisabledID)

// SharedDir is the directory that the processes of one sidecar share. It may fail for a while, as a
// full disk does: all its methods can be called again.
type SharedDir struct {
	path  string
	files fileCalls
}

// fileCalls are the calls of the file system that tests let fail.
type fileCalls struct {
	rename func(from, to string) error
	remove func(path string) error
	create func(path string) (*os.File, error) // opens a file for writing, and creates it unless it exists
	lock   func(file *os.File) error           // see tryLock
}

// NewSharedDir returns the shared directory of the sidecar of that name, which need not exist yet.
// The parent is a directory that all processes of the sidecar have in common.
func NewSharedDir(parent, name string) *SharedDir {
	return &SharedDir{
		path:  filepath.Join(parent, sharedDirPrefix+url.PathEscape(name)),
		files: fileCalls{rename: os.Rename, remove: os.Remove, create: createFile, lock: tryLock},
	}
}

// OpenSharedDir returns the shared directory of the sidecar of that name, created.
func OpenSharedDir(parent, name string) (*SharedDir, error) {
	d := NewSharedDir(parent, name)
	return d, d.Create()
}

// Create creates the directory unless it exists.
func (d *SharedDir) Create() error {
	if err := os.MkdirAll(filepath.Join(d.path, disabledDir), 0o700); err != nil {
		return wrapError(err)
	}
	return nil
}

// createFile implements fileCalls.create.
func createFile(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|syscall.O_CLOEXEC, 0o600)
}

// SnapshotPath returns the path of the snapshot of learned state. The predecessor writes it and its
// successor reads it, both by package snapshot.
func (d *SharedDir) SnapshotPath() string { return filepath.Join(d.path, snapshotFile) }

// disabledPath returns the path of the file whose existence says that an endpoint is disabled.
func (d *SharedDir) disabledPath(id string) string {
	return filepath.Join(d.path, disabledDir, hex.EncodeToString([]byte(id)))
}

// Disable records that an endpoint is disabled. It may be recorded already.
func (d *SharedDir) Disable(id string) error {
	if len(id) > maxDisabledID {
		return wrapError(ErrIDTooLong)
	}
	f, err := d.files.create(d.disabledPath(id))
	if err != nil {
		return wrapError(err)
	}
	return f.Close()
}

// Enable records that an endpoint is no longer disabled. It need not have been.
func (d *SharedDir) Enable(id string) error {
	if err := os.Remove(d.disabledPath(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return wrapError(err)
	}
	return nil
}

// Disabled returns the IDs of the disabled endpoints, and the names of files that stand for no
// endpoint: something else has written them.
func (d *SharedDir) Disabled() (ids, foreign []string, err error) {
	files, err := os.ReadDir(filepath.Join(d.path, disabledDir))
	if err != nil {
		return nil, nil, wrapError(err)
	}
	for _, file := range files {
		id, err := hex.DecodeString(file.Name())
		if err != nil || len(id) == 0 {
			foreign = append(foreign, file.Name())
			continue
		}
		ids = append(ids, string(id))
	}
	return ids, foreign, nil
}

// wrapError adds the prefix of this package's errors. It is older than the package's name; the
// answers of the admin interface show it, so it stays.
func wrapError(err error) error { return fmt.Errorf("upgrade: %w", err) }
