package httpserver

import (
	"testing"
	"time"
)

// secondsAfter returns the time that is the given number of seconds after start.
func secondsAfter(start time.Time, seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// A client may take 2 s to send the head of a request, and may send the body in pieces at 64 kB
// per second. If the request stays incomplete, the connection must be closed within 3 s.
func TestBodyPace(t *testing.T) {
	requestStart := time.Unix(1_800_000_000, 0)
	for _, row := range []struct {
		name      string
		bodyStart float64 // seconds after the request's start
		piece     float64 // bytes
		gap       float64 // seconds between two pieces
		pieces    int
		allowed   bool
	}{
		{"at once", 0, 1 << 20, 0.001, 32, true},
		{"at the minimum rate", 0, 6_400, 0.1, 300, true},
		{"after a slow head", 2, 6_400, 0.1, 300, true},
		{"in large pieces", 0, 64_000, 1, 30, true},
		{"in larger pieces", 0, 128_000, 2, 30, true},
		{"at half the rate", 0, 3_200, 0.1, 300, false},
		{"with a long pause", 0, 1 << 20, 2.5, 3, false},
	} {
		now := secondsAfter(requestStart, row.bodyStart)
		p := bodyPace{gracePeriod: defaultBodyGracePeriod, requestStart: requestStart, bodyStart: now, lastRead: now}
		allowed := true
		for i := range row.pieces {
			if i > 0 {
				now = secondsAfter(now, row.gap)
			}
			if now.After(p.nextDeadline()) {
				allowed = false
				break
			}
			p.received += int64(row.piece)
			p.lastRead = now
		}
		if allowed != row.allowed {
			t.Errorf("%s: allowed is %v after %d bytes", row.name, allowed, p.received)
		}
	}
	for _, received := range []int64{0, 4, 30_000} {
		bodyStart := secondsAfter(requestStart, 2)
		p := bodyPace{gracePeriod: defaultBodyGracePeriod, requestStart: requestStart, bodyStart: bodyStart,
			lastRead: bodyStart, received: received}
		if deadline := p.nextDeadline(); deadline.After(secondsAfter(requestStart, 3)) {
			t.Errorf("a client that stops after %d bytes times out after %v", received, deadline.Sub(requestStart))
		}
	}
}

// Guards against a slow endpoint whose pauses are taken for the client's.
func TestPauseOfTheEndpointIsNotTheClients(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		silence time.Duration // of the client, up to the read
		want    time.Duration // from the beginning of the read to its deadline
	}{
		{"data is waiting", 0, maxBodyPause},
		{"the client is silent for a second", time.Second, maxBodyPause - time.Second},
	} {
		const received, held = 100 * minBodyRate, 10 * time.Second
		p := bodyPace{requestStart: start, bodyStart: start, lastRead: start, received: received}
		now := start.Add(held)
		p.beginRead(now, c.silence)
		if got := p.nextDeadline().Sub(now); got != c.want {
			t.Errorf("%s: the next data must arrive within %v, want %v", c.name, got, c.want)
		}
	}
}
