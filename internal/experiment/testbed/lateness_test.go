package testbed

import (
	"testing"
	"time"
)

func TestLatenessP99(t *testing.T) {
	var l lateness
	if got := l.p99(); got != 0 {
		t.Errorf("without requests: got %v, want 0", got)
	}
	for i := 200; i > 0; i-- {
		l.add(time.Duration(i) * time.Millisecond)
	}
	if got, want := l.p99(), 199*time.Millisecond; got != want {
		t.Errorf("of 1 to 200 ms: got %v, want %v", got, want)
	}
}
