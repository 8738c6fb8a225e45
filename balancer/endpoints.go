package balancer

// The endpoint list: how service discovery and the operators change it, and what changes with it.

import (
	"slices"
	"time"
)

// minSubscribeBackoff is the least wait before Host.Subscribe is called again after a failure.
const minSubscribeBackoff = 500 * time.Millisecond

// EndpointList implements Events. From the event that lists an endpoint as draining on, it gets no
// new request.
func (b *Balancer) EndpointList(now time.Duration, l EndpointList) {
	if l.Failed {
		b.scheduleSubscribe(now)
		return
	}
	b.subscription = subscription{}
	b.unlistedCount = l.Unlisted
	b.applyEndpointList(now, l)
}

// scheduleSubscribe sets the time of the next Host.Subscribe after a failure: with jitter, and
// within the poll interval.
func (b *Balancer) scheduleSubscribe(now time.Duration) {
	if !b.settings.SubscribeRequired {
		return
	}
	b.subscription.backOff(b.settings.PollInterval / 2)
	b.subscription.dueAt = now + b.jitter(b.subscription.backoff)
	b.scheduleWakeUp(b.subscription.dueAt)
}

// subscription is the state of the subscription to discovery.
type subscription struct {
	dueAt   time.Duration // next Host.Subscribe; 0: none is due
	backoff time.Duration // wait before it
}

// backOff doubles the backoff, up to a longest one.
func (s *subscription) backOff(longest time.Duration) {
	longest = max(longest, minSubscribeBackoff)
	s.backoff = min(max(2*s.backoff, minSubscribeBackoff), longest)
}

// isDue reports whether Host.Subscribe is to be called by now.
func (s subscription) isDue(now time.Duration) bool { return s.dueAt > 0 && now >= s.dueAt }

// applyEndpointList merges a list and adapts the subset, the slow start of what has started, and
// the concurrency limit.
func (b *Balancer) applyEndpointList(now time.Duration, l EndpointList) {
	isFirst := b.listedCount == 0
	changed, started := b.mergeEndpointList(l)
	b.updateSubset(changed) // the times of trials depend on the size of the subset
	for _, e := range started {
		if isFirst {
			b.introduceInitialEndpoint(now, e)
		} else {
			b.introduceEndpoint(now, e)
		}
	}
	if isFirst {
		b.limiter.limit = b.concurrencyLimitFor(b.fleetCount())
	}
	b.scaleConcurrencyLimit()
	b.dispatchQueue(now)
}

// Disable takes an endpoint out of service for the operators, whatever the list says. Its attempts
// in flight go on.
func (b *Balancer) Disable(now time.Duration, id string) {
	b.disabled[id] = true
	b.reapplyListedState(now, id)
}

// Enable ends Disable: the list applies to the endpoint again. It may have restarted meanwhile, so
// it goes through slow start. Its trial is due at once, since the operators wait for its result.
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

// reapplyListedState applies the listed state of an endpoint that the operators have disabled or
// enabled.
func (b *Balancer) reapplyListedState(now time.Duration, id string) {
	if e := b.byID[id]; e != nil {
		entry := e.Endpoint
		entry.State = e.listing.state
		b.applyEndpointList(now, EndpointList{Entries: []Endpoint{entry}})
	}
}

// allDisabled reports whether the list has ready endpoints and the operators have disabled all of
// them.
func (b *Balancer) allDisabled() bool {
	return b.readyCount == 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
		return e.State != Removed && e.listing.state == Ready
	})
}
