package balancer

// Hedged requests: a second attempt beside a first one that is slow.

import "time"

const minHedgeSamples = 20.0 // responses of a class from which its latency quantile is known

// hedgeDelay returns how long the first attempt may be in flight before a hedged request is due; 0:
// none is.
func (c *class) hedgeDelay() time.Duration {
	switch {
	case c.Idempotency != Idempotent:
		return 0
	case c.HedgeQuantile > 0 && c.latency.samples >= minHedgeSamples && c.quantile.latency > 0:
		return seconds(max(c.quantile.latency, c.latency.baseline))
	}
	return c.HedgeAfter
}

// hedge sends a second attempt beside the first, to another endpoint, within the retry budget. At
// high utilization there is none: it would feed the overload that makes responses slow.
func (b *Balancer) hedge(now time.Duration, req *request) {
	req.hedgeAt, req.hedging = 0, true
	unused := float64(b.limiter.inFlight) < highUtilization*b.effectiveConcurrencyLimit()
	if req.inFlight() == 1 && unused && b.reasonAgainstRetry(now, req, takesToken) == "" {
		if e := b.selectInSubset(now, req); e != nil && !req.wasSentTo(e) {
			req.hedged = true
			b.retryTokens.takeToken()
			b.send(now, req, e)
		}
	}
	req.hedging = false
}
