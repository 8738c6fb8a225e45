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

	quotaBurst       = 1.0                    // seconds of a tenant's quota that may be used at once
	rejectRetryAfter = 300 * time.Millisecond // Retry-After of a rejection
)

// Request implements Events. A request is rejected at once if it cannot be answered in time, or if
// it is over its tenant's quota while capacity is short or the rate of requests is high. Otherwise
// it is sent, or waits for capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classOf(now, r)
	b.recordRequest(now)
	req := &request{Request: r, class: c, arrivedAt: now, giveUpAt: b.giveUpBefore(r.Deadline)}
	b.openRequest(req)
	b.retryTokens.earn(now)
	isOverQuota := b.chargeQuota(now, req)
	switch {
	case b.missesDeadline(now, req):
		b.rejectOrFail(req, DeadlineTooClose)
	case isOverQuota && (b.isCapacityShort() || b.isRateHigh(now)):
		b.rejectOrFail(req, OverQuota)
	default:
		b.dispatch(now, req)
		b.scheduleWakeUp(b.nextCheckAt(req))
	}
}

// missesDeadline reports whether a new request cannot be answered in time. While others are
// queued, it would have to wait behind them.
func (b *Balancer) missesDeadline(now time.Duration, req *request) bool {
	return now >= req.giveUpAt || len(b.queue) > 0 && !b.canMeetDeadline(now, req, minTimeLeftShare)
}

// isRateHigh reports whether requests come at a higher rate than the quotas of all tenants together
// allow. Quiet instances see that before endpoints are at their capacity.
func (b *Balancer) isRateHigh(now time.Duration) bool {
	return b.requestRate.perSecond(now) > highRateMultiple*b.tenants.quota
}

// classOf returns the class of a request. One that is not in the settings is non-idempotent.
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

// chargeQuota charges a request to its tenant's quota and reports whether it is over it. Only the
// first tier can know: in a tier below, one request of a client becomes several.
func (b *Balancer) chargeQuota(now time.Duration, req *request) bool {
	t := b.tenants.byName[req.Tenant]
	if t == nil || t.Quota <= 0 || b.settings.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.settings.Instances, 1))
	t.refill(now, 0, rate, max(rate*quotaBurst, 1))
	if !t.hasToken() {
		return true
	}
	if !req.ClientRetry { // the client's first attempt was charged
		t.takeToken()
	}
	return false
}

// isCapacityShort reports whether requests wait, or the concurrency limit is in use and responses
// are slow.
func (b *Balancer) isCapacityShort() bool {
	responsesAreSlow := b.limiter.recentLatencyRatio > shortCapacityRatio*b.toleratedRatio()
	return len(b.queue) > 0 || b.isHighlyUtilized() && responsesAreSlow
}

// enqueue puts a request into the queue for capacity, or rejects it if its class has as many there
// as its queue limit allows.
func (b *Balancer) enqueue(now time.Duration, req *request) {
	if !req.queued {
		if !req.isRetry() && b.isQueueFull(req.class) {
			b.rejectOrFail(req, cmp.Or(b.outageReason(), QueueFull))
			return
		}
		req.queued = true
		b.queue = append(b.queue, req)
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

// dispatchQueue sends queued requests while there is capacity, oldest first. Retries need none.
func (b *Balancer) dispatchQueue(now time.Duration) {
	capacityUsedUp := false
	for _, req := range b.queue {
		if req.queued && (req.isRetry() || !capacityUsedUp) {
			b.dispatch(now, req)
			if req.queued && !req.isRetry() {
				capacityUsedUp = true
			}
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool { return !req.queued })
}

// queueDeadline returns until when a request may wait for capacity. The wait is the same for all
// classes: otherwise those with the shortest latency objective would starve in overload.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	switch {
	case req.isRetry():
		return req.giveUpAt
	case b.readyCount == 0: // an endpoint that is listed by then can still respond in time
		return req.giveUpAt - seconds(b.expectedLatency(req))
	}
	maxWait := seconds(maxQueueWaitShare * b.toleratedRatio() * b.meanObjective)
	return min(req.giveUpAt, req.arrivedAt+maxWait)
}

// queueTimeoutReason returns the reason for an answer to a request that has waited for too long.
func (b *Balancer) queueTimeoutReason(req *request) Reason {
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case req.queued && !req.isRetry():
		return NoCapacity
	}
	return DeadlineTooClose
}
