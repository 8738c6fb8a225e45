// Package filewatch follows the content of a file, however it is changed: written in place,
// replaced by a rename, or reached through links that are changed.
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
	// settleDelay is the time from the last event to reading the file. A change causes several events
	// in a row, and a file that is written in place is incomplete at first.
	settleDelay = 20 * time.Millisecond
	// pollInterval is the time between two readings without an event. Some file systems send no
	// events, and a change of a link in another directory causes none.
	pollInterval = 5 * time.Second
)

// File calls onChange whenever the content of the file at path differs from what it was; at first
// it is compared with known. A file that can't be read counts as unchanged: editors that replace a
// file remove it for a moment.
//
// All calls come from the goroutine of File, which returns nil when ctx ends, or an error at once
// if the file's directory can't be watched.
func File(ctx context.Context, path string, known []byte, onChange func(text []byte)) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer watcher.Close()
	dir := filepath.Dir(path)
	if err := watcher.Add(dir); err != nil { // after a rename, the file itself is another one
		return fmt.Errorf("watch %s: %w", dir, err)
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	settled := time.NewTimer(0) // expires at once, for a change that came before the watch
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
		case <-watcher.Errors: // events were lost
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
