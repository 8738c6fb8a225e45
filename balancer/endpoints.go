package balancer

// Endpoint list: how service discovery and the operators change it, and the effects of the changes.

import (
	"slices"
	"time"
)

// minSubscribeBackoff is the smallest backoff, without jitter, between a failure and the next
// Host.Subscribe.
const minSubscribeBackoff = 500 * time.Millisecond

// EndpointList implements Events. An endpoint gets no new requests from the moment at which it is
// listed as draining.
func (b *Balancer) EndpointList(now time.Duration, l EndpointList) {
	if l.Failed {
		b.scheduleSubscribe(now)
		return
	}
	b.subscription = subscription{}
	b.unlistedCount = l.Unlisted
	b.applyEndpointList(now, l)
}

// scheduleSubscribe schedules the next Host.Subscribe after a failure, with jitter. The backoff is
// at most half the poll interval, but not below minSubscribeBackoff.
func (b *Balancer) scheduleSubscribe(now time.Duration) {
	if !b.settings.SubscribeRequired {
		return
	}
	b.subscription.backOff(b.settings.PollInterval / 2)
	b.subscription.dueAt = now + b.jitter(b.subscription.backoff)
	b.scheduleWakeUp(b.subscription.dueAt)
}

// subscription is the state of the subscription to service discovery.
type subscription struct {
	dueAt   time.Duration // next Host.Subscribe; 0: none is scheduled
	backoff time.Duration // wait until dueAt, without jitter
}

// backOff doubles the backoff, up to longest, but not below minSubscribeBackoff.
func (s *subscription) backOff(longest time.Duration) {
	longest = max(longest, minSubscribeBackoff)
	s.backoff = min(max(2*s.backoff, minSubscribeBackoff), longest)
}

// isDue reports whether Host.Subscribe is due.
func (s subscription) isDue(now time.Duration) bool { return s.dueAt > 0 && now >= s.dueAt }

// applyEndpointList merges a list, then updates the subset, the slow start of endpoints that are
// new or have restarted, and the concurrency limit.
func (b *Balancer) applyEndpointList(now time.Duration, l EndpointList) {
	isFirst := b.listedCount == 0
	changed, started := b.mergeEndpointList(l)
	b.updateSubset(changed) // first: the times of trials depend on the size of the subset
	for _, e := range started {
		if isFirst {
			b.introduceInitialEndpoint(now, e)
		} else {
			b.introduceEndpoint(now, e)
		}
	}
	if isFirst {
		b.limiter.limit = b.concurrencyLimitFor(b.totalEndpointCount())
	}
	b.scaleConcurrencyLimit()
	b.dispatchQueue(now)
}

// Disable takes an endpoint out of service at the request of the operators, regardless of its
// listed state. Its attempts in flight are not canceled.
func (b *Balancer) Disable(now time.Duration, id string) {
	b.disabled[id] = true
	b.reapplyListedState(now, id)
}

// Enable reverts Disable: the listed state of the endpoint applies again. The endpoint goes through
// slow start, since it may have restarted while it was disabled. Its trial is due at once, since
// the operators wait for the result.
func (b *Balancer) Enable(now time.Duration, id string) {
	if !b.disabled[id] {
		return
	}
	delete(b.disabled, id)
	if e := b.byID[id]; e != nil {
		e.slowStart.enabledAt = now
		b.introduceEndpoint(now, e)
		e.trial.nextAt = now
		e.slowStart.nextSendAt = now
	}
	b.reapplyListedState(now, id)
}

// reapplyListedState applies the listed state of an endpoint again after the operators have
// disabled or enabled it.
func (b *Balancer) reapplyListedState(now time.Duration, id string) {
	if e := b.byID[id]; e != nil {
		entry := e.Endpoint
		entry.State = e.listing.state
		b.applyEndpointList(now, EndpointList{Entries: []Endpoint{entry}})
	}
}

// allDisabled reports whether endpoints are listed as ready, but the operators have disabled all of
// them.
func (b *Balancer) allDisabled() bool {
	return b.readyCount == 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
		return e.State != Removed && e.listing.state == Ready
	})
}
