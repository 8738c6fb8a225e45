// Package filewatch follows the content of a file, however it is changed: written in place, replaced by rename, or reached
// through links that move.
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
	settle = 20 * time.Millisecond // after an event, for those that come with it
	look   = 5 * time.Second       // some file systems tell of no events
)

// File calls changed from one goroutine, until ctx ends, each time that the file's content is another than before, begun
// with known. A file that can't be read counts as unchanged: editors that replace a file take it away for a moment. It
// returns once ctx has ended, or at once with an error if the folder can't be watched.
func File(ctx context.Context, path string, known []byte, changed func(text []byte)) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer w.Close()
	if err := w.Add(filepath.Dir(path)); err != nil { // the file itself may be another one after a rename
		return fmt.Errorf("watch %s: %w", filepath.Dir(path), err)
	}
	tick := time.NewTicker(look)
	defer tick.Stop()
	pause := time.NewTimer(0) // what changed before the watch began
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case _, ok := <-w.Events:
			if !ok {
				return nil
			}
			pause.Reset(settle)
			continue
		case <-w.Errors: // events were lost: the file is looked at
		case <-pause.C:
		case <-tick.C:
		}
		text, err := os.ReadFile(path)
		if err == nil && !bytes.Equal(text, known) {
			known = text
			changed(text)
		}
	}
}
