package balancer

// Outlier ejection: what the end of an attempt says of its endpoint, when an endpoint leaves the
// active set, and when a trial may bring it back.

import (
	"math"
	"time"
)

const (
	alpha                = 0.95                   // share of the old weight that a sample leaves, with many
	sampleMemory         = 10 * time.Second       // a sample this old counts 1/e: time counts as well
	minSampleMemory      = time.Second            // memory of the weight at least, however many samples come
	factor               = 2.0                    // active within this multiple of the smallest weight
	utilizedFactorScale  = 2.0                    // times that, at high utilization
	backoffMin           = 500 * time.Millisecond // b_min: least time to the first trial after an ejection
	maxBackoffMultiple   = 8                      // longest backoff, in first backoffs
	ownFailureOdds       = 10.0                   // times as likely that it fails alone as that all do
	ownFailureErrorShare = 0.3                    // share that an endpoint fails then, at least,
	ownFailureMultiple   = 2                      // and this multiple of what the others do,
	maxFailureErrorShare = 0.9                    // up to this
	outcomeMemory        = 20 * time.Second       // an outcome this old counts 1/e
)

const (
	stragglingRatio         = 3.0  // an attempt straggles after this multiple of its expected latency,
	stragglingDeviations    = 6.0  // but not before this multiple of the usual deviation from it
	minStragglingShare      = 0.05 // or this share of the latency objective,
	firstMinStragglingShare = 0.25 // and this, until
	stragglingKnownSamples  = 10.0 // responses of the class have come
	stragglingResolutions   = 3    // nor before this multiple of the clock's resolution
)

// evaluateAttempt turns the end of an attempt into a sample of its endpoint.
func (b *Balancer) evaluateAttempt(
	now time.Duration, req *request, a *attempt, r Result, latency time.Duration,
) {
	e := a.endpoint
	latencyRatio := min(latency.Seconds()/b.expectedLatency(req), maxLatencyRatio)
	failed, ownError := r != OK, false
	switch r {
	case OK:
		b.recordSuccess(now, req, e, latency, latencyRatio)
	case Errored:
		b.recordOutcome(now, e, 1)
		ownError = b.failsMoreThanOthers(e)
		if failed = b.settings.TiersBelow == 0 || ownError; !failed {
			r = NotSent // the tier below fails for all alike: it says nothing of this endpoint
		}
	case Reset, ConnectFailed:
		b.recordBrokenConnection(now, e, r)
	}
	if r == Canceled && req.hedged && !a.trial && latencyRatio > e.weight() {
		b.addSample(now, e, latencyRatio) // the hedged request was quicker, which must count
	}
	if r == Canceled || r == NotSent { // no sample, but a trial canceled because it straggled has failed
		if a.trial {
			e.trialInFlight = false
			b.scheduleTrial(now, e, a.straggling)
		}
		return
	}
	if failed {
		untilDeadline := (req.Deadline - a.sentAt).Seconds() / b.expectedLatency(req)
		latencyRatio = min(max(latencyRatio, untilDeadline), maxLatencyRatio)
	}
	if a.trial && !e.active {
		b.finishTrial(now, e, latencyRatio, failed)
	} else {
		b.addSample(now, e, latencyRatio)
		if failed && e.active && (r == ConnectFailed || r == Reset || ownError || b.isLastActive()) {
			b.eject(now, e, InactiveFailing)
		}
	}
	b.setFailureReason(e, r, failed)
}

// recordSuccess updates all that a good response says something of.
func (b *Balancer) recordSuccess(
	now time.Duration, req *request, e *endpoint, latency time.Duration, latencyRatio float64,
) {
	b.recordOutcome(now, e, 0)
	e.respondedAt = now
	req.class.observe(now, latency.Seconds())
	b.updateConcurrencyLimit(now, latencyRatio)
	b.speedUpSlowStart(now, e, latencyRatio)
	e.kind.observe(latencyRatio)
}

// isLastActive reports whether one endpoint is active and others wait for their trials: what fails
// there must not pass for the best.
func (b *Balancer) isLastActive() bool {
	return len(b.activeHeap.endpoints) == 1 && len(b.trialHeap.endpoints) > 0
}

// setFailureReason records why an endpoint that has just failed is inactive.
func (b *Balancer) setFailureReason(e *endpoint, r Result, failed bool) {
	switch {
	case e.active || !failed:
	case r == ConnectFailed:
		e.inactiveReason = InactiveUnreachable
	case r != Rejected:
		e.inactiveReason = InactiveFailing
	}
	b.updateHeaps(e)
}

// failsMoreThanOthers weighs an endpoint's errors against those of the others: is it likelier that
// it fails by itself, or that it shows by chance what all show, since a tier below fails? A quiet
// instance meets an endpoint too seldom to wait for a share of errors: where the others have none,
// one or two are enough.
func (b *Balancer) failsMoreThanOthers(e *endpoint) bool {
	others := b.outcomes
	if e.inSubset {
		others.errors = max(others.errors-e.outcomes.errors, 0)
		others.total = max(others.total-e.outcomes.total, 0)
	}
	usual := (others.errors + 0.5) / (others.total + 1)
	own := min(max(ownFailureErrorShare, ownFailureMultiple*usual), maxFailureErrorShare)
	errors, successes := e.outcomes.errors, e.outcomes.total-e.outcomes.errors
	odds := errors*math.Log(own/usual) + successes*math.Log((1-own)/(1-usual))
	return own > usual && odds > math.Log(ownFailureOdds)
}

