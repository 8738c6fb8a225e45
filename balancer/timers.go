package balancer

// Timers: what is due by time alone, and when the Balancer has to check it.

import (
	"slices"
	"time"
)

// Timer implements Events. Timers cannot be canceled: one before the next wake-up is stale.
func (b *Balancer) Timer(now time.Duration) {
	if b.nextWakeUpAt == 0 || now < b.nextWakeUpAt {
		return
	}
	b.nextWakeUpAt = 0
	b.runDueTimers(now)
	if b.subscription.dueAt > 0 {
		b.scheduleWakeUp(b.subscription.dueAt)
	}
	for _, req := range b.unanswered {
		b.scheduleWakeUp(b.nextCheckAt(req))
	}
}

// scheduleWakeUp makes sure that there is a Timer event by the given instant.
func (b *Balancer) scheduleWakeUp(at time.Duration) {
	if b.nextWakeUpAt == 0 || at < b.nextWakeUpAt {
		b.nextWakeUpAt = at
		b.host.Timer(at)
	}
}

// nextCheckAt returns when a request has to be checked again.
func (b *Balancer) nextCheckAt(req *request) time.Duration {
	at := req.giveUpAt
	if req.queued {
		at = b.queueDeadline(req)
	}
	if req.hedgeAt > 0 {
		at = min(at, req.hedgeAt)
	}
	for i := range req.attempts {
		if req.attempts[i].inFlight {
			at = min(at, req.attempts[i].stragglingAt)
		}
	}
	return at
}

// runDueTimers does what is due: it subscribes, gives requests up, hedges them and handles
// straggling attempts.
func (b *Balancer) runDueTimers(now time.Duration) {
	if b.subscription.isDue(now) {
		b.subscription.dueAt = 0
		b.host.Subscribe()
	}
	for _, req := range slices.Clone(b.unanswered) {
		if now >= req.giveUpAt || req.queued && now >= b.queueDeadline(req) {
			b.giveUp(now, req)
			continue
		}
		if req.hedgeAt > 0 && now >= req.hedgeAt {
			b.hedge(now, req)
		}
		for i := range req.attempts {
			if a := &req.attempts[i]; a.inFlight && now >= a.stragglingAt {
				b.handleStraggler(now, req, a)
			}
		}
	}
	b.dispatchQueue(now)
}

// giveUp answers a request that can no longer be in time, or has waited for capacity for too long.
func (b *Balancer) giveUp(now time.Duration, req *request) {
	if len(req.attempts) == 0 {
		b.log(now, LogEvent{Kind: CapacityExhausted, QueuedRequests: len(b.queue)})
	}
	b.rejectOrFail(req, b.queueTimeoutReason(req))
}

// jitter spreads a time by a quarter both ways, so that instances do not act at the same time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}
