package balancer

// Trials of inactive endpoints: when the next one is due, and what follows from its result.

import "time"

const (
	// The first backoff of an inactive endpoint is at least minTrialBackoff (the paper's b_min). Each
	// failed trial doubles the backoff, up to maxTrialBackoffMultiple times the first one.
	minTrialBackoff         = 500 * time.Millisecond
	maxTrialBackoffMultiple = 8
)

// initialBackoff returns the first backoff of an inactive endpoint. It is at least one send
// interval: with a shorter one, a trial would be due at almost every request of a low-traffic
// instance.
func (b *Balancer) initialBackoff(now time.Duration) time.Duration {
	return max(minTrialBackoff, b.sendInterval(now))
}

// scheduleTrial schedules the next trial of an inactive endpoint.
func (b *Balancer) scheduleTrial(now time.Duration, e *endpoint) {
	e.trial.nextAt = now + b.jitter(e.trial.backoff)
	b.updateHeaps(e)
}

// backOffTrial doubles the backoff after a failed trial and schedules the next trial.
func (b *Balancer) backOffTrial(now time.Duration, e *endpoint) {
	e.trial.backoff = min(2*e.trial.backoff, maxTrialBackoffMultiple*b.initialBackoff(now))
	b.scheduleTrial(now, e)
}

// finishTrial ends a trial that got a successful response. The endpoint becomes active unless it is
// still too slow in comparison with the active endpoints.
func (b *Balancer) finishTrial(now time.Duration, e *endpoint, latencyRatio float64) {
	b.restartSamples(now, e, latencyRatio)
	if b.hasActiveEndpoint() && b.isTooSlow(e) {
		b.backOffTrial(now, e)
		return
	}
	b.activate(e)
}

// failTrial ends a failed trial.
func (b *Balancer) failTrial(now time.Duration, e *endpoint, latencyRatio float64) {
	b.restartSamples(now, e, latencyRatio)
	b.backOffTrial(now, e)
}

// abandonTrial ends an attempt that gives no sample of its endpoint. If the attempt was a trial,
// another one is scheduled. A trial that was straggling counts as failed, so the backoff doubles.
func (b *Balancer) abandonTrial(now time.Duration, a *attempt) {
	if !a.trial {
		return
	}
	a.endpoint.trial.inFlight = false
	if a.straggling {
		b.backOffTrial(now, a.endpoint)
	} else {
		b.scheduleTrial(now, a.endpoint)
	}
}

// restartSamples replaces the samples of an endpoint by the sample of the trial that has ended.
func (b *Balancer) restartSamples(now time.Duration, e *endpoint, latencyRatio float64) {
	e.trial.inFlight = false
	e.samples.restart(now, latencyRatio/e.kind.weight)
}

// activate adds an endpoint to the active set. The lowest active deficit becomes the new zero, and
// the endpoint starts one request above it.
func (b *Balancer) activate(e *endpoint) {
	if b.hasActiveEndpoint() {
		b.deficitBase = b.activeHeap.endpoints[0].deficit
	}
	e.active = true
	e.deficit = b.deficitBaseFor(e) + e.weight()
	b.updateHeaps(e)
}
