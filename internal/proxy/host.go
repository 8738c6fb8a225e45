package proxy

import (
	"time"

	"rowancart/balancer"
)

// host carries out what the Balancer asks for. It runs under the engine's lock, blocks on nothing and does not call back.
type host struct{ *Pool }

var _ balancer.Host = host{}

// Send implements balancer.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // not a request of ours: nothing to report either
	}
	now := h.clock.now()
	a := &attempt{call: c, number: len(c.attempts), endpoint: endpoint, sentAt: now}
	a.ClientGone = c.ClientGone
	a.Deadline = time.Now().Add(min(timeout, c.Deadline-now))
	if c.Streamed {
		a.OnRequestWritten = func() { h.handleEvent(func(now time.Duration) { h.reportRequestWritten(now, a) }) }
	}
	c.attempts = append(c.attempts, a)
	c.attemptsInFlight++
	switch {
	case c.finished:
		h.deferredEvents = append(h.deferredEvents, func(now time.Duration) { h.reportOutcome(now, a, balancer.NotSent, Response{}) })
	case c.canRunInline:
		c.canRunInline = false
		c.inlineAttempts <- a
	default: // a copy beside the first attempt, or one that cannot be called off and must not hold up the answer
		go h.runAttempt(a, false)
	}
}

// Cancel implements balancer.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].Cancel()
	}
}

// Reject implements balancer.Host.
func (h host) Reject(id string, why balancer.Reason, retryAfter time.Duration) {
	h.finishUnserved(id, Result{Kind: Rejected, Reason: why, RetryAfter: retryAfter})
}

// Fail implements balancer.Host.
func (h host) Fail(id string, why balancer.Reason) {
	h.finishUnserved(id, Result{Kind: Failed, Reason: why})
}

// Subscribe implements balancer.Host.
func (h host) Subscribe() { h.subscribe() }

// Log implements balancer.Host.
func (h host) Log(line string) { h.log.Info(line) }
