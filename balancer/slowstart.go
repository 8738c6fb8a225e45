package balancer

// Slow start: how soon and how often an endpoint that is new or has restarted gets requests.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A warming endpoint is sent defaultSlowStartShare times its share of the traffic, by its
	// capacity. Where no endpoint is warm, each good response raises that by slowStartSpeedUpStep, up
	// to maxSlowStartSpeedUp times.
	defaultSlowStartShare = 1.5
	slowStartSpeedUpStep  = 1.25
	maxSlowStartSpeedUp   = 10.0

	minCapacityShare = 0.05 // capacity that an endpoint has at least, whatever the settings say
	minFollowedRate  = 0.2  // requests a second from which the recent rate is followed

	goldenRatio = 0.6180339887 // its multiples spread evenly over a range, however many there are
)

// introduceEndpoint puts a new or restarted endpoint outside the active set, its trial at an offset
// within this instance's send interval. All instances see it at once, and with random offsets alone
// some would meet: their indexes spread them as the golden ratio spreads a range. An instance that
// does not know its index (-1) draws from the whole interval. Endpoints of the first list that are
// warm are active.
func (b *Balancer) introduceEndpoint(now time.Duration, e *endpoint, first bool) {
	e.active, e.inactiveReason = first && b.capacityShare(now, e) == 1, InactiveNew
	e.backoff = b.initialBackoff(now)
	spread := float64(max(b.settings.Instances*min(b.settings.Index+1, 1), 1))
	offset := math.Mod(float64(max(b.settings.Index, 0))*goldenRatio+b.rng.Float64()/spread, 1)
	wait := seconds(offset * b.sendInterval(now).Seconds())
	e.nextTrialAt = now + max(wait, b.slowStartInterval(now, e, offset))
	e.sampleSum, e.sampleCount, e.slowStartSpeedUp = 0, 0, 1
	e.deficit = b.zeroDeficit(e) + b.rng.Float64()
	if b.capacityShare(now, e) < 1 { // also where it is the only one: all instances have waited for it
		e.nextSendAt = e.nextTrialAt
		b.trackWarming(e)
	}
	b.updateHeaps(e)
}

// rescheduleFirstTrials times anew the trials of endpoints that were timed by a rate not known
// then.
func (b *Balancer) rescheduleFirstTrials(now time.Duration) {
	for _, e := range b.warming {
		untried := e.inactiveReason == InactiveNew && e.sampleCount == 0
		if e.State == Ready && untried && b.capacityShare(now, e) < 1 {
			b.introduceEndpoint(now, e, false)
		}
	}
}

// capacityShare returns the least share of its capacity that an endpoint has by now.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	started := max(e.Started, e.enabledAt)
	if started <= 0 || now-started >= b.settings.SlowStartWindow {
		return 1
	}
	age := float64(max(now-started, 0)) / float64(b.settings.SlowStartWindow)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age, minCapacityShare)
}

// slowStartInterval returns the time until a warming endpoint's part of this instance's traffic,
// little more than its share, comes to so many sends: one between two sends, trials included. It
// guards against all instances together overloading the endpoint. The part is the area under the
// capacity: by the capacity at the last send alone, quiet instances would leave the endpoint at
// what it could do when it started.
func (b *Balancer) slowStartInterval(now time.Duration, e *endpoint, sends float64) time.Duration {
	share := cmp.Or(b.settings.SlowStartShare, defaultSlowStartShare)
	due := sends * b.sendInterval(now).Seconds() / (share * max(e.slowStartSpeedUp, 1))
	capacity := b.capacityShare(now, e)
	if capacity == 1 {
		return seconds(due)
	}
	rise := max(1-b.settings.SlowStartCapacity, 0) / b.settings.SlowStartWindow.Seconds()
	return seconds(2 * due / (capacity + math.Sqrt(capacity*capacity+2*rise*due)))
}

// speedUpSlowStart gives a warming endpoint more of the traffic while there are only such endpoints
// and its responses are not those of a busy one: otherwise its share would leave it idle at little
// load. Warm endpoints ejected as slow are no reason: their load is what the warming one would get.
func (b *Balancer) speedUpSlowStart(now time.Duration, e *endpoint, latencyRatio float64) {
	isWarm := func(o *endpoint) bool { return o.State == Ready && b.capacityShare(now, o) == 1 }
	switch capacity := b.capacityShare(now, e); {
	case capacity == 1:
	case latencyRatio*capacity > congestionThreshold:
		e.slowStartSpeedUp = 1
	case !slices.ContainsFunc(b.endpoints, isWarm):
		e.slowStartSpeedUp = min(max(e.slowStartSpeedUp, 1)*slowStartSpeedUpStep, maxSlowStartSpeedUp)
		e.nextSendAt = min(e.nextSendAt, now+b.slowStartInterval(now, e, 1))
	}
}

// sendInterval returns the time between two sends of this instance to one endpoint when all get the
// same. A quiet instance has to go by a long time: just after a request it would overestimate its
// rate, and many instances would meet at an endpoint that is new to all.
func (b *Balancer) sendInterval(now time.Duration) time.Duration {
	long := b.rate.slowPerSecond(now)
	return seconds(float64(b.subsetSize) / max(min(b.rate.perSecond(now), long), min(long, minFollowedRate)))
}

// scheduleWarming wakes the Balancer when an endpoint that warms up may get its next send.
func (b *Balancer) scheduleWarming(now time.Duration) {
	b.warming = slices.DeleteFunc(b.warming, func(e *endpoint) bool {
		return e.nextSendAt <= now || e.State == Removed
	})
	for _, e := range b.warming {
		b.scheduleWakeUp(e.nextSendAt)
	}
}
