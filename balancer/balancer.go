package balancer

// The Balancer type: the events that a host reports (api.go has the interface) and the actions that
// follow. Each decision has a file of its own beside this one; docs/design.md has the sources of
// the policy.
//
// A weight is a latency ratio: latency over the baseline latency of requests like it. A deficit is
// what an endpoint has been charged for the requests that it got.

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance of a service that calls the endpoints. New makes one.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand // each draw counts: a further one changes all decisions that follow
	loggedAt map[LogKind]time.Duration

	classSet
	tenants     map[string]*tenant
	tenantQuota float64 // requests a second, of all tenants, for this instance alone

	endpointSet
	unlistedCount    int           // ready endpoints that only other instances send to
	wantedSubsetSize float64       // by the rate of requests
	subscribeAt      time.Duration // next Host.Subscribe; 0: none due
	subscribeBackoff time.Duration

	requestSet
	queue      []*request // waiting for capacity, in order of arrival
	rate       rateEstimator
	nextWakeUp time.Duration

	concurrency        int     // attempts in flight that count against the limit
	concurrencyLimit   float64 // how many may be
	limitReadyCount    int     // ready endpoints when the limit was last scaled
	recentLatencyRatio float64 // decayed mean over recent responses
	limitUpdatedAt     time.Duration
	nextLimitCutAt     time.Duration
	retryTokens        retryBucket
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that starts at now with no knowledge but its settings.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{
		settings: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 1)), loggedAt: map[LogKind]time.Duration{},
		endpointSet: newEndpointSet(), requestSet: newRequestSet(),
		rate: rateEstimator{startedAt: now, updatedAt: now}, recentLatencyRatio: 1,
	}
	b.applySettings(now, s)
	if s.SubscribeRequired {
		h.Subscribe()
	}
	return b
}

// Configure replaces the settings. All that was learned stays, classes and tenants by their names.
// A request that has come is treated to its end as its class was when it came. Seed and
// SubscribeRequired stay.
func (b *Balancer) Configure(now time.Duration, s Settings) {
	s.Seed, s.SubscribeRequired = b.settings.Seed, b.settings.SubscribeRequired
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
	a.mayHaveRun = o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent
	a.endpoint.inFlight--
	b.updateHeaps(a.endpoint)
	b.setCountsToLimit(a, false)
	exempt := b.isBudgetExempt(req, a, o.Result)
	if !a.streaming {
		b.evaluateAttempt(now, req, a, o.Result, o.Latency)
	}
	switch {
	case req.answered || o.Final || o.Result == OK:
		b.closeRequest(req)
	case !req.queued && req.inFlight() == 0:
		b.retry(now, req, exempt)
	}
	b.dispatchQueue(now)
}

// dispatch sends a request to the endpoint selected, or queues it. Retries do not wait for
// capacity.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	if len(req.attempts) > 0 || len(b.queue) == 0 || req.queued {
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

// send starts an attempt of a request at an endpoint and charges the endpoint for it.
func (b *Balancer) send(now time.Duration, req *request, e *endpoint) {
	if b.capacityShare(now, e) < 1 {
		e.nextSendAt = now + b.slowStartInterval(now, e, 1)
		b.trackWarming(e)
	}
	straggling := b.stragglingDelay(req, e)
	if e.active {
		b.chargeDeficit(req, e)
	}
	a := attempt{
		endpoint: e, startedAt: now, sentAt: now, inFlight: true, trial: !e.active,
		stragglingAt: now + straggling,
	}
	if req.Streamed {
		a.stragglingAt = req.Deadline // its endpoint does not have all of it yet
	}
	e.trialInFlight = a.trial
	e.inFlight++
	b.updateHeaps(e)
	req.attempts, req.queued, req.hedgeAt = append(req.attempts, a), false, 0
	b.setCountsToLimit(&req.attempts[len(req.attempts)-1], !req.Streamed)
	if delay := req.class.hedgeDelay(); delay > 0 && len(req.attempts) == 1 {
		req.hedgeAt = now + delay
		b.scheduleWakeUp(req.hedgeAt)
	}
	b.scheduleWakeUp(a.stragglingAt)
	timeout := req.Deadline - now
	if limit := req.class.AttemptTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	b.host.Send(req.ID, e.ID, max(timeout, time.Microsecond))
}

// rejectOrFail gives the final answer: a rejection where a repeat by the client is harmless, else a
// failure.
func (b *Balancer) rejectOrFail(req *request, reason Reason) {
	if req.mayReject() {
		b.host.Reject(req.ID, reason, min(b.jitter(rejectRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(req.ID, reason)
	}
	b.closeRequest(req)
}

// outageReason returns the reason for an answer while no endpoint takes new work, or else none.
func (b *Balancer) outageReason() Reason {
	if b.readyCount == 0 {
		return NoEndpoint
	}
	return ""
}
