package balancer

// Events that update a request and its attempts, and call the code that decides what follows.
// This file makes no load-balancing decisions.

import "time"

// StreamStarted implements Events. From here on the host passes the response to the client, and the
// request no longer has a time limit.
func (b *Balancer) StreamStarted(now time.Duration, id string, n int) {
	req := b.requests[id]
	if a := req.attemptInFlight(n); a != nil {
		a.streaming = true
		b.limiter.end(a)
		b.evaluateAttempt(now, req, a, OK, now-a.sentAt)
		b.closeRequest(req)
	}
}

// ClientDisconnected implements Events.
func (b *Balancer) ClientDisconnected(now time.Duration, id string) {
	if req := b.requests[id]; req != nil && !req.answered {
		b.closeRequest(req)
		b.dispatchQueue(now)
	}
}

// RequestWritten reports that the last byte of a streamed request has been sent in attempt n. The
// endpoint's latency is measured from here, so that it does not include the time that sending the
// body took.
func (b *Balancer) RequestWritten(now time.Duration, id string, n int) {
	req := b.requests[id]
	a := req.attemptInFlight(n)
	if a == nil {
		return
	}
	a.sentAt = now
	a.unwritten = false
	a.stragglingAt = now + b.stragglingDelay(req, a.endpoint)
	b.limiter.start(a)
	b.scheduleWakeUp(a.stragglingAt)
}

// SetDeadline changes the deadline of a request without a final answer. While a client sends a long
// body, the time at which it stops waiting is not known yet, and moves on.
func (b *Balancer) SetDeadline(now time.Duration, id string, deadline time.Duration) {
	req := b.requests[id]
	if req == nil || req.answered || req.Deadline == deadline {
		return
	}
	b.setDeadline(now, req, deadline)
}

// setDeadline sets the deadline of a request and schedules what depends on it.
func (b *Balancer) setDeadline(now time.Duration, req *request, deadline time.Duration) {
	req.Deadline = deadline
	req.giveUpAt = b.giveUpBefore(deadline)
	b.scheduleWakeUp(max(b.nextCheckAt(req), now))
}

// CapDeadlines limits the deadlines of all requests without a final answer to latest, after which
// an answer would be of no use.
func (b *Balancer) CapDeadlines(now, latest time.Duration) {
	for _, req := range b.unanswered {
		if req.Deadline > latest {
			b.setDeadline(now, req, latest)
		}
	}
}
