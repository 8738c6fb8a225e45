package balancer

// Timers: what the Balancer does only because time has passed, and when it has to wake up for it.

import (
	"slices"
	"time"
)

// Timer implements Events. Timers cannot be canceled: one that fires before the next wake-up is
// stale and is ignored.
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

// scheduleWakeUp makes sure that a Timer event is requested for the given instant or earlier.
func (b *Balancer) scheduleWakeUp(at time.Duration) {
	if b.nextWakeUpAt == 0 || at < b.nextWakeUpAt {
		b.nextWakeUpAt = at
		b.host.Timer(at)
	}
}

// nextCheckAt returns the next instant at which something may be due for a request.
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

// runDueTimers performs the actions that are due: it subscribes to discovery, gives up on requests,
// hedges them, handles straggling attempts and sends queued requests.
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

// giveUp rejects or fails a request that can no longer be answered in time or has waited for
// capacity for too long.
func (b *Balancer) giveUp(now time.Duration, req *request) {
	if len(req.attempts) == 0 {
		b.log(now, LogEvent{Kind: CapacityExhausted, QueuedRequests: len(b.queue)})
	}
	b.rejectOrFail(req, b.queueTimeoutReason(req))
}

// jitter changes a duration at random by up to a quarter either way, so that instances do not act
// at the same time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}
