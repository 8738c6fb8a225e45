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
	progressSteps    = 1000 // of the bar
	progressWidth    = 40   // columns of the bar
	progressInterval = 100 * time.Millisecond
)

// progressDisplay shows the progress of several runs: on a terminal as a bar, and elsewhere as a
// line for each complete run.
type progressDisplay struct {
	mu       sync.Mutex
	w        io.Writer
	bar      *progressbar.ProgressBar // nil: w is not a terminal
	lastDone int                      // of the last line
}

func newProgressDisplay(w io.Writer) *progressDisplay {
	d := &progressDisplay{w: w, lastDone: -1}
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		d.bar = progressbar.NewOptions(progressSteps,
			progressbar.OptionSetWriter(w),
			progressbar.OptionSetWidth(progressWidth),
			progressbar.OptionClearOnFinish(),
			progressbar.OptionThrottle(progressInterval))
	}
	return d
}

// show shows that some of all runs are done, and a fraction of the present one.
func (d *progressDisplay) show(done, all int, fraction float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.bar != nil:
		_ = d.bar.Set(int(progressSteps * (float64(done) + fraction) / float64(all))) // the bar is not essential
	case done != d.lastDone:
		d.lastDone = done
		fmt.Fprintf(d.w, "played %d of %d\n", done, all)
	}
}

// finish removes the bar.
func (d *progressDisplay) finish() {
	if d.bar != nil {
		_ = d.bar.Finish()
	}
}
