package balancer

// Selection of the endpoint for an attempt: the endpoint of a due trial if there is one, otherwise
// the active endpoint with the lowest deficit.

import (
	"math"
	"time"
)

const (
	// The kind's weight counts as priorSamples samples in the mean for an endpoint's weight.
	priorSamples = 3.0
	// Each attempt in flight adds inFlightCharge times the weight to the deficit in the score.
	inFlightCharge = 1.0
	// The tiers below are assumed to cause this share of the smallest active weight.
	tiersBelowWeightShare = 0.7
	// A deficit lags behind the deficit of the endpoint just selected by at most maxDeficitLag times
	// the weight of the selected endpoint.
	maxDeficitLag   = 2.0
	maxLatencyRatio = 20.0 // upper limit of the latency ratio of one sample
	// A due risky trial waits for an idempotent request for this number of backoffs.
	riskyTrialBackoffs = 2
)

// hasLowerDeficit orders the active heap.
func hasLowerDeficit(x, y *endpoint) bool {
	return x.deficit < y.deficit || x.deficit == y.deficit && x.subsetIndex < y.subsetIndex
}

// hasSoonerTrial orders the trial heap by the time of the next trial. Endpoints whose trial is in
// flight come last, those with the fewest attempts in flight first.
func hasSoonerTrial(x, y *endpoint) bool {
	switch {
	case x.trial.inFlight != y.trial.inFlight:
		return y.trial.inFlight
	case x.trial.inFlight && x.inFlight != y.inFlight:
		return x.inFlight < y.inFlight
	case x.trial.nextAt != y.trial.nextAt:
		return x.trial.nextAt < y.trial.nextAt
	}
	return x.subsetIndex < y.subsetIndex
}

// hasLowerWeight orders endpoints of one kind. The weight of the kind, a factor of all their
// weights, does not affect the order.
func hasLowerWeight(x, y *endpoint) bool {
	return x.samples.weight(1) < y.samples.weight(1)
}

// mayReceive reports whether a request may be sent to an endpoint: the endpoint is ready, its slow
// start allows another send now, and the request cannot take effect twice.
func (b *Balancer) mayReceive(now time.Duration, req *request, e *endpoint) bool {
	if e.State != Ready {
		return false
	}
	isPaced := now < e.slowStart.nextSendAt && !b.isWarm(now, e)
	return !isPaced && b.mayAttemptAt(now, req, e)
}

// selectForDispatch returns the endpoint for the next attempt of a request, nil if there is none or
// the one selected for a first attempt has no capacity. Retries need no capacity.
func (b *Balancer) selectForDispatch(now time.Duration, req *request) *endpoint {
	e := b.selectInSubset(now, req)
	if !req.isRetry() {
		if e != nil && !b.hasCapacity(e) {
			return nil
		}
		return e
	}
	if e == nil && !b.subsetIsAll { // endpoints in the key scope may all be outside the subset
		active := candidates{endpoints: b.endpoints, active: true}
		return b.selectEndpoint(now, req, active, candidates{endpoints: b.endpoints})
	}
	return e
}

// selectInSubset selects an endpoint of the subset for the request. It returns nil if there is
// none.
func (b *Balancer) selectInSubset(now time.Duration, req *request) *endpoint {
	return b.selectEndpoint(now, req, candidates{heap: &b.activeHeap}, candidates{heap: &b.trialHeap})
}

// selectEndpoint selects the endpoint of a due trial, otherwise the active endpoint with the lowest
// score. If no endpoint is active, or a request was already sent to all active ones, it selects the
// endpoint with the soonest trial, even if that trial is in flight. Failing that, it selects an
// active endpoint again, then any inactive one.
func (b *Balancer) selectEndpoint(now time.Duration, req *request, active, inactive candidates) *endpoint {
	if due := b.selectDueTrial(now, req, inactive); due != nil {
		return due
	}
	lowest, anyActive := b.selectLowestDeficit(now, req, active)
	if anyActive && (!req.isRetry() || lowest != nil && !req.wasSentTo(lowest)) {
		return lowest
	}
	if soonest := b.selectSoonestTrial(now, req, inactive); soonest != nil {
		return soonest
	}
	if lowest != nil {
		return lowest
	}
	return b.selectAnyInactive(now, req, inactive)
}

// selectDueTrial returns the endpoint whose trial is due first, nil if no trial is due. The search
// does not descend below a candidate that is no better than the best one so far, since the
// endpoints below it in the heap are no better either.
func (b *Balancer) selectDueTrial(now time.Duration, req *request, inactive candidates) *endpoint {
	var due *endpoint
	inactive.visit(func(e *endpoint) bool {
		if !e.trial.isDue(now) || due != nil && !hasSoonerTrial(e, due) {
			return false
		}
		if b.mayBeTrial(now, req, e) {
			due = e
		}
		return true
	})
	return due
}

