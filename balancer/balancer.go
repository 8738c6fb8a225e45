package balancer

// The Balancer type: how it sends requests and handles the end of their attempts. The interface is
// in api.go, and each kind of decision is in a file of its own. docs/design.md has the sources of
// the policy.
//
// The latency ratio of a response is its latency divided by the baseline latency, which is the
// latency without load of requests of the same kind of work. The weight of an endpoint is its
// smoothed latency ratio. The deficit of an endpoint is the sum of the charges for the requests
// sent to it.

import (
	"math/rand/v2"
	"time"
)

// Balancer balances the requests that one instance sends to a set of endpoints. New returns one.
type Balancer struct {
	settings     Settings
	host         Host
	rng          *rand.Rand // actions depend on the number and the order of draws
	lastLoggedAt map[LogKind]time.Duration

	classSet
	tenants tenantSet

	endpointSet
	targetSubsetSize float64 // endpoints that the request rate calls for
	subscription     subscription

	requestSet
	queue        []*request // requests waiting for an endpoint, in the order in which they were queued
	requestRate  rateEstimator
	nextWakeUpAt time.Duration

	limiter     concurrencyLimiter
	retryTokens retryBucket
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that starts at now, without learned state.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{
		settings:     s,
		host:         h,
		rng:          rand.New(rand.NewPCG(s.Seed, 1)),
		lastLoggedAt: map[LogKind]time.Duration{},
		endpointSet:  newEndpointSet(),
		requestSet:   newRequestSet(),
		requestRate:  rateEstimator{startedAt: now, updatedAt: now},
		limiter:      newConcurrencyLimiter(),
	}
	b.applySettings(now, s)
	if s.SubscribeRequired {
		h.Subscribe()
	}
	return b
}

// Configure replaces the settings, except Seed and SubscribeRequired. All learned state is kept;
// classes and tenants are matched by name. Requests in flight keep the class settings with which
// they arrived.
func (b *Balancer) Configure(now time.Duration, s Settings) {
	s.Seed = b.settings.Seed
	s.SubscribeRequired = b.settings.SubscribeRequired
	b.applySettings(now, s)
	b.updateSubset(nil)
	b.dispatchQueue(now)
}

// Outcome implements Events. It takes the end of the attempt as a sample of its endpoint, unless
// the response was already being streamed. If the attempt failed, the request has no final answer
// and none of its attempts is in flight, it retries or answers the request.
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

// dispatch sends a request to the selected endpoint. If there is none, or if the request has to
// wait behind queued ones, it queues the request. It answers the request at once if the operators
// have disabled all endpoints, or if the queue limit of its class is reached.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	if !b.mustQueue(req) {
		if e := b.selectForDispatch(now, req); e != nil {
			b.send(now, req, e)
			return
		}
	}
	if b.allDisabled() { // waiting is of no use until an operator enables one
		b.rejectOrFail(req, NoEndpoint)
		return
	}
	b.enqueue(now, req)
}

// mustQueue reports whether a new request has to wait behind queued ones. Retries do not wait for
// others.
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
	a.unwritten = req.Streamed // until RequestWritten: the endpoint is still receiving the body
	if e.active {
		b.chargeDeficit(req, e)
	}
	e.trial.inFlight = a.trial
	e.inFlight++
	b.updateHeaps(e)
	b.recordAttempt(now, req, a)
	b.host.Send(req.ID, e.ID, req.attemptTimeout(now))
}

// recordAttempt adds an attempt to its request, and schedules the hedged request and the check for
// straggling.
func (b *Balancer) recordAttempt(now time.Duration, req *request, a attempt) {
	req.attempts = append(req.attempts, a)
	req.queued = false
	req.hedgeAt = 0
	if !req.Streamed {
		b.limiter.start(&req.attempts[len(req.attempts)-1])
	}
	if delay := req.hedgeDelay(); delay > 0 && len(req.attempts) == 1 {
		req.hedgeAt = now + delay
		b.scheduleWakeUp(req.hedgeAt)
	}
	if !a.unwritten {
		b.scheduleWakeUp(a.stragglingAt)
	}
}

// rejectOrFail gives a request its final answer: a rejection if a retry by the client is harmless,
// otherwise a failure.
func (b *Balancer) rejectOrFail(req *request, reason Reason) {
	if req.mayReject() {
		b.host.Reject(req.ID, reason, min(b.jitter(rejectRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(req.ID, reason)
	}
	b.closeRequest(req)
}

// outageReason returns NoEndpoint if no endpoint is ready, otherwise no reason.
func (b *Balancer) outageReason() Reason {
	if b.readyCount == 0 {
		return NoEndpoint
	}
	return ""
}
