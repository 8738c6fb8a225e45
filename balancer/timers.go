package balancer

// Timers: what the Balancer does only because time has passed, and when it has to wake up for it.

import (
	"slices"
	"time"
)

// unwrittenGrace is how long after the deadline of a request its attempt may still end as one that
// was not written completely.
const unwrittenGrace = 150 * time.Millisecond

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
	at := b.giveUpTime(req)
	if req.queued {
		at = b.queueDeadline(req)
	}
	if req.hedgeAt > 0 {
		at = min(at, req.hedgeAt)
	}
	for i := range req.attempts {
		if req.attempts[i].inFlight && !req.attempts[i].unwritten {
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
		if now >= b.giveUpTime(req) || req.queued && now >= b.queueDeadline(req) {
			b.giveUp(now, req)
			continue
		}
		if req.hedgeAt > 0 && now >= req.hedgeAt {
			b.hedge(now, req)
		}
		for i := range req.attempts {
			if a := &req.attempts[i]; a.inFlight && !a.unwritten && now >= a.stragglingAt {
				b.handleStraggler(now, req, a)
			}
		}
	}
	b.dispatchQueue(now)
}

// giveUpTime returns the instant at which the Balancer gives up on a request. The host ends an
// attempt at the deadline while it is still writing the request, and then reports that the request
// has not run, so that it can be rejected. The Balancer waits a little for that.
func (b *Balancer) giveUpTime(req *request) time.Duration {
	if req.isBeingWritten() {
		return req.giveUpAt + unwrittenGrace
	}
	return req.giveUpAt
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