// selectLowestDeficit returns the active endpoint with the lowest score, nil if none may receive
// the request, and whether any endpoint is active. The score is the deficit plus inFlightCharge
// weights for each attempt in flight, so that an endpoint that is overloaded or hangs gets fewer
// requests even before its responses, or their absence, show it.
func (b *Balancer) selectLowestDeficit(now time.Duration, req *request, active candidates) (*endpoint, bool) {
	var best *endpoint
	lowest := math.Inf(1)
	anyActive := false
	active.visit(func(e *endpoint) bool {
		anyActive = true
		deficit := e.deficit - b.deficitBaseFor(e)
		if deficit > lowest {
			return false
		}
		if !b.mayReceive(now, req, e) {
			return true
		}
		score := deficit + inFlightCharge*e.weight()*float64(e.inFlight)
		if req.wasSentTo(e) { // prefer endpoints that the request was not sent to before
			score += maxLatencyRatio
		}
		isFirstOfEquals := score == lowest && best != nil && e.subsetIndex < best.subsetIndex
		if score < lowest || isFirstOfEquals {
			best = e
			lowest = score
		}
		return true
	})
	return best, anyActive
}

// selectSoonestTrial returns the endpoint with the soonest trial, due or not, nil if the request
// may be the trial of none.
func (b *Balancer) selectSoonestTrial(now time.Duration, req *request, inactive candidates) *endpoint {
	var soonest *endpoint
	inactive.visit(func(e *endpoint) bool {
		if soonest != nil && !hasSoonerTrial(e, soonest) {
			return false
		}
		if b.mayBeTrial(now, req, e) {
			soonest = e
		}
		return true
	})
	return soonest
}

// selectAnyInactive returns any inactive endpoint that may receive the request, nil if there is
// none. This is the last resort of selectEndpoint: unlike for a trial, the endpoint may be one that
// the request was sent to before, or one whose trial is risky.
func (b *Balancer) selectAnyInactive(now time.Duration, req *request, inactive candidates) *endpoint {
	var found *endpoint
	inactive.visit(func(e *endpoint) bool {
		if found == nil && b.mayReceive(now, req, e) {
			found = e
		}
		return found == nil
	})
	return found
}

// mayBeTrial reports whether a request may be the trial of an endpoint.
func (b *Balancer) mayBeTrial(now time.Duration, req *request, e *endpoint) bool {
	isTooRisky := req.isLostIfAttemptFails() && e.isRiskyTrial(now)
	return !isTooRisky && !req.wasSentTo(e) && b.mayReceive(now, req, e)
}

// isLostIfAttemptFails reports whether a request may be lost if an attempt that may have run it
// fails: it is not idempotent, or its class forbids a second run.
func (r *request) isLostIfAttemptFails() bool {
	return r.class.Idempotency != Idempotent || r.class.NeverRerun
}

// isRiskyTrial reports whether a request for which isLostIfAttemptFails holds would probably be
// lost as the trial of the endpoint, because the endpoint failed requests after accepting them.
// Until riskyTrialBackoffs backoffs after the trial is due, only idempotent requests that may run
// again may be the trial.
func (e *endpoint) isRiskyTrial(now time.Duration) bool {
	failed := e.inactiveReason == InactiveFailing || e.inactiveReason == InactiveUnresponsive
	return failed && now < e.trial.nextAt+riskyTrialBackoffs*e.trial.backoff
}

// chargeDeficit adds the expected cost of a request to the deficit of an active endpoint.
func (b *Balancer) chargeDeficit(req *request, e *endpoint) {
	weight := e.weight()
	before := e.deficit
	charge := weight
	if b.settings.TiersBelow > 0 { // the latency of tiers below hides differences in speed
		charge -= tiersBelowWeightShare * min(b.smallestActiveWeight(), weight)
	}
	e.deficit += charge * b.expectedLatency(req) / b.typicalLatency()
	b.updateHeaps(e)
	b.raiseLowestDeficits(before - b.deficitBaseFor(e) + b.deficitBase - maxDeficitLag*weight)
}

// raiseLowestDeficits raises the deficits of active endpoints to at least floor. An endpoint that
// was not selected for a while because of its load would otherwise get all requests until its
// deficit has caught up.
func (b *Balancer) raiseLowestDeficits(floor float64) {
	heap := &b.activeHeap
	for len(heap.endpoints) > 0 && heap.endpoints[0].deficit < floor {
		heap.endpoints[0].deficit = floor
		heap.fix(0)
	}
}

// expectedLatency returns the latency of requests of this class at an endpoint without load, in
// seconds. Before the first response it is a quarter of the latency objective, at least 1 ms.
func (b *Balancer) expectedLatency(req *request) float64 {
	c := req.class
	if c.latency.samples == 0 || c.latency.baseline <= 0 {
		return max(c.LatencyObjective.Seconds()/4, 0.001)
	}
	return c.latency.baseline
}
