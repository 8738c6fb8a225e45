package balancer

// Trials of inactive endpoints: when the next one is due, and what its end decides.

import "time"

const (
	// An ejected endpoint waits minTrialBackoff (the paper's b_min) at least for its first trial. The
	// backoff doubles up to maxTrialBackoffMultiple times the first.
	minTrialBackoff         = 500 * time.Millisecond
	maxTrialBackoffMultiple = 8
)

// initialBackoff returns the first backoff of an ejected endpoint. It is one send interval at
// least: quiet instances would otherwise send an ejected endpoint nothing but trials.
func (b *Balancer) initialBackoff(now time.Duration) time.Duration {
	return max(minTrialBackoff, b.sendInterval(now))
}

// scheduleTrial sets the next trial of an inactive endpoint.
func (b *Balancer) scheduleTrial(now time.Duration, e *endpoint) {
	e.trial.nextAt = now + b.jitter(e.trial.backoff)
	b.updateHeaps(e)
}

// backOffTrial doubles the backoff after a trial that failed, and sets the next trial.
func (b *Balancer) backOffTrial(now time.Duration, e *endpoint) {
	e.trial.backoff = min(2*e.trial.backoff, maxTrialBackoffMultiple*b.initialBackoff(now))
	b.scheduleTrial(now, e)
}

// finishTrial ends a trial with a good response: the endpoint is active again unless it is too
// slow.
func (b *Balancer) finishTrial(now time.Duration, e *endpoint, latencyRatio float64) {
	b.restartSamples(now, e, latencyRatio)
	if b.hasActiveEndpoint() && b.isTooSlow(e) {
		b.backOffTrial(now, e)
		return
	}
	b.activate(e)
}

// failTrial ends a trial that failed.
func (b *Balancer) failTrial(now time.Duration, e *endpoint, latencyRatio float64) {
	b.restartSamples(now, e, latencyRatio)
	b.backOffTrial(now, e)
}

// abandonTrial ends an attempt that is no sample of its endpoint. If it was a trial, another is
// due. A trial that was canceled because it straggled has failed.
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

// restartSamples replaces the samples of an endpoint by that of its trial, which has ended.
func (b *Balancer) restartSamples(now time.Duration, e *endpoint, latencyRatio float64) {
	e.trial.inFlight = false
	e.samples.restart(now, latencyRatio/e.kind.weight)
}

// activate puts an endpoint into the active set. The lowest deficit becomes the zero of all, and
// the endpoint starts one request above it.
func (b *Balancer) activate(e *endpoint) {
	if b.hasActiveEndpoint() {
		b.deficitBase = b.activeHeap.endpoints[0].deficit
	}
	e.active = true
	e.deficit = b.deficitBaseFor(e) + e.weight()
	b.updateHeaps(e)
}
