package httpserver

import (
	"testing"
	"time"
)

// A caller may take 2 s for a head and send its body at 64 kB a second, in pieces; one that sends no whole request is owed an end within 3 s.
func TestThePaceOfABody(t *testing.T) {
	came := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return came.Add(time.Duration(s * float64(time.Second))) }
	for _, row := range []struct {
		name             string
		head, piece, gap float64 // seconds, bytes, seconds
		pieces           int
		ok               bool
	}{
		{"at once", 0, 1 << 20, 0.001, 32, true},
		{"at the least pace", 0, 6_400, 0.1, 300, true},
		{"after a slow head", 2, 6_400, 0.1, 300, true},
		{"in large pieces", 0, 64_000, 1, 30, true},
		{"in larger pieces", 0, 128_000, 2, 30, true},
		{"at half the pace", 0, 3_200, 0.1, 300, false},
		{"with a long pause", 0, 1 << 20, 2.5, 3, false},
	} {
		p := bodyPace{allowance: defaultBodyTimeout, requestStart: came, bodyStart: at(row.head), lastRead: at(row.head)}
		now, ok := at(row.head), true
		for i := range row.pieces {
			if i > 0 {
				now = now.Add(time.Duration(row.gap * float64(time.Second)))
			}
			if now.After(p.nextDeadline()) {
				ok = false
				break
			}
			p.received, p.lastRead = p.received+int64(row.piece), now
		}
		if ok != row.ok {
			t.Errorf("%s: taken %v, %d bytes in", row.name, ok, p.received)
		}
	}
	for _, sent := range []int64{0, 4, 30_000} {
		p := bodyPace{allowance: defaultBodyTimeout, requestStart: came, bodyStart: at(2), lastRead: at(2), received: sent}
		if due := p.nextDeadline(); due.After(at(3)) {
			t.Errorf("a peer that stops after %d bytes is ended %v after it came", sent, due.Sub(came))
		}
	}
}
