package httpserver

import (
	"testing"
	"time"
)

// Guards against a client's time that is counted from the arrival of data that the client sent long
// before, because an endpoint reads slowly and all buffers on the way are full.
func TestArrivalLogBoundsWhenDataWasSent(t *testing.T) {
	const mb = 1 << 20
	start := time.Unix(1000, 0)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	var l arrivalLog
	never := time.Time{}
	for n := range 11 { // 1 MB arrives each second, and the client is never waited for
		l.record(second(n), int64(n)*mb, never)
	}
	for _, c := range []struct {
		end  int64
		want time.Time
	}{
		{10 * mb, second(6)},  // the last byte that has arrived
		{12 * mb, second(8)},  // in the client's buffers
		{14 * mb, second(10)}, // just sent
		{15 * mb, second(20)}, // cannot have been sent
	} {
		if got := l.earliestSend(second(20), c.end); !got.Equal(c.want) {
			t.Errorf("byte %d can have been sent at %v, want %v", c.end, got, c.want)
		}
	}
	if n := len(l.entries); n > maxSendBuffer/arrivalStep+2 {
		t.Errorf("the log has %d entries", n)
	}
	l.record(second(11), 11*mb, never) // arrived without a wait for the client: it may have been sent long ago
	if got := l.earliestSend(second(11), 11*mb); !got.Equal(second(7)) {
		t.Errorf("the latest byte can have been sent at %v, want %v", got, second(7))
	}
	l.record(second(14), 12*mb, second(13)) // a read has waited for the client
	if got := l.earliestSend(second(14), 12*mb); !got.Equal(second(13)) {
		t.Errorf("after a wait for the client, the latest byte can have been sent at %v, want %v", got, second(13))
	}
}

// Guards against taking a client for one that has sent nothing more, whose data is only held back.
func TestClientHasCaughtUpOnceReadsWaitForIt(t *testing.T) {
	const short = maxBurstGap / 2
	now := time.Unix(1000, 0)
	var c catchUp
	for _, step := range []struct {
		name         string
		wasEmpty     bool
		took         time.Duration
		wantCaughtUp bool
	}{
		{"a short wait", true, short, false},
		{"data was waiting", false, 2 * maxBurstGap, false},
		{"a short wait again", true, short, false},
		{"a second one", true, short + 1, true},
	} {
		now = now.Add(step.took)
		c.observeRead(now, step.wasEmpty, step.took)
		if got := c.at.Equal(now); got != step.wantCaughtUp {
			t.Errorf("after %s: caught up %v, want %v", step.name, got, step.wantCaughtUp)
		}
	}
}
