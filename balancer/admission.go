package balancer

// Admission: which requests are rejected at once, which wait for capacity, and how long they wait.

import (
	"cmp"
	"slices"
	"time"
)

const (
	highUtilization = 0.6 // share of the concurrency limit in use above which capacity may be short
	// Responses are slow if the recent latency ratio is above this multiple of the tolerated ratio.
	slowResponseRatio = 1.5
	highRateMultiple  = 1.3 // multiple of the sum of all quotas above which the request rate is high

	// The longest wait is this share of the mean latency objective times the tolerated ratio.
	maxQueueWaitShare = 0.05
	// A request joins a queue only if its time left is at least this share of its expected latency.
	minTimeLeftShare = 0.6

	quotaBurst       = 1.0                    // largest burst of a tenant, in seconds of its quota
	rejectRetryAfter = 300 * time.Millisecond // Retry-After of a rejection
)

// Request implements Events. A request is rejected at once if it cannot be answered in time, or if
// its tenant is over its quota while capacity is short or the request rate is high. Otherwise it
// is sent, or waits for capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classOf(now, r)
	b.recordRequest(now)
	req := &request{Request: r, class: c, arrivedAt: now, giveUpAt: b.giveUpBefore(r.Deadline)}
	b.openRequest(req)
	b.retryTokens.deposit(now)
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

// missesDeadline reports whether a new request cannot be answered in time. If other requests are
// queued, it would have to wait behind them, and its expected latency is checked as well.
func (b *Balancer) missesDeadline(now time.Duration, req *request) bool {
	return now >= req.giveUpAt || len(b.queue) > 0 && !b.canMeetDeadline(now, req, minTimeLeftShare)
}

// isRateHigh reports whether requests arrive at more than highRateMultiple times the rate that the
// quotas of all tenants allow together. A low-traffic instance can detect that before endpoints
// reach their capacity.
func (b *Balancer) isRateHigh(now time.Duration) bool {
	return b.requestRate.perSecond(now) > highRateMultiple*b.tenants.quota
}

// classOf returns the class of a request. A class that is not in the settings is added as
// non-idempotent.
func (b *Balancer) classOf(now time.Duration, r Request) *class {
	c := b.classes[r.Class]
	if c == nil {
		unlisted := Class{Idempotency: NonIdempotent, LatencyObjective: max(r.Deadline-now, 0)}
		c = &class{Class: unlisted, latency: &latencyEstimator{}}
		b.classes[r.Class] = c
	}
	return c
}

// giveUpBefore returns the time from which no response could reach the client before its deadline,
// given how late events and timers may be.
func (b *Balancer) giveUpBefore(deadline time.Duration) time.Duration {
	return deadline - max(b.settings.Resolution, time.Millisecond)
}

// chargeQuota charges a request to the quota of its tenant and reports whether the tenant is over
// its quota. Only the first tier applies quotas: tiers below may get several requests for one
// request of a client.
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
	if !req.ClientRetry { // the original request was charged
		t.takeToken()
	}
	return false
}

// isCapacityShort reports whether requests are queued, or much of the concurrency limit is in use
// and responses are slow.
func (b *Balancer) isCapacityShort() bool {
	responsesAreSlow := b.limiter.recentLatencyRatio > slowResponseRatio*b.toleratedRatio()
	return len(b.queue) > 0 || b.isHighlyUtilized() && responsesAreSlow
}

// enqueue adds a request to the queue for capacity, unless it is there already. It rejects a new
// request whose class has reached its queue limit.
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
	b.scheduleWarmingWakeUps(now)
}

// isQueueFull reports whether a class has reached its queue limit.
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

// dispatchQueue sends queued requests, oldest first: first attempts while there is capacity, and
// all retries, which need none.
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

// queueDeadline returns the time until which a request may wait for capacity. The longest wait is
// the same for all classes: otherwise the classes with the shortest latency objective would starve
// in overload.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	switch {
	case req.isRetry():
		return req.giveUpAt
	case b.readyCount == 0: // an endpoint that becomes ready before this deadline can still respond in time
		return req.giveUpAt - seconds(b.expectedLatency(req))
	}
	maxWait := seconds(maxQueueWaitShare * b.toleratedRatio() * b.meanObjective)
	return min(req.giveUpAt, req.arrivedAt+maxWait)
}

// queueTimeoutReason returns the reason in the answer to a request that has waited for too long.
func (b *Balancer) queueTimeoutReason(req *request) Reason {
	switch {
	case b.readyCount == 0:
		return NoEndpoint
	case req.queued && !req.isRetry():
		return NoCapacity
	}
	return DeadlineTooClose
}
