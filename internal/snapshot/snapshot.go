// Package snapshot stores the state of a process in one file, which its successor reads when it
// starts.
//
// A file is used completely or not at all: it has a format name, a version and a checksum, and it
// is replaced atomically by a rename. Read returns one of the errors below for a file that can't be
// used.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxFileBytes is the maximum size of a file. A longer file counts as corrupt.
	maxFileBytes = 256 << 20
	// maxClockSkew limits how far in the future a snapshot's time of writing may be. Clocks are
	// usually corrected by a few seconds. If the clock was an hour ahead when the snapshot was
	// written, the age of the snapshot is unknown.
	maxClockSkew = 5 * time.Second
)

// Reasons why a snapshot is not used.
var (
	ErrNotFound   = errors.New("not found")
	ErrCorrupt    = errors.New("corrupt or truncated")
	ErrVersion    = errors.New("unsupported version")
	ErrExpired    = errors.New("too old")
	ErrFromFuture = errors.New("written in the future")
)

// temporarySuffix, followed by random digits, is the suffix of the name of a file that is being
// written.
const temporarySuffix = ".new-"

// RemoveLeftovers removes the temporary files of processes that were killed while they wrote to
// path. It makes a write in progress fail, so the caller must be the only writer, or the other
// writers must retry.
func RemoveLeftovers(path string) error {
	files, err := filepath.Glob(path + temporarySuffix + "*")
	for _, file := range files {
		err = errors.Join(err, os.Remove(file))
	}
	return err
}

// Write replaces the file at path with a snapshot of a value, in JSON; now is its time of writing.
// The old file remains until the new one is complete on disk, even if the machine crashes. The
// temporary file is in the same directory. The caller must hold the lock of the path (see Lock) if
// other processes may write it too.
func Write(path string, now time.Time, value any) error {
	return replaceFile(path, now, value, (*os.File).Sync)
}

// WriteNoSync is like Write but doesn't wait for the disk. It is for a directory whose content is
// lost anyway when the machine restarts.
func WriteNoSync(path string, now time.Time, value any) error {
	return replaceFile(path, now, value, func(*os.File) error { return nil })
}

// replaceFile writes a temporary file, syncs it and renames it to path. Without the sync, the
// rename could reach the disk before the content of the file.
func replaceFile(path string, now time.Time, value any, sync func(*os.File) error) error {
	text, err := Encode(now, value)
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", path, err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+temporarySuffix+"*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = sync(f)
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), os.Remove(f.Name()))
	}
	return nil
}

// Read decodes the file at path into value and returns the file's age, which is never negative. A
// file older than maxAge is not used. The error wraps one of the reasons above unless a file system
// operation failed.
func Read(path string, now time.Time, maxAge time.Duration, value any) (age time.Duration, err error) {
	f, err := open(path)
	if err != nil {
		return 0, fmt.Errorf("snapshot %s: %w", path, err)
	}
	age = now.Sub(f.writtenAt())
	switch {
	case age < -maxClockSkew:
		err = fmt.Errorf("%w: %v ahead of this machine's clock", ErrFromFuture, -age.Round(time.Second))
	case age > maxAge:
		err = fmt.Errorf("%w: age %v, maximum %v", ErrExpired, age.Round(time.Second), maxAge)
	default:
		err = f.unmarshal(value)
	}
	if err != nil {
		return 0, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return max(age, 0), nil
}

// ReadAnyAge is like Read for content whose use doesn't depend on its age. It returns the time of
// writing.
func ReadAnyAge(path string, value any) (writtenAt time.Time, err error) {
	text, err := readFile(path)
	if err == nil {
		writtenAt, err = Decode(text, value)
	}
	if err != nil {
		return time.Time{}, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return writtenAt, nil
}

// Decode decodes the text of a snapshot file into value, and returns its time of writing. The error
// wraps ErrCorrupt or ErrVersion.
func Decode(text []byte, value any) (writtenAt time.Time, err error) {
	f, err := decode(text)
	if err != nil {
		return time.Time{}, err
	}
	return f.writtenAt(), f.unmarshal(value)
}

// open reads and decodes the file at path.
func open(path string) (file, error) {
	text, err := readFile(path)
	if err != nil {
		return file{}, err
	}
	return decode(text)
}

// unmarshal decodes the content into value.
func (f file) unmarshal(value any) error {
	if json.Unmarshal(f.content, value) != nil {
		return ErrCorrupt
	}
	return nil
}

// readFile returns the text of the file at path.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes))
}
