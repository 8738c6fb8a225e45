package balancer

// Outlier ejection: what the end of an attempt shows of its endpoint, and when an endpoint is taken
// out of the active set. The trials by which it returns are in trials.go.

import (
	"math"
	"time"
)

const (
	// Smoothing of a weight. With many samples, each leaves weightSmoothing (the paper's alpha) of the
	// weight before it: maxSampleRetention of the samples before it, and all of the prior ones. With
	// time, samples decay to 1/e in sampleMemory, and no faster than in minSampleMemory, however many
	// come.
	weightSmoothing    = 0.95
	maxSampleRetention = 1 - 1/(1/(1-weightSmoothing)-priorSamples)
	sampleMemory       = 10 * time.Second
	minSampleMemory    = time.Second

	// An endpoint is ejected as slow beyond maxActiveWeightRatio (the paper's factor) times the
	// smallest active weight, and beyond highUtilizationTolerance times that at high utilization.
	maxActiveWeightRatio     = 2.0
	highUtilizationTolerance = 2.0

	// An endpoint is ejected for errors of its own once these are ejectionOdds times as likely to come
	// from an endpoint that fails as from one that is like the others. One that fails has a share
	// of errors of minFailingErrorShare and failingErrorMultiple times that of the others, but of no
	// more than maxFailingErrorShare. Outcomes decay to 1/e in outcomeMemory.
	ejectionOdds         = 10.0
	minFailingErrorShare = 0.3
	failingErrorMultiple = 2
	maxFailingErrorShare = 0.9
	outcomeMemory        = 20 * time.Second
)

// evaluateAttempt turns the end of an attempt into a sample of its endpoint, and ejects the
// endpoint if the attempt shows it to be an outlier.
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
		b.sampleFailure(now, req, a, failure{result: r, latencyRatio: latencyRatio, isOwn: true})
	case Rejected, TimedOut:
		b.sampleFailure(now, req, a, failure{result: r, latencyRatio: latencyRatio})
	case Canceled:
		if req.hedged && !a.trial && latencyRatio > a.endpoint.weight() {
			b.addSample(now, a.endpoint, latencyRatio) // the hedged request was quicker, which must count
		}
		b.abandonTrial(now, a)
	case NotSent:
		b.abandonTrial(now, a)
	}
}

// failure is an attempt that ended without success, as evidence against its endpoint.
type failure struct {
	result       Result
	latencyRatio float64
	isOwn        bool // attributed to the endpoint itself, which is ejected at once
}

// evaluateError evaluates an attempt that its endpoint answered with an error. Where the endpoints
// depend on a tier below and fail no more than each other, an error says nothing about this one.
func (b *Balancer) evaluateError(now time.Duration, req *request, a *attempt, latencyRatio float64) {
	b.recordOutcome(now, a.endpoint, errorOutcome)
	isOwn := b.failsMoreThanOthers(a.endpoint)
	if b.settings.TiersBelow > 0 && !isOwn {
		b.abandonTrial(now, a)
		return
	}
	b.sampleFailure(now, req, a, failure{result: Errored, latencyRatio: latencyRatio, isOwn: isOwn})
}

// sampleSuccess takes the latency of a good response as a sample of its endpoint.
func (b *Balancer) sampleSuccess(now time.Duration, a *attempt, latencyRatio float64) {
	if a.isPendingTrial() {
		b.finishTrial(now, a.endpoint, latencyRatio)
	} else {
		b.addSample(now, a.endpoint, latencyRatio)
	}
}

