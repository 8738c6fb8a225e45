package proxy

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/logkey"
)

// host implements the Balancer's actions. The Balancer calls its methods while it handles an event,
// so p.mu is held. No method blocks or calls back into the Balancer: an event that results from an
// action is queued until the current event has been handled.
type host struct{ *Pool }

var _ balancer.Host = host{}

// Send implements balancer.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls.get(id)
	if c == nil {
		return // no such call is in progress, so no attempt is made and no outcome is reported
	}
	a := h.newAttempt(c, endpoint, timeout)
	switch {
	case c.finished:
		h.deferred.push(func(now time.Duration) { h.reportOutcome(now, a, balancer.NotSent, Response{}) })
	case c.canRunInline:
		c.canRunInline = false
		c.inlineAttempts <- a // does not block: canRunInline is not set again before Do has received a
	default: // a hedged request, or an attempt that can't be canceled and so would delay the result in Do
		go h.runAttempt(a)
	}
}

// Cancel implements balancer.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls.get(id); c != nil && n >= 0 && n < len(c.attempts) {
		c.attempts[n].control.Cancel()
	}
}

// Reject implements balancer.Host.
func (h host) Reject(id string, reason balancer.Reason, retryAfter time.Duration) {
	h.finishUnserved(id, Result{Kind: Rejected, Reason: reason, RetryAfter: retryAfter})
}

// Fail implements balancer.Host.
func (h host) Fail(id string, reason balancer.Reason) {
	h.finishUnserved(id, Result{Kind: Failed, Reason: reason})
}

// Subscribe implements balancer.Host.
func (h host) Subscribe() { h.subscribe() }

// Timer implements balancer.Host.
func (h host) Timer(at time.Duration) { h.timer.request(at) }

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
