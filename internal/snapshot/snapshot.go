// Package snapshot keeps what a process knows in one file, from which its successor can begin. A file is whole or ignored: it
// carries its form, its version and a checksum, and is replaced by rename.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	form    = "rowancart snapshot"
	version = 1
	longest = 256 << 20 // bytes of a file that is read
	// ahead is how far in the future a snapshot may have been written: clocks of one machine are set by seconds, and one that
	// was an hour ahead tells nothing of how old a snapshot is.
	ahead = 5 * time.Second
)

// head is the first line of a file; the content follows.
type head struct {
	Form      string `json:"form"`
	Version   int    `json:"version"`
	WrittenMs int64  `json:"written_ms"` // Unix time
	Bytes     int    `json:"bytes"`
	Sum       string `json:"xxhash64"` // of the content
}

// Errors that say why a snapshot is not used.
var (
	ErrNotFound   = errors.New("there is none")
	ErrCorrupt    = errors.New("it is broken or cut")
	ErrVersion    = errors.New("it is of another version")
	ErrExpired    = errors.New("it is too old")
	ErrFromFuture = errors.New("it was written in the future")
)

// Write puts a value into the file at path, as of now. Until it is all there the old file stands, also where the machine fails.
func Write(path string, now time.Time, value any) error { return replace(path, now, value, true) }

// WriteNoSync is Write for a folder that lasts no longer than the machine runs: it does not wait for the disk.
func WriteNoSync(path string, now time.Time, value any) error {
	return replace(path, now, value, false)
}

func replace(path string, now time.Time, value any, durable bool) error {
	content, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", path, err)
	}
	first, err := json.Marshal(head{form, version, now.UnixMilli(), len(content), sum(content)})
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", path, err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	err = errors.Join(fill(f, durable, first, content), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), os.Remove(f.Name()))
	}
	return nil
}

func fill(f *os.File, durable bool, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := f.Write(append(p, '\n')); err != nil {
			return err
		}
	}
	if !durable {
		return nil
	}
	return f.Sync() // a rename may reach the disk before the content does
}

func sum(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }

// Read reads the file at path into value and tells how long ago it was written. One written longer ago than most is not used.
func Read(path string, now time.Time, most time.Duration, value any) (ago time.Duration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("snapshot %s: %w", path, err)
		}
	}()
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, ErrNotFound
	}
	if err != nil {
		return 0, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, longest))
	if err != nil {
		return 0, err
	}
	end := 0
	for end < len(text) && text[end] != '\n' {
		end++
	}
	var h head
	if err := json.Unmarshal(text[:end], &h); err != nil || h.Form != form {
		return 0, ErrCorrupt
	}
	if h.Version != version {
		return 0, fmt.Errorf("%w: %d, and this program reads %d", ErrVersion, h.Version, version)
	}
	if len(text) != end+1+h.Bytes+1 || sum(text[end+1:len(text)-1]) != h.Sum {
		return 0, ErrCorrupt
	}
	ago = now.Sub(time.UnixMilli(h.WrittenMs))
	switch {
	case ago < -ahead:
		return 0, fmt.Errorf("%w, in %v by this machine's clock", ErrFromFuture, -ago.Round(time.Second))
	case ago > most:
		return 0, fmt.Errorf("%w: %v, and %v is the most", ErrExpired, ago.Round(time.Second), most)
	}
	if err := json.Unmarshal(text[end+1:], value); err != nil {
		return 0, ErrCorrupt
	}
	return max(ago, 0), nil
}

// Lock makes this process the one that writes the file at path, until the lock that it gives is closed or the process ends. It
// fails while another process does.
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
