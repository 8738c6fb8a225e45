package balancer

// The Balancer type: the events that a host reports (api.go has the interface) and the actions that
// follow. Each kind of decision has a file of its own; docs/design.md has the sources of the
// policy.
//
// A latency ratio is a latency over the baseline latency of requests like it. The weight of an
// endpoint is its smoothed latency ratio. Its deficit is what it has been charged for the requests
// that it got.

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance of a service that sends requests to the endpoints. New returns
// one.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand // the number of draws is part of the decisions
	loggedAt map[LogKind]time.Duration

	classSet
	tenants tenantSet

	endpointSet
	wantedSubsetSize float64 // by the rate of requests
	subscription     subscription

	requestSet
	queue      []*request // waiting for capacity, in order of arrival
	rate       rateEstimator
	nextWakeUp time.Duration

	limiter     concurrencyLimiter
	retryTokens retryBucket
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that starts at now and has learned nothing.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{
		settings:    s,
		host:        h,
		rng:         rand.New(rand.NewPCG(s.Seed, 1)),
		loggedAt:    map[LogKind]time.Duration{},
		endpointSet: newEndpointSet(),
		requestSet:  newRequestSet(),
		rate:        rateEstimator{startedAt: now, updatedAt: now},
		limiter:     newConcurrencyLimiter(),
	}
	b.applySettings(now, s)
	if s.SubscribeRequired {
		h.Subscribe()
	}
	return b
}

// Configure replaces the settings, but for Seed and SubscribeRequired. All learned state stays:
// that of classes and tenants by their names. A request in flight keeps the class that it came
// with.
func (b *Balancer) Configure(now time.Duration, s Settings) {
	s.Seed = b.settings.Seed
	s.SubscribeRequired = b.settings.SubscribeRequired
	b.applySettings(now, s)
	b.updateSubset(nil)
	b.dispatchQueue(now)
}

// Outcome implements Events: the attempt's end is a sample of its endpoint, and the request may be
// retried.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	req := b.requests[o.ID]
	a := req.attemptInFlight(o.Attempt)
	if a == nil {
		return
	}
	a.inFlight = false
	a.mayHaveRun = o.Result.mayHaveRun()
	a.endpoint.inFlight--
	b.updateHeaps(a.endpoint)
	b.limiter.end(a)
	budget := b.retryBudgetUse(req, a, o.Result)
	if !a.streaming {
		b.evaluateAttempt(now, req, a, o.Result, o.Latency)
	}
	switch {
	case req.answered || o.Final || o.Result == OK:
		b.closeRequest(req)
	case !req.queued && req.inFlight() == 0:
		b.retry(now, req, budget)
	}
	b.dispatchQueue(now)
}

// dispatch sends a request to the endpoint selected, or queues it.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	if !b.mustQueue(req) {
		if e := b.selectForDispatch(now, req); e != nil {
			b.send(now, req, e)
			return
		}
	}
	if b.allDisabled() { // only the operators could end the wait
		b.rejectOrFail(req, NoEndpoint)
		return
	}
	b.enqueue(now, req)
}

// mustQueue reports whether a request has to wait behind others. Retries do not.
func (b *Balancer) mustQueue(req *request) bool {
	return !req.isRetry() && !req.queued && len(b.queue) > 0
}

// send starts an attempt of a request at an endpoint and charges the endpoint for it.
func (b *Balancer) send(now time.Duration, req *request, e *endpoint) {
	if !b.isWarm(now, e) {
		e.slowStart.nextSendAt = now + b.slowStartInterval(now, e, 1)
		b.trackWarming(e)
	}
	a := attempt{
		endpoint:     e,
		startedAt:    now,
		sentAt:       now,
		stragglingAt: now + b.stragglingDelay(req, e),
		inFlight:     true,
		trial:        !e.active,
	}
	if req.Streamed {
		a.stragglingAt = req.Deadline // its endpoint does not have all of it yet
	}
	if e.active {
		b.chargeDeficit(req, e)
	}
	e.trial.inFlight = a.trial
	e.inFlight++
	b.updateHeaps(e)
	b.recordAttempt(now, req, a)
	b.host.Send(req.ID, e.ID, req.attemptTimeout(now))
}

// recordAttempt adds an attempt to its request, and times what may follow from it.
func (b *Balancer) recordAttempt(now time.Duration, req *request, a attempt) {
	req.attempts = append(req.attempts, a)
	req.queued = false
	req.hedgeAt = 0
	if !req.Streamed {
		b.limiter.start(&req.attempts[len(req.attempts)-1])
	}
	if delay := req.class.hedgeDelay(); delay > 0 && len(req.attempts) == 1 {
		req.hedgeAt = now + delay
		b.scheduleWakeUp(req.hedgeAt)
	}
	b.scheduleWakeUp(a.stragglingAt)
}

// rejectOrFail gives a request its final answer: a rejection if a retry by the client is harmless,
// else a failure.
func (b *Balancer) rejectOrFail(req *request, reason Reason) {
	if req.mayReject() {
		b.host.Reject(req.ID, reason, min(b.jitter(rejectRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(req.ID, reason)
	}
	b.closeRequest(req)
}

// outageReason returns NoEndpoint while no endpoint is ready, else no reason.
func (b *Balancer) outageReason() Reason {
	if b.readyCount == 0 {
		return NoEndpoint
	}
	return ""
}
