// Package asynclog keeps a log that is slow, full or broken from holding up those who write to it.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queuedLines  = 1024                   // that wait to be written; more are dropped
	flushTimeout = 200 * time.Millisecond // for what is queued, at the end
)

// Writer writes lines to another writer in a goroutine of its own. It never blocks: where too many
// lines wait, it drops the new ones, and says later how many. It is safe for concurrent use.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flushed chan struct{} // closed once all lines up to the nil that Close queues have been written
}

// New returns a Writer to a target, which may fail: its errors are ignored.
func New(target io.Writer) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, queuedLines), flushed: make(chan struct{})}
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

// run writes lines until Close.
func (w *Writer) run() {
	defer close(w.flushed)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.target.Write(line) // a log that fails is not logged
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.target, "level=WARN msg=\"log lines were dropped\" lines=%d\n", n)
		}
	}
}

// Close writes what is queued, as far as that takes no longer than flushTimeout. Lines that follow
// are dropped.
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
