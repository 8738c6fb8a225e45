package balancer

// Selection of the endpoint for an attempt: a due trial, else the active endpoint with the lowest
// deficit.

import (
	"math"
	"time"
)

const (
	priorSamples          = 3.0  // samples that its kind's weight counts as, besides an endpoint's own
	inFlightCharge        = 1.0  // charge for each attempt in flight, in weights, on top of the deficit
	tiersBelowWeightShare = 0.7  // share of the smallest weight that tiers below cause, not the endpoint
	maxDeficitLag         = 2.0  // weights that an endpoint passed over for its load may fall behind
	maxLatencyRatio       = 20.0 // largest latency ratio that one sample can show
	riskyTrialBackoffs    = 2    // backoffs for which a risky trial waits for an idempotent request
)

// hasLowerDeficit orders the active heap.
func hasLowerDeficit(x, y *endpoint) bool {
	return x.deficit < y.deficit || x.deficit == y.deficit && x.subsetIndex < y.subsetIndex
}

// hasSoonerTrial orders the trial heap. Endpoints with their trial in flight come last, of these
// the ones with the fewest attempts in flight first.
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

// hasLowerWeight orders endpoints of one kind.
func hasLowerWeight(x, y *endpoint) bool {
	return x.samples.weight(1) < y.samples.weight(1)
}

// mayReceive reports whether an endpoint may get a request: it is ready, its slow start allows a
// further send, and the request cannot take effect twice.
func (b *Balancer) mayReceive(now time.Duration, req *request, e *endpoint) bool {
	if e.State != Ready {
		return false
	}
	isPaced := now < e.slowStart.nextSendAt && !b.isWarm(now, e)
	return !isPaced && b.mayAttemptAt(now, req, e)
}

// selectForDispatch returns the endpoint for the next attempt, nil if there is none with capacity.
func (b *Balancer) selectForDispatch(now time.Duration, req *request) *endpoint {
	e := b.selectInSubset(now, req)
	if !req.isRetry() {
		if e != nil && !b.hasCapacity(e) {
			return nil
		}
		return e
	}
	if e == nil && !b.subsetIsAll { // the key scope of a retry may lie outside the subset
		active := candidates{endpoints: b.endpoints, active: true}
		return b.selectEndpoint(now, req, active, candidates{endpoints: b.endpoints})
	}
	return e
}

// selectInSubset returns the endpoint of the subset that is to get the request, nil if there is
// none.
func (b *Balancer) selectInSubset(now time.Duration, req *request) *endpoint {
	return b.selectEndpoint(now, req, candidates{heap: &b.activeHeap}, candidates{heap: &b.trialHeap})
}

// selectEndpoint chooses a due trial, else the lowest deficit. If the request was sent to all
// active endpoints before, it chooses the soonest trial, even of an endpoint whose trial is in
// flight.
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

// selectDueTrial returns the endpoint whose trial is due first, nil if none is. The search stops at
// a candidate that is no better than the one found: those below it in the heap are no better
// either.
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

// selectLowestDeficit returns the active endpoint with the lowest charge, nil if none may receive
// the request, and whether any is active. Attempts in flight are charged on top of the deficit, so
// that overload or a hang is seen before its responses are.
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
		charge := deficit + inFlightCharge*e.weight()*float64(e.inFlight)
		if req.wasSentTo(e) {
			charge += maxLatencyRatio
		}
		isFirstOfEquals := charge == lowest && best != nil && e.subsetIndex < best.subsetIndex
		if charge < lowest || isFirstOfEquals {
			best = e
			lowest = charge
		}
		return true
	})
	return best, anyActive
}

// selectSoonestTrial returns the endpoint whose trial is the next, due or not.
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

// selectAnyInactive returns some inactive endpoint, even one that the request was sent to before or
// whose trial is risky: better than none.
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

// mayBeTrial reports whether a request may be an endpoint's trial.
func (b *Balancer) mayBeTrial(now time.Duration, req *request, e *endpoint) bool {
	isTooRisky := req.isLostByFailure() && e.isRiskyTrial(now)
	return !isTooRisky && !req.wasSentTo(e) && b.mayReceive(now, req, e)
}

// isLostByFailure reports whether a request whose attempt fails is lost, since it may not be sent
// again once it may have run.
func (r *request) isLostByFailure() bool {
	return r.class.Idempotency != Idempotent || r.class.NeverRerun
}

// isRiskyTrial reports whether a request that may not be sent again is likely to be lost at a
// trial: the endpoint failed requests that it had accepted. Idempotent requests are its trial
// first.
func (e *endpoint) isRiskyTrial(now time.Duration) bool {
	failed := e.inactiveReason == InactiveFailing || e.inactiveReason == InactiveUnresponsive
	return failed && now < e.trial.nextAt+riskyTrialBackoffs*e.trial.backoff
}

// chargeDeficit adds the expected cost of a request to an active endpoint's deficit.
func (b *Balancer) chargeDeficit(req *request, e *endpoint) {
	weight := e.weight()
	before := e.deficit
	charge := weight
	if b.settings.TiersBelow > 0 { // the time of the tiers below must not make slow machines look fast
		charge -= tiersBelowWeightShare * min(b.smallestActiveWeight(), weight)
	}
	e.deficit += charge * b.expectedLatency(req) / b.typicalLatency()
	b.updateHeaps(e)
	b.raiseLowestDeficits(before - b.deficitBaseFor(e) + b.deficitBase - maxDeficitLag*weight)
}

// raiseLowestDeficits raises the deficits of active endpoints that are below a floor: an endpoint
// that was passed over for its load must not get all requests until it has caught up.
func (b *Balancer) raiseLowestDeficits(floor float64) {
	heap := &b.activeHeap
	for len(heap.endpoints) > 0 && heap.endpoints[0].deficit < floor {
		heap.endpoints[0].deficit = floor
		heap.fix(0)
	}
}

// expectedLatency returns what a request takes at an endpoint without load, in seconds, by its
// class.
func (b *Balancer) expectedLatency(req *request) float64 {
	c := req.class
	if c.latency.samples == 0 || c.latency.baseline <= 0 {
		return max(c.LatencyObjective.Seconds()/4, 0.001)
	}
	return c.latency.baseline
}
