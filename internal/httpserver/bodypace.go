package httpserver

import (
	"time"

	"rowancart/internal/proxy"
)

const (
	minBodyRate  = 48 << 10                // minimum average rate of a body, in bytes per second
	maxBodyPause = 2200 * time.Millisecond // maximum time between two reads of a body

	// incompleteRequestTimeout leaves time to respond within the 3 s that a client may take to send
	// a complete request.
	incompleteRequestTimeout = 2800 * time.Millisecond
)

// bodyPace computes the read deadlines of a body from the number of bytes received so far.
type bodyPace struct {
	gracePeriod  time.Duration // extra time for a long body, beyond the time it takes at minBodyRate
	requestStart time.Time     // when the connection was accepted, or the first byte of the request was read
	bodyStart    time.Time
	lastRead     time.Time     // when the latest read returned, or the client fell silent after it
	held         time.Duration // how long the client was kept waiting because nothing was read
	received     int64         // bytes
}

// beginRead records that a read begins, after nothing was read since the latest one because the
// endpoint did not take more. That time is not the client's, except for the time for which the
// client has been silent.
func (p *bodyPace) beginRead(now time.Time, silence time.Duration) {
	held := max(now.Sub(p.lastRead)-silence, 0)
	p.held += held
	p.lastRead = p.lastRead.Add(held)
}

// nextDeadline returns the time by which more of the body must arrive. It is never earlier than
// incompleteRequestTimeout after the start of the request, which allows for a slow start. After
// that, the client must keep up with minBodyRate and may pause for maxBodyPause at most.
func (p *bodyPace) nextDeadline() time.Time {
	deadline := p.bodyStart.Add(p.held + time.Duration(p.received)*time.Second/minBodyRate)
	if p.received >= proxy.MaxBody {
		deadline = deadline.Add(p.gracePeriod)
	}
	if pauseEnd := p.lastRead.Add(maxBodyPause); pauseEnd.Before(deadline) {
		deadline = pauseEnd
	}
	if earliest := p.requestStart.Add(incompleteRequestTimeout); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}
