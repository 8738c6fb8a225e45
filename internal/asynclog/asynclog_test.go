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
func (s *blockingTarget) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
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
		t.Errorf("%q", got)
	}
}

// Writes of the log do not end: neither Write nor Close blocks on them, and dropped lines are
// counted.
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
			t.Errorf("the dropped lines are not counted: %.200q", got)
		}
		w.Close() // all queued lines have been written
	})
}
