package httpserver

import (
	"testing"
	"time"
)

// Guards against a connection whose unsound requests take all of the server's work.
func TestUnservedRequestsAreSpaced(t *testing.T) {
	start := time.Unix(1000, 0)
	var share workShare
	now := start
	const seconds, perSecond = 3, int(time.Second / unservedInterval)
	handled := 0
	for ; now.Before(start.Add(seconds * time.Second)); handled++ {
		now = now.Add(share.pauseAfterUnserved(now) + 10*time.Microsecond)
	}
	if most := seconds*perSecond + unservedBurst + 1; handled > most || handled < most-unservedBurst {
		t.Errorf("%d requests in %d s, want about %d", handled, seconds, most)
	}
	now = now.Add(time.Second)
	for range unservedBurst {
		if pause := share.pauseAfterUnserved(now); pause > 0 {
			t.Fatalf("after a rest, a request of a burst is followed by a pause of %v", pause)
		}
	}
}
