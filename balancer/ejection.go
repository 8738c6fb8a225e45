package balancer

// Outlier ejection: how the result of an attempt counts for or against its endpoint, and when an
// endpoint is taken out of the active set. A trial returns it: see trials.go.

import (
	"math"
	"time"
)

const (
	// weightSmoothing (alpha in the paper) is the factor by which an endpoint's weight decays with
	// each new sample, once there are many. maxSampleRetention is the factor for the sum of the
	// samples alone that has this effect. It is lower, because the priorSamples samples that are part
	// of the weight never decay.
	weightSmoothing    = 0.95
	maxSampleRetention = 1 - 1/(1/(1-weightSmoothing)-priorSamples)

	// Samples decay to 1/e within sampleMemory, or faster if there are many. However many there are,
	// this takes at least minSampleMemory.
	sampleMemory    = 10 * time.Second
	minSampleMemory = time.Second

	// An active endpoint is ejected as slow when its weight is more than maxActiveWeightRatio times
	// the smallest active weight.
	maxActiveWeightRatio     = 2.0 // the factor in the paper
	highUtilizationTolerance = 2.0 // multiplies maxActiveWeightRatio at high utilization

	// An endpoint is ejected for its errors when its recent outcomes are more than
	// ejectionLikelihoodRatio times as likely for a failing endpoint as for one that fails as often as
	// the others. A failing endpoint is assumed to have failingErrorMultiple times the error share of
	// the others, but no less than minFailingErrorShare and no more than maxFailingErrorShare.
	ejectionLikelihoodRatio = 10.0
	minFailingErrorShare    = 0.3
	failingErrorMultiple    = 2
	maxFailingErrorShare    = 0.9
	outcomeMemory           = 20 * time.Second // outcomes decay to 1/e in this time
)

// evaluateAttempt updates an endpoint's statistics from the result of an attempt, and ejects the
// endpoint if it has become an outlier.
func (b *Balancer) evaluateAttempt(
	now time.Duration, req *request, a *attempt, r Result, latency time.Duration,
) {
	latencyRatio := min(latency.Seconds()/b.expectedLatency(req), maxLatencyRatio)
	switch r {
	case OK:
		b.recordSuccess(now, req, a.endpoint, latency, latencyRatio)
		b.sampleSuccess(now, a, latencyRatio)
	case Errored:
		b.evaluateError(now, req, a, latencyRatio)
	case Reset, ConnectFailed:
		b.recordConnectionFailure(now, a.endpoint, r)
		b.sampleFailure(now, req, a, failure{result: r, latencyRatio: latencyRatio, isEndpointFault: true})
	case Rejected, TimedOut:
		b.sampleFailure(now, req, a, failure{result: r, latencyRatio: latencyRatio})
	case Canceled:
		if req.hedged && !a.trial && latencyRatio > a.endpoint.weight() {
			// Without this sample, hedging would hide that the endpoint is slow.
			b.addSample(now, a.endpoint, latencyRatio)
		}
		b.abandonTrial(now, a)
	case NotSent:
		b.abandonTrial(now, a)
	}
}

// failure describes an attempt that failed.
type failure struct {
	result          Result
	latencyRatio    float64
	isEndpointFault bool // attributed to the endpoint, which is therefore ejected at once
}

// evaluateError evaluates an attempt that its endpoint answered with an error. If the endpoints
// depend on a tier below and this one does not fail more often than the others, the error is
// attributed to that tier and is not a sample of the endpoint.
func (b *Balancer) evaluateError(now time.Duration, req *request, a *attempt, latencyRatio float64) {
	b.recordOutcome(now, a.endpoint, errorOutcome)
	isEndpointFault := b.failsMoreThanOthers(a.endpoint)
	if b.settings.TiersBelow > 0 && !isEndpointFault {
		b.abandonTrial(now, a)
		return
	}
	b.sampleFailure(now, req, a, failure{
		result: Errored, latencyRatio: latencyRatio, isEndpointFault: isEndpointFault,
	})
}

// sampleSuccess adds the latency of a successful response as a sample of its endpoint.
func (b *Balancer) sampleSuccess(now time.Duration, a *attempt, latencyRatio float64) {
	if a.isPendingTrial() {
		b.finishTrial(now, a.endpoint, latencyRatio)
	} else {
		b.addSample(now, a.endpoint, latencyRatio)
	}
}

