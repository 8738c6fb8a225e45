package proxy

import "time"

// This file computes the deadline of a call, by which the Balancer and the attempts of the call
// decide. Nothing else in this package computes one.

// currentDeadline returns the instant by which a call must have its result, as far as it is known
// now. While the client is still sending the body, that instant moves on, but not past the call's
// time limit. p.mu must be held.
func (p *Pool) currentDeadline(now time.Duration, c *Call) time.Duration {
	deadline := c.timeLimit
	if at, moves := c.message.ClientDeadline(); moves {
		deadline = min(deadline, now+time.Until(at))
	}
	if p.finalDeadline > 0 {
		deadline = min(deadline, p.finalDeadline)
	}
	return deadline
}

// refreshDeadline reports the current deadline of a call to the Balancer if it may have moved. p.mu
// must be held.
func (p *Pool) refreshDeadline(now time.Duration, c *Call) {
	if c.finished || !c.message.HasMovingDeadline() {
		return
	}
	c.Deadline = p.currentDeadline(now, c)
	p.balancer.SetDeadline(now, c.ID, c.Deadline)
}

// refreshDeadlines is refreshDeadline for all calls. The Balancer gives up on a request at its
// deadline, so that it must know the current ones before it handles a Timer event. p.mu must be
// held.
func (p *Pool) refreshDeadlines(now time.Duration) {
	for c := range p.calls.moving {
		p.refreshDeadline(now, c)
	}
}

// attemptTimeLimit returns how long an attempt may take at most. The timeout that the Balancer
// gives counts from when the client has sent the body: until then the client's deadline bounds the
// attempt (see connpool.Request.ClientDeadline). p.mu must be held.
func (p *Pool) attemptTimeLimit(c *Call, timeout time.Duration) time.Duration {
	now := p.clock.now()
	limit := min(timeout, c.Deadline-now)
	if c.message.HasMovingDeadline() {
		limit = c.timeLimit - now
	}
	if p.finalDeadline > 0 {
		limit = min(limit, p.finalDeadline-now)
	}
	return limit
}

// capAttempts limits the time of all attempts in flight to the instant latest. p.mu must be held.
func (p *Pool) capAttempts(now, latest time.Duration) {
	end := time.Now().Add(latest - now)
	for _, c := range p.calls.byID {
		for _, a := range c.attempts {
			a.control.CapDeadline(end)
		}
	}
}
