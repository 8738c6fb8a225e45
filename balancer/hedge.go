package balancer

// Hedged requests: a second attempt while the first one is slow.

import "time"

const minHedgeSamples = 20.0 // responses before the estimate of a class's latency quantile is used

// hedgeDelay returns how long the first attempt may be in flight before a hedged request is due, 0
// if none will be.
func (r *request) hedgeDelay() time.Duration {
	c := r.class
	switch {
	case c.Idempotency != Idempotent || r.SoleAttempt:
		return 0
	case c.HedgeQuantile > 0 && c.latency.samples >= minHedgeSamples && c.quantile.latency > 0:
		return seconds(max(c.quantile.latency, c.latency.baseline))
	}
	return c.HedgeAfter
}

// hedge sends a second attempt to another endpoint while the first is in flight, if the limits on
// retries allow it. At high utilization it sends none, since that would add to the overload that
// makes responses slow.
func (b *Balancer) hedge(now time.Duration, req *request) {
	req.hedgeAt = 0
	req.hedging = true
	hasSpareCapacity := float64(b.limiter.inFlight) < highUtilization*b.effectiveConcurrencyLimit()
	if req.inFlight() == 1 && hasSpareCapacity && b.retryDenialReason(now, req, takesToken) == "" {
		if e := b.selectInSubset(now, req); e != nil && !req.wasSentTo(e) {
			req.hedged = true
			b.retryTokens.takeToken()
			b.send(now, req, e)
		}
	}
	req.hedging = false
}
