// Package snapshot keeps the state of a process in one file, from which its successor can start.
//
// A file is used completely or not at all: it carries its format, its version and a checksum, and
// it is replaced by a rename. Read returns one of the errors below for a file that can't be used.
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
	// maxFileBytes is how much of a file is read. A longer one is taken for a corrupt one.
	maxFileBytes = 256 << 20
	// maxClockSkew is how far in the future a snapshot may have been written. Clocks of one machine
	// are corrected by seconds. One that was an hour ahead says nothing of how old a snapshot is.
	maxClockSkew = 5 * time.Second
)

// Errors that say why a snapshot is not used.
var (
	ErrNotFound   = errors.New("there is none")
	ErrCorrupt    = errors.New("it is broken or cut")
	ErrVersion    = errors.New("it is of another version")
	ErrExpired    = errors.New("it is too old")
	ErrFromFuture = errors.New("it was written in the future")
)

// temporarySuffix, with random digits, ends the name of a file that is being written.
const temporarySuffix = ".new-"

// RemoveLeftovers removes the temporary files of writes to path that a kill has cut off. A write in
// progress fails by it: the caller must be the only writer, or the others must write again.
func RemoveLeftovers(path string) error {
	files, err := filepath.Glob(path + temporarySuffix + "*")
	for _, file := range files {
		err = errors.Join(err, os.Remove(file))
	}
	return err
}

// Write replaces the file at path by a snapshot of a value, in JSON, as of now. The old file stays
// until the new one is complete on disk, even if the machine fails. Temporary files are in the same
// directory; the caller must hold the lock of the path (see Lock) where others may write it too.
func Write(path string, now time.Time, value any) error {
	return replaceFile(path, now, value, true)
}

// WriteNoSync is like Write but doesn't wait for the disk. It is for a directory that lasts no
// longer than the machine runs.
func WriteNoSync(path string, now time.Time, value any) error {
	return replaceFile(path, now, value, false)
}

// replaceFile writes a temporary file and renames it to path. With sync it waits for the disk in
// between: a rename may reach the disk before the content does.
func replaceFile(path string, now time.Time, value any, sync bool) error {
	text, err := encode(now, value)
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", path, err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+temporarySuffix+"*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	_, err = f.Write(text)
	if err == nil && sync {
		err = f.Sync()
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

// Read decodes the file at path into value and returns how long ago it was written, never less than
// zero. A file that is older than maxAge is not used. The error is, or wraps, one of the package's
// errors unless the file system failed.
func Read(path string, now time.Time, maxAge time.Duration, value any) (age time.Duration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("snapshot %s: %w", path, err)
		}
	}()
	text, err := readFile(path)
	if err != nil {
		return 0, err
	}
	h, content, err := decode(text)
	if err != nil {
		return 0, err
	}
	age = now.Sub(time.UnixMilli(h.WrittenMs))
	switch {
	case age < -maxClockSkew:
		return 0, fmt.Errorf("%w, in %v by this machine's clock", ErrFromFuture, -age.Round(time.Second))
	case age > maxAge:
		return 0, fmt.Errorf("%w: %v, and %v is the most", ErrExpired, age.Round(time.Second), maxAge)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return 0, ErrCorrupt
	}
	return max(age, 0), nil
}

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
