// Package asynclog provides a log writer that never blocks, even if the target of the log is slow,
// full or closed.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"rowancart/internal/logkey"
)

const (
	maxQueuedLines = 1024                   // further lines are dropped
	flushTimeout   = 200 * time.Millisecond // maximum time that Close waits
)

// Writer writes lines to another writer in its own goroutine, which New starts and Close ends. It
// never blocks: while maxQueuedLines lines are queued, it drops new ones, and later logs how many
// it has dropped. It is safe for concurrent use.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flushed chan struct{} // closed once run has written all lines before the nil that Close queues
}

// New returns a Writer that writes to target. Errors of the target are ignored.
func New(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, maxQueuedLines), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append(make([]byte, 0, len(line)), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines to the target until Close is called.
func (w *Writer) run() {
	defer close(w.flushed)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.target.Write(line) // the error can't be logged: there is no other log
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.target, "level=WARN msg=\"log lines dropped\" %s=%d\n", logkey.Count, n)
		}
	}
}

// Close waits until the queued lines have been written, but at most flushTimeout. Lines that are
// written later are dropped.
func (w *Writer) Close() {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case w.lines <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-w.flushed:
	case <-timeout.C:
	}
}
