package asynclog

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockingTarget blocks each write until it is released.
type blockingTarget struct {
	release chan struct{}
	text    strings.Builder
}

// Write implements io.Writer.
func (b *blockingTarget) Write(line []byte) (int, error) {
	<-b.release
	return b.text.Write(line)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	target := &blockingTarget{release: make(chan struct{})}
	close(target.release)
	w := New(target)
	for i := range 3 {
		fmt.Fprintln(w, i)
	}
	w.Close()
	if got := target.text.String(); got != "0\n1\n2\n" {
		t.Errorf("the target received %q", got)
	}
}

// The target blocks in every write. Write must not block, Close must return after flushTimeout, and
// the number of dropped lines must be logged.
func TestBlockedTargetBlocksNoWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &blockingTarget{release: make(chan struct{})}
		w := New(target)
		fmt.Fprintln(w, "first")
		synctest.Wait()
		const surplus = 5
		for range maxQueuedLines + surplus {
			fmt.Fprintln(w, "more")
		}
		began := time.Now()
		w.Close()
		if took := time.Since(began); took != flushTimeout {
			t.Errorf("Close took %v", took)
		}
		close(target.release)
		synctest.Wait()
		if got := target.text.String(); !strings.Contains(got, fmt.Sprintf("msg=\"log lines dropped\" count=%d\n", surplus)) {
			t.Errorf("the number of dropped lines is not logged: %.200q", got)
		}
		w.Close() // all queued lines have been written, so it returns at once
	})
}