// sampleFailure takes a failure as a sample of at least the time that was left until the deadline:
// a fast error must not look like a fast response. It ejects the endpoint if the failure is its
// own, or if no other endpoint is active that it could be compared with.
func (b *Balancer) sampleFailure(now time.Duration, req *request, a *attempt, f failure) {
	e := a.endpoint
	untilDeadline := (req.Deadline - a.sentAt).Seconds() / b.expectedLatency(req)
	latencyRatio := min(max(f.latencyRatio, untilDeadline), maxLatencyRatio)
	if a.isPendingTrial() {
		b.failTrial(now, e, latencyRatio)
	} else {
		b.addSample(now, e, latencyRatio)
		if e.active && (f.isOwn || b.isLastActive()) {
			b.eject(now, e, InactiveFailing)
		}
	}
	if !e.active {
		e.inactiveReason = inactiveReasonAfter(f.result, e.inactiveReason)
		b.updateHeaps(e)
	}
}

// inactiveReasonAfter returns the reason for which an endpoint is inactive once an attempt has
// failed. A rejection leaves it as it was.
func inactiveReasonAfter(r Result, before InactiveReason) InactiveReason {
	switch r {
	case ConnectFailed:
		return InactiveUnreachable
	case Rejected:
		return before
	}
	return InactiveFailing
}

// recordSuccess updates all estimates that a good response is a sample of.
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

// isLastActive reports whether a single endpoint is active while others wait for their trials. It
// has no other to be compared with, so one that fails would pass for the best.
func (b *Balancer) isLastActive() bool {
	return len(b.activeHeap.endpoints) == 1 && len(b.trialHeap.endpoints) > 0
}

// failsMoreThanOthers weighs an endpoint's errors against those of the others: it reports whether
// the odds are that the endpoint fails by itself, rather than that it shows by chance what all show
// while a tier below fails. A quiet instance sends to an endpoint too seldom to wait for a share of
// errors: where the others have none, one or two errors are enough.
func (b *Balancer) failsMoreThanOthers(e *endpoint) bool {
	others := b.outcomes
	if e.inSubset {
		others = others.minus(e.outcomes.outcomeCounts).atLeastZero()
	}
	usual := (others.errors + 0.5) / (others.total + 1)
	own := min(max(minFailingErrorShare, failingErrorMultiple*usual), maxFailingErrorShare)
	errors := e.outcomes.errors
	successes := e.outcomes.total - errors
	odds := errors*math.Log(own/usual) + successes*math.Log((1-own)/(1-usual))
	return own > usual && odds > math.Log(ejectionOdds)
}

// recordConnectionFailure records a reset or failed connection. One reset may be the network's and
// says nothing about the endpoint. Two without a response in between show that it went down, so
// that it warms up when it is back. If one were enough, a warm endpoint would get a warming one's
// traffic, and the others the rest of its own.
func (b *Balancer) recordConnectionFailure(now time.Duration, e *endpoint, r Result) {
	if e.connection.isDown() {
		e.Started = max(e.Started, now)
		e.slowStart.speedUp = 1
	}
	if r == Reset {
		e.connection.resetAt = now
	}
}

// addSample smooths the weight and ejects the endpoint if it has become too slow.
func (b *Balancer) addSample(now time.Duration, e *endpoint, latencyRatio float64) {
	e.samples.add(now, latencyRatio/e.kind.weight)
	b.updateHeaps(e)
	if e.active && b.isTooSlow(e) {
		b.eject(now, e, InactiveSlow)
	}
}

// isTooSlow reports whether an endpoint's weight is too far beyond the smallest active one. More is
// tolerated at high utilization: each endpoint ejected then loads the others, which slow down as
// well and are then ejected themselves.
func (b *Balancer) isTooSlow(e *endpoint) bool {
	most := maxActiveWeightRatio
	if b.isHighlyUtilized() {
		most *= highUtilizationTolerance
	}
	return e.weight() > most*b.smallestActiveWeight()
}

// eject takes an endpoint out of the active set until a trial succeeds.
func (b *Balancer) eject(now time.Duration, e *endpoint, reason InactiveReason) {
	e.active = false
	e.inactiveReason = reason
	e.trial.backoff = b.initialBackoff(now)
	b.scheduleTrial(now, e)
}
