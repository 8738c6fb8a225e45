package proxy

import (
	"testing"
	"time"
)

// The same start time must always convert to the same instant. Otherwise a known start would be
// mistaken for a restart.
func TestStartTimesBecomeInstants(t *testing.T) {
	c := clock{started: time.Now()}
	at := c.started.UnixMilli()
	if c.instant(0) != 0 {
		t.Errorf("Unix time 0, which means long ago: got instant %v, want 0", c.instant(0))
	}
	if got := c.instant(at - 2000); got != clockEpoch-2*time.Second {
		t.Errorf("two seconds before the clock's start: got instant %v, want clockEpoch-2s", got)
	}
	if got := c.instant(1); got != 0 {
		t.Errorf("years before the clock's start: got instant %v, want 0", got)
	}
	if now := c.now(); now < clockEpoch {
		t.Errorf("current instant is %v, want at least clockEpoch", now)
	}
}
