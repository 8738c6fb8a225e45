package balancer

// The endpoint list: how service discovery and the operators change it, and what follows.

import (
	"cmp"
	"slices"
	"time"
)

// minSubscribeBackoff is the least wait before Host.Subscribe is called again after a failure.
const minSubscribeBackoff = 500 * time.Millisecond

// EndpointList implements Events. Nothing new goes to an endpoint from the event on that says it
// drains.
func (b *Balancer) EndpointList(now time.Duration, l EndpointList) {
	if l.Failed {
		b.scheduleSubscribe(now)
		return
	}
	b.subscribeBackoff, b.subscribeAt, b.unlistedCount = 0, 0, l.Unlisted
	b.applyEndpointList(now, l)
}

// scheduleSubscribe sets the time of the next Host.Subscribe after a failure: each instance at a
// moment of its own, and within the poll interval.
func (b *Balancer) scheduleSubscribe(now time.Duration) {
	if !b.settings.SubscribeRequired {
		return
	}
	longest := max(b.settings.PollInterval/2, minSubscribeBackoff)
	b.subscribeBackoff = min(max(2*b.subscribeBackoff, minSubscribeBackoff), longest)
	b.subscribeAt = now + b.jitter(b.subscribeBackoff)
	b.scheduleWakeUp(b.subscribeAt)
}

// applyEndpointList merges a list and adapts the subset, the slow start of what has started, and
// the concurrency limit.
func (b *Balancer) applyEndpointList(now time.Duration, l EndpointList) {
	first := b.listedCount == 0
	touched, started := b.mergeEndpointList(l)
	b.updateSubset(touched) // before the trials are timed: with an empty subset all would be due
	for _, e := range started {
		b.introduceEndpoint(now, e, first)
	}
	if first {
		b.concurrencyLimit = b.concurrencyLimitFor(b.listedCount + b.unlistedCount)
	}
	if b.readyCount > 0 { // the endpoints that take new work must not get the part of those that do not
		before := cmp.Or(b.limitReadyCount, b.readyCount)
		b.concurrencyLimit *= b.concurrencyLimitFor(b.readyCount) / b.concurrencyLimitFor(before)
		b.limitReadyCount = b.readyCount
	}
	b.dispatchQueue(now)
}

// Disable takes an endpoint out for the operators, whatever the list says. Its attempts in flight
// go on.
func (b *Balancer) Disable(now time.Duration, id string) {
	b.disabled[id] = true
	b.reapplyListedState(now, id)
}

// Enable leaves an endpoint to the list again. It may have restarted meanwhile, so it goes through
// slow start. Its trial is due at once, since the operators wait to see it work.
func (b *Balancer) Enable(now time.Duration, id string) {
	if !b.disabled[id] {
		return
	}
	delete(b.disabled, id)
	if e := b.byID[id]; e != nil {
		e.enabledAt = now
		b.introduceEndpoint(now, e, false)
		e.nextTrialAt, e.nextSendAt = now, now
	}
	b.reapplyListedState(now, id)
}

// reapplyListedState applies the state that the list has for an endpoint, after the operators'
// changed.
func (b *Balancer) reapplyListedState(now time.Duration, id string) {
	if e := b.byID[id]; e != nil {
		entry := e.Endpoint
		entry.State = e.listedState
		b.applyEndpointList(now, EndpointList{Entries: []Endpoint{entry}})
	}
}

// allDisabled reports whether the list has ready endpoints and the operators have disabled all of
// them.
func (b *Balancer) allDisabled() bool {
	return b.readyCount == 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
		return e.State != Removed && e.listedState == Ready
	})
}
