// Package filewatch reports changes to the content of a file, whether the file is written in place,
// replaced by a rename, or reached through symbolic links that change.
package filewatch

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// settleDelay is the time between the last event and reading the file. A change causes several
	// events in a row, and a file that is written in place is incomplete at first.
	settleDelay = 20 * time.Millisecond
	// pollInterval is the interval at which the file is read even without an event. Some file
	// systems send no events, and a change to a link in another directory causes none.
	pollInterval = 5 * time.Second
)

// File calls onChange whenever the content of the file at path has changed. The first content that
// it reads is compared with known. A file that can't be read counts as unchanged, because editors
// that replace a file remove it for a moment.
//
// All calls of onChange come from the goroutine that called File. File returns nil when ctx ends,
// or an error at once if the file's directory can't be watched.
func File(ctx context.Context, path string, known []byte, onChange func(text []byte)) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("create file watcher: %w", err)
	}
	defer watcher.Close()
	dir := filepath.Dir(path)
	if err := watcher.Add(dir); err != nil { // a watch on the file itself would end when a rename replaces it
		return fmt.Errorf("watch directory %s: %w", dir, err)
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	settled := time.NewTimer(0) // expires at once, to find a change made before the watch began
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case _, ok := <-watcher.Events:
			if !ok {
				return nil
			}
			settled.Reset(settleDelay)
			continue
		case <-watcher.Errors: // events were lost, so read the file
		case <-settled.C:
		case <-poll.C:
		}
		text, err := os.ReadFile(path)
		if err == nil && !bytes.Equal(text, known) {
			known = text
			onChange(text)
		}
	}
}
