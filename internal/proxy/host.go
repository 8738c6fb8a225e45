package proxy

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/logkey"
)

// host carries out what the Balancer asks for. The Balancer calls it while it handles an event, so
// p.mu is held. No method blocks or calls the Balancer back: what would be another event is
// deferred until the present one has been handled.
type host struct{ *Pool }

var _ balancer.Host = host{}

// Send implements balancer.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // not a request of this Pool's: nothing to report either
	}
	a := h.newAttempt(c, endpoint, timeout)
	switch {
	case c.finished:
		h.deferEvent(func(now time.Duration) { h.reportOutcome(now, a, balancer.NotSent, Response{}) })
	case c.canRunInline:
		c.canRunInline = false
		c.inlineAttempts <- a // does not block: Do takes each attempt before it can run the next one
	default: // a hedged request, or an attempt that can't be canceled and must not hold up the result
		go h.runAttempt(a, false)
	}
}

// newAttempt adds an attempt to a call. p.mu must be held.
func (p *Pool) newAttempt(c *Call, endpoint string, timeout time.Duration) *attempt {
	now := p.clock.now()
	a := &attempt{call: c, number: len(c.attempts), endpoint: endpoint, sentAt: now}
	a.control.ClientGone = c.ClientGone
	a.control.Deadline = time.Now().Add(min(timeout, c.Deadline-now))
	if retryBy := p.balancer.RetryDeadline(c.ID); retryBy > 0 {
		a.control.WriteBy = time.Now().Add(retryBy - now)
	}
	if c.Streamed {
		a.control.OnRequestWritten = func() {
			p.handleEvent(func(now time.Duration) { p.reportRequestWritten(now, a) })
		}
	}
	c.attempts = append(c.attempts, a)
	c.attemptsInFlight++
	return a
}

// Cancel implements balancer.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].control.Cancel()
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

// Timer implements balancer.Host.
func (h host) Timer(at time.Duration) { h.requestTimer(at) }

// Log implements balancer.Host.
func (h host) Log(e balancer.LogEvent) {
	switch e.Kind {
	case balancer.EndpointUnresponsive:
		h.log.Info("endpoint unresponsive", logkey.Endpoint, e.Endpoint)
	case balancer.CapacityExhausted:
		h.log.Info("capacity exhausted", logkey.Queued, e.QueuedRequests)
	default:
		h.log.Info(e.String())
	}
}
