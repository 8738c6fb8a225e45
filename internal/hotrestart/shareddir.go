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

// Names in the shared directory. Processes of different versions share the directory, so the names
// must not change.
const (
	sharedDirPrefix = "rowancart-" // followed by the escaped name of the sidecar
	disabledDir     = "bans"       // directory with one empty file for each disabled endpoint
	snapshotFile    = "learned"
	endpointsFile   = "endpoint-list"
	recentIDsFile   = "recent-ids"
)

// maxDisabledIDBytes is the maximum length in bytes of an endpoint ID that Disable records. The ID
// in hexadecimal must fit into a file name.
const maxDisabledIDBytes = 120

// ErrIDTooLong is returned by Disable for an endpoint ID that does not fit into a file name. Such
// an endpoint can't be disabled.
var ErrIDTooLong = fmt.Errorf("an id of more than %d bytes", maxDisabledIDBytes)

// SharedDir is the directory that the processes of one sidecar share. Any of its methods may fail
// temporarily, for example on a full disk, and can be called again.
type SharedDir struct {
	path  string
	files fileCalls
}

// fileCalls holds the file system calls that tests replace with failing ones.
type fileCalls struct {
	rename func(from, to string) error
	remove func(path string) error
	create func(path string) (*os.File, error) // opens a file for writing and creates it if needed
	lock   func(file *os.File) error           // see tryLock
}

// NewSharedDir returns the shared directory of the sidecar with the given name. It need not exist
// yet. All processes of the sidecar must pass the same parent directory.
func NewSharedDir(parent, name string) *SharedDir {
	return &SharedDir{
		path:  filepath.Join(parent, sharedDirPrefix+url.PathEscape(name)),
		files: fileCalls{rename: os.Rename, remove: os.Remove, create: createFile, lock: tryLock},
	}
}

// OpenSharedDir is like NewSharedDir, and also creates the directory.
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

// EndpointListPath returns the path of the newest endpoint list that any of the processes has had.
// Package snapshot defines its format.
func (d *SharedDir) EndpointListPath() string { return filepath.Join(d.path, endpointsFile) }

// OpenRecentIDs opens the file in which the processes keep the ids of recent requests, and creates
// it if needed. Package recentids defines its content.
func (d *SharedDir) OpenRecentIDs() (*os.File, error) {
	if err := d.Create(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(d.path, recentIDsFile), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, wrapError(err)
	}
	return file, nil
}

// disabledPath returns the path of the file whose existence says that an endpoint is disabled.
func (d *SharedDir) disabledPath(id string) string {
	return filepath.Join(d.path, disabledDir, hex.EncodeToString([]byte(id)))
}

// Disable records that an endpoint is disabled. It is idempotent.
func (d *SharedDir) Disable(id string) error {
	if len(id) > maxDisabledIDBytes {
		return wrapError(ErrIDTooLong)
	}
	f, err := d.files.create(d.disabledPath(id))
	if err != nil {
		return wrapError(err)
	}
	return f.Close()
}

// Enable records that an endpoint is no longer disabled. It is idempotent.
func (d *SharedDir) Enable(id string) error {
	if err := os.Remove(d.disabledPath(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return wrapError(err)
	}
	return nil
}

// DisabledEndpoints holds the content of the directory of disabled endpoints.
type DisabledEndpoints struct {
	IDs          []string
	ForeignFiles []string // names of files that no process of the sidecar wrote
}

// Disabled reads the directory of disabled endpoints.
func (d *SharedDir) Disabled() (DisabledEndpoints, error) {
	files, err := os.ReadDir(filepath.Join(d.path, disabledDir))
	if err != nil {
		return DisabledEndpoints{}, wrapError(err)
	}
	var disabled DisabledEndpoints
	for _, file := range files {
		id, err := hex.DecodeString(file.Name())
		if err != nil || len(id) == 0 {
			disabled.ForeignFiles = append(disabled.ForeignFiles, file.Name())
			continue
		}
		disabled.IDs = append(disabled.IDs, string(id))
	}
	return disabled, nil
}

// wrapError adds the prefix of this package's errors. Responses of the admin interface contain the
// prefix, so it must not change.
func wrapError(err error) error { return fmt.Errorf("upgrade: %w", err) }
