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
	for n := range 11 { // 1 MB arrives each second, and the receive buffer is full
		l.record(second(n), int64(n)*mb, true)
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
	l.record(second(11), 11*mb, false) // the receive buffer was read empty
	if got := l.earliestSend(second(11), 11*mb); !got.Equal(second(11)) {
		t.Errorf("with nothing in the client's buffers, the latest byte can have been sent at %v, want now", got)
	}
}