// sampleFailure adds a failure as a sample of its endpoint. The sample is at least the time from
// sending the attempt to the request's deadline, up to maxLatencyRatio times the expected latency:
// a fast error must not look like a fast response. The endpoint is ejected if the failure is
// attributed to it, or if it is the only active one while others wait for their trials.
func (b *Balancer) sampleFailure(now time.Duration, req *request, a *attempt, f failure) {
	e := a.endpoint
	deadlineRatio := (req.Deadline - a.sentAt).Seconds() / b.expectedLatency(req)
	latencyRatio := min(max(f.latencyRatio, deadlineRatio), maxLatencyRatio)
	if a.isPendingTrial() {
		b.failTrial(now, e, latencyRatio)
	} else {
		b.addSample(now, e, latencyRatio)
		if e.active && (f.isEndpointFault || b.hasSingleActiveEndpoint()) {
			b.eject(now, e, InactiveFailing)
		}
	}
	if !e.active {
		e.inactiveReason = inactiveReasonAfter(f.result, e.inactiveReason)
		b.updateHeaps(e)
	}
}

// inactiveReasonAfter returns the reason for which an endpoint is inactive after a failed attempt.
// A rejection does not change the reason.
func inactiveReasonAfter(r Result, previous InactiveReason) InactiveReason {
	switch r {
	case ConnectFailed:
		return InactiveUnreachable
	case Rejected:
		return previous
	}
	return InactiveFailing
}

// recordSuccess updates everything that is learned from a successful response, except for the
// endpoint's own samples.
func (b *Balancer) recordSuccess(
	now time.Duration, req *request, e *endpoint, latency time.Duration, latencyRatio float64,
) {
	b.recordOutcome(now, e, successOutcome)
	e.connection.respondedAt = now
	req.class.observe(now, latency.Seconds())
	b.updateConcurrencyLimit(now, latencyRatio)
	b.speedUpSlowStart(now, e, latencyRatio)
	e.kind.observe(latencyRatio)
}

// hasSingleActiveEndpoint reports whether a single endpoint is active while others wait for their
// trials. Since its weight cannot be compared with any other, it would look like the best endpoint
// even if it fails.
func (b *Balancer) hasSingleActiveEndpoint() bool {
	return len(b.activeHeap.endpoints) == 1 && len(b.trialHeap.endpoints) > 0
}

// failsMoreThanOthers reports whether an endpoint's errors are its own, rather than errors of a
// tier below that hit this endpoint more often than the others by chance. It is a likelihood-ratio
// test, since a low-traffic instance sends an endpoint too few requests to measure a share of
// errors: if the others have none, one or two errors are enough.
func (b *Balancer) failsMoreThanOthers(e *endpoint) bool {
	others := b.outcomes
	if e.inSubset {
		others = others.minus(e.outcomes.outcomeCounts).atLeastZero()
	}
	othersErrorShare := (others.errors + 0.5) / (others.total + 1)
	failingErrorShare := min(
		max(minFailingErrorShare, failingErrorMultiple*othersErrorShare), maxFailingErrorShare,
	)
	errors := e.outcomes.errors
	successes := e.outcomes.total - errors
	logLikelihoodRatio := errors*math.Log(failingErrorShare/othersErrorShare) +
		successes*math.Log((1-failingErrorShare)/(1-othersErrorShare))
	return failingErrorShare > othersErrorShare && logLikelihoodRatio > math.Log(ejectionLikelihoodRatio)
}

// recordConnectionFailure records a connection that was reset or not established. A single reset
// may be caused by the network and does not show that the endpoint is down. A second failure
// without a successful response in between does, and the endpoint warms up when it is back. If one
// reset were enough, an endpoint that is still warm would get only the traffic of a warming one,
// and the others would have to take the rest.
func (b *Balancer) recordConnectionFailure(now time.Duration, e *endpoint, r Result) {
	if e.connection.isDown() {
		e.Started = max(e.Started, now)
		e.slowStart.speedUp = 1
	}
	if r == Reset {
		e.connection.resetAt = now
	}
}

// addSample updates an endpoint's weight with a latency ratio, and ejects the endpoint if it has
// become too slow.
func (b *Balancer) addSample(now time.Duration, e *endpoint, latencyRatio float64) {
	e.samples.add(now, latencyRatio/e.kind.weight)
	b.updateHeaps(e)
	if e.active && b.isTooSlow(e) {
		b.eject(now, e, InactiveSlow)
	}
}

// isTooSlow reports whether an endpoint's weight exceeds the smallest active weight by too large a
// factor. A larger factor is tolerated at high utilization: each ejection then adds load to the
// other endpoints, which would slow down and be ejected in turn.
func (b *Balancer) isTooSlow(e *endpoint) bool {
	maxRatio := maxActiveWeightRatio
	if b.isHighlyUtilized() {
		maxRatio *= highUtilizationTolerance
	}
	return e.weight() > maxRatio*b.smallestActiveWeight()
}

// eject takes an endpoint out of the active set until a trial succeeds.
func (b *Balancer) eject(now time.Duration, e *endpoint, reason InactiveReason) {
	e.active = false
	e.inactiveReason = reason
	e.trial.backoff = b.initialBackoff(now)
	b.scheduleTrial(now, e)
}