// recordBrokenConnection records a reset or failed connection. One reset may be the network's and
// says nothing of the process. Only if no response comes between it and the next has the endpoint
// gone down, and warms up when it is back. Otherwise a warm endpoint would get a warming one's
// share, and the others its calls.
func (b *Balancer) recordBrokenConnection(now time.Duration, e *endpoint, r Result) {
	if e.resetAt > e.respondedAt {
		e.Started, e.slowStartSpeedUp = max(e.Started, now), 1
	}
	if r == Reset {
		e.resetAt = now
	}
}

// addSample smooths the weight and ejects the endpoint if it left the factor.
func (b *Balancer) addSample(now time.Duration, e *endpoint, latencyRatio float64) {
	gap := now - e.sampledAt
	old := max(min(decay(gap, sampleMemory), 1-1/(1/(1-alpha)-priorSamples)), decay(gap, minSampleMemory))
	e.sampleSum = e.sampleSum*old + latencyRatio/e.kind.weight
	e.sampleCount, e.sampledAt = e.sampleCount*old+1, now
	b.updateHeaps(e)
	if e.active && b.isTooSlow(e) {
		b.eject(now, e, InactiveSlow)
	}
}

// isTooSlow reports whether an endpoint is beyond the factor. At high utilization twice the factor
// is tolerated: fewer endpoints would be overloaded, slow down as well, and be ejected one after
// the other.
func (b *Balancer) isTooSlow(e *endpoint) bool {
	most := factor
	if b.isHighlyUtilized() {
		most *= utilizedFactorScale
	}
	return e.weight() > most*b.smallestActiveWeight()
}

// eject takes an endpoint out of the active set until a trial succeeds.
func (b *Balancer) eject(now time.Duration, e *endpoint, reason InactiveReason) {
	e.active, e.inactiveReason, e.backoff = false, reason, b.initialBackoff(now)
	b.scheduleTrial(now, e, false)
}

// initialBackoff returns the first backoff of an ejected endpoint. It guards against quiet
// instances that load the endpoint with nothing but trials.
func (b *Balancer) initialBackoff(now time.Duration) time.Duration {
	return max(backoffMin, b.sendInterval(now))
}

// scheduleTrial sets the next trial, after twice the backoff if the last one failed.
func (b *Balancer) scheduleTrial(now time.Duration, e *endpoint, failed bool) {
	if failed {
		e.backoff = min(2*e.backoff, maxBackoffMultiple*b.initialBackoff(now))
	}
	e.nextTrialAt = now + b.jitter(e.backoff)
	b.updateHeaps(e)
}

// finishTrial ends a trial: the endpoint is active again, or waits twice as long for the next one.
func (b *Balancer) finishTrial(now time.Duration, e *endpoint, latencyRatio float64, failed bool) {
	e.trialInFlight = false
	e.sampleSum, e.sampleCount, e.sampledAt = latencyRatio/e.kind.weight, 1, now
	if failed || len(b.activeHeap.endpoints) > 0 && b.isTooSlow(e) {
		b.scheduleTrial(now, e, true)
		return
	}
	if len(b.activeHeap.endpoints) > 0 { // all deficits drop by the lowest
		b.deficitBase = b.activeHeap.endpoints[0].deficit
	}
	e.active, e.deficit = true, b.zeroDeficit(e)+e.weight()
	b.updateHeaps(e)
}

// stragglingDelay returns how long an attempt may be in flight before it counts as straggling. What
// a class takes may be a mixture of quick and slow, and the first responses may all be quick:
// neither must make an endpoint look unresponsive.
func (b *Balancer) stragglingDelay(req *request, e *endpoint) time.Duration {
	c, expected, weight := req.class, b.expectedLatency(req), max(e.weight(), 1)
	least := minStragglingShare
	if c.latency.samples < stragglingKnownSamples {
		least = firstMinStragglingShare
	}
	delay := max(stragglingRatio*weight*expected, weight*expected+stragglingDeviations*c.latency.deviation,
		least*c.LatencyObjective.Seconds())
	return max(seconds(delay), stragglingResolutions*b.settings.Resolution)
}

// handleStraggler takes a straggling attempt as a sample of at least its age. An endpoint that has
// not responded since it was sent is ejected: a hang shows after a few latencies, not after a
// timeout.
func (b *Balancer) handleStraggler(now time.Duration, req *request, a *attempt) {
	e, unresponsive := a.endpoint, a.endpoint.respondedAt < a.sentAt
	age := now - a.sentAt
	a.straggling, a.stragglingAt = true, now+age
	if !e.active {
		return
	}
	b.addSample(now, e, min(age.Seconds()/b.expectedLatency(req), maxLatencyRatio))
	if e.active && unresponsive {
		b.log(now, LogEvent{Kind: EndpointUnresponsive, Endpoint: e.ID})
		b.eject(now, e, InactiveUnresponsive)
	}
}
