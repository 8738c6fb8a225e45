package httpserver

import (
	"time"

	"rowancart/internal/proxy"
)

const (
	minBodyRate  = 48 << 10                // bytes a second, on average over a body
	maxBodyPause = 2200 * time.Millisecond // between two reads of a body

	// incompleteRequestTimeout leaves time to respond within the 3 s that a client may take for a
	// complete request.
	incompleteRequestTimeout = 2800 * time.Millisecond
)

// bodyPace computes the read deadlines of a body from what has been received so far.
type bodyPace struct {
	allowance    time.Duration // how far a long body may be behind minBodyRate
	requestStart time.Time     // when the connection was accepted, or the first byte of the request was read
	bodyStart    time.Time
	lastRead     time.Time
	received     int64 // bytes
}

// nextDeadline returns the time by which more of the body must arrive. A slow start is allowed
// until incompleteRequestTimeout; after that, a client may pause for maxBodyPause at most.
func (p *bodyPace) nextDeadline() time.Time {
	deadline := p.bodyStart.Add(time.Duration(p.received) * time.Second / minBodyRate)
	if p.received >= proxy.MaxBody {
		deadline = deadline.Add(p.allowance)
	}
	if pauseEnd := p.lastRead.Add(maxBodyPause); pauseEnd.Before(deadline) {
		deadline = pauseEnd
	}
	if earliest := p.requestStart.Add(incompleteRequestTimeout); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}
