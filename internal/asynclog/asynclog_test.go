package asynclog

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stallingTarget blocks each write until it is released.
type stallingTarget struct {
	release chan struct{}
	text    strings.Builder
}

// Write implements io.Writer.
func (s *stallingTarget) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	target := &stallingTarget{release: make(chan struct{})}
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

// Nobody reads the log: writing it does not block, what does not fit is counted, and the end does
// not wait for it.
func TestStalledTargetHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &stallingTarget{release: make(chan struct{})}
		w := New(target)
		fmt.Fprintln(w, "first")
		synctest.Wait()
		const surplus = 5
		for range queuedLines + surplus {
			fmt.Fprintln(w, "more")
		}
		began := time.Now()
		w.Close()
		if took := time.Since(began); took != flushTimeout {
			t.Errorf("the end took %v", took)
		}
		close(target.release)
		synctest.Wait()
		if got := target.text.String(); !strings.Contains(got, fmt.Sprintf("lines=%d\n", surplus)) {
			t.Errorf("the dropped lines are not counted: %.200q", got)
		}
		w.Close() // what is queued has been written
	})
}
