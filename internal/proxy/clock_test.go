package proxy

import (
	"testing"
	"time"
)

// The same start must always be the same instant, or an old start would be taken for a restart.
func TestStartTimesBecomeInstants(t *testing.T) {
	c := clock{started: time.Now()}
	at := c.started.UnixMilli()
	if c.instant(0) != 0 {
		t.Errorf("long ago: %v", c.instant(0))
	}
	if got := c.instant(at - 2000); got != clockEpoch-2*time.Second {
		t.Errorf("two seconds before the start: %v", got)
	}
	if got := c.instant(1); got != 0 {
		t.Errorf("years ago: %v", got)
	}
	if now := c.now(); now < clockEpoch {
		t.Errorf("now: %v", now)
	}
}
