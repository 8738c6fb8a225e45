package balancer

// Admission: which requests are rejected at once, which wait for capacity, and for how long.

import (
	"cmp"
	"slices"
	"time"
)

const (
	highUtilization    = 0.6 // share of the concurrency limit from which capacity may be short
	shortCapacityRatio = 1.5 // recent latency ratio from which it is, in tolerated ratios
	highRateMultiple   = 1.3 // multiple of all quotas from which the rate of requests is high

	maxQueueWaitShare = 0.05 // share of the mean latency objective that a request waits at most
	minTimeLeftShare  = 0.6  // share of its expected latency that a request must have left to wait

	quotaBurst       = 1.0                    // seconds of a tenant's quota that may come at once
	rejectRetryAfter = 300 * time.Millisecond // Retry-After of a rejection
)

// Request implements Events. A request is rejected at once if it cannot be in time, or is over its
// tenant's quota while capacity is short or more is asked than all quotas together (quiet instances
// see that before endpoints are full). Otherwise it is sent, or waits for capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classOf(now, r)
	b.recordRequest(now)
	req := &request{Request: r, class: c, arrivedAt: now, giveUpAt: b.giveUpBefore(r.Deadline)}
	b.openRequest(req)
	b.retryTokens.earn(now)
	overQuota, short := b.isOverQuota(now, req), b.isCapacityShort()
	switch {
	case now >= req.giveUpAt || len(b.queue) > 0 && !b.canMeetDeadline(now, req, minTimeLeftShare):
		b.rejectOrFail(req, DeadlineTooClose)
	case overQuota && (short || b.rate.perSecond(now) > highRateMultiple*b.tenantQuota):
		b.rejectOrFail(req, OverQuota)
	default:
		b.dispatch(now, req)
		b.scheduleWakeUp(b.nextCheckAt(req))
	}
}

// classOf returns the class of a request. In a class that is not in the settings nothing that may
// have run is repeated.
func (b *Balancer) classOf(now time.Duration, r Request) *class {
	c := b.classes[r.Class]
	if c == nil {
		unlisted := Class{Idempotency: NonIdempotent, LatencyObjective: max(r.Deadline-now, 0)}
		c = &class{Class: unlisted, latency: &latencyEstimator{}}
		b.classes[r.Class] = c
	}
	return c
}

// giveUpBefore returns the instant from which no response would reach the client before its
// deadline.
func (b *Balancer) giveUpBefore(deadline time.Duration) time.Duration {
	return deadline - max(b.settings.Resolution, time.Millisecond)
}

// isOverQuota charges a request to its tenant's quota and reports whether it is beyond it. Only the
// first tier can know: further down one request becomes several calls.
func (b *Balancer) isOverQuota(now time.Duration, req *request) bool {
	t := b.tenants[req.Tenant]
	if t == nil || t.Quota <= 0 || b.settings.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.settings.Instances, 1))
	t.refill(now, 0, rate, max(rate*quotaBurst, 1))
	if !t.hasToken() {
		return true
	}
	if !req.ClientRetry { // the client's first attempt has paid
		t.takeToken()
	}
	return false
}

// isCapacityShort reports whether requests wait, or the concurrency limit is in use and responses
// are slow.
func (b *Balancer) isCapacityShort() bool {
	responsesAreSlow := b.recentLatencyRatio > shortCapacityRatio*b.toleratedRatio()
	return len(b.queue) > 0 || b.isHighlyUtilized() && responsesAreSlow
}

// enqueue has a request wait for capacity, or rejects it if its class allows no more to wait.
func (b *Balancer) enqueue(now time.Duration, req *request) {
	if !req.queued {
		if len(req.attempts) == 0 && b.isQueueFull(req.class) {
			b.rejectOrFail(req, cmp.Or(b.outageReason(), QueueFull))
			return
		}
		req.queued, b.queue = true, append(b.queue, req)
	}
	b.scheduleWakeUp(b.nextCheckAt(req))
	b.scheduleWarming(now)
}

// isQueueFull reports whether no more requests of a class may wait.
func (b *Balancer) isQueueFull(c *class) bool {
	if c.QueueLimit <= 0 {
		return c.QueueLimit < 0
	}
	waiting := 0
	for _, req := range b.queue {
		if req.queued && req.class == c {
			waiting++
		}
	}
	return waiting >= c.QueueLimit
}

// dispatchQueue sends queued requests while there is capacity, oldest first. Retries do not wait
// for others.
func (b *Balancer) dispatchQueue(now time.Duration) {
	full := false
	for _, req := range b.queue {
		if req.queued && (!full || len(req.attempts) > 0) {
			b.dispatch(now, req)
			full = full || req.queued && len(req.attempts) == 0
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool { return !req.queued })
}

// queueDeadline returns when a request stops waiting for capacity. It is alike for all classes:
// otherwise those with the shortest latency objective would starve in overload.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	switch {
	case len(req.attempts) > 0:
		return req.giveUpAt
	case b.readyCount == 0: // the first endpoint to come may still answer in time
		return req.giveUpAt - seconds(b.expectedLatency(req))
	}
	return min(req.giveUpAt, req.arrivedAt+seconds(maxQueueWaitShare*b.toleratedRatio()*b.meanObjective))
}

// queueTimeoutReason returns the reason for an answer to a request that has waited for too long.
func (b *Balancer) queueTimeoutReason(req *request) Reason {
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case req.queued && len(req.attempts) == 0:
		return NoCapacity
	}
	return DeadlineTooClose
}
