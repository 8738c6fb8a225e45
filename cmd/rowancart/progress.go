package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

const (
	progressSteps    = 1000                   // resolution of the bar
	progressWidth    = 40                     // width of the bar in columns
	progressInterval = 100 * time.Millisecond // minimum time between two updates of the bar
)

// progressDisplay shows how many runs of an experiment, or sites of a search, are completed. On a
// terminal it draws a bar; elsewhere it writes a line whenever the number changes.
type progressDisplay struct {
	mu           sync.Mutex
	w            io.Writer
	bar          *progressbar.ProgressBar // nil: w is not a terminal
	lastReported int                      // number of completed items in the last line; -1: no line yet
}

func newProgressDisplay(w io.Writer) *progressDisplay {
	d := &progressDisplay{w: w, lastReported: -1}
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		d.bar = progressbar.NewOptions(progressSteps,
			progressbar.OptionSetWriter(w),
			progressbar.OptionSetWidth(progressWidth),
			progressbar.OptionClearOnFinish(),
			progressbar.OptionThrottle(progressInterval))
	}
	return d
}

// show updates the display: done of total items are completed, and a fraction of the current one.
func (d *progressDisplay) show(done, total int, fraction float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.bar != nil:
		_ = d.bar.Set(int(progressSteps * (float64(done) + fraction) / float64(total))) // an error affects only the bar
	case done != d.lastReported:
		d.lastReported = done
		fmt.Fprintf(d.w, "completed %d of %d\n", done, total)
	}
}

// finish removes the bar.
func (d *progressDisplay) finish() {
	if d.bar != nil {
		_ = d.bar.Finish()
	}
}
