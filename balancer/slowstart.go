package balancer

// Slow start: when an endpoint that is new or has restarted gets its first request, and how often
// it gets requests while it warms up.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A warming endpoint gets defaultSlowStartShare times its equal share of the traffic, in
	// proportion to its present capacity. While no endpoint is warm, each successful response that
	// shows no congestion multiplies that rate by slowStartSpeedUpStep, up to maxSlowStartSpeedUp
	// times the initial rate.
	defaultSlowStartShare = 1.5
	slowStartSpeedUpStep  = 1.25
	maxSlowStartSpeedUp   = 10.0

	minCapacityShare = 0.05 // lower limit of an endpoint's capacity share, regardless of the settings

	// minRecentRate is the lower limit of the recent rate while the long-term rate is higher, in
	// requests per second.
	minRecentRate = 0.2

	// Any number of multiples of goldenRatio modulo 1 spread evenly over the range from 0 to 1.
	goldenRatio = 0.6180339887
)

// introduceInitialEndpoint initializes an endpoint of the first endpoint list. It is active at once
// if it is warm.
func (b *Balancer) introduceInitialEndpoint(now time.Duration, e *endpoint) {
	e.active = b.isWarm(now, e)
	b.resetEndpoint(now, e)
}

// introduceEndpoint initializes a new or restarted endpoint, which stays outside the active set
// until its first trial succeeds.
func (b *Balancer) introduceEndpoint(now time.Duration, e *endpoint) {
	e.active = false
	b.resetEndpoint(now, e)
}

// resetEndpoint discards the samples of a new or restarted endpoint and schedules its first trial
// and its first send. Requests wait for the first send to a warming endpoint even if it is the only
// one: all instances have requests waiting for that endpoint, and must not send them all at once.
func (b *Balancer) resetEndpoint(now time.Duration, e *endpoint) {
	e.inactiveReason = InactiveNew
	e.trial.backoff = b.initialBackoff(now)
	e.trial.nextAt = now + b.firstTrialDelay(now, e)
	e.samples.sum = 0
	e.samples.count = 0
	e.slowStart.speedUp = 1
	e.deficit = b.deficitBaseFor(e) + b.rng.Float64()
	if !b.isWarm(now, e) {
		e.slowStart.nextSendAt = e.trial.nextAt
		b.trackWarming(e)
	}
	b.updateHeaps(e)
}

// firstTrialDelay returns the time until the first trial of an endpoint. It is an offset within
// this instance's send interval, or longer if slow start requires it. All instances learn of the
// endpoint at the same time, and with random offsets alone some would send to it together. Each
// instance therefore starts from its index times the golden ratio, modulo 1, which spreads the
// offsets evenly. An instance that does not know its index (-1) draws its offset from the whole
// interval.
func (b *Balancer) firstTrialDelay(now time.Duration, e *endpoint) time.Duration {
	slots := float64(max(b.settings.Instances*min(b.settings.Index+1, 1), 1))
	offset := math.Mod(float64(max(b.settings.Index, 0))*goldenRatio+b.rng.Float64()/slots, 1)
	wait := seconds(offset * b.sendInterval(now).Seconds())
	return max(wait, b.slowStartInterval(now, e, offset))
}

// rescheduleFirstTrials schedules the first trials of warming endpoints again once the request
// rate, on which their time depends, is known.
func (b *Balancer) rescheduleFirstTrials(now time.Duration) {
	for _, e := range b.warming {
		isUntried := e.inactiveReason == InactiveNew && e.samples.count == 0
		if e.State == Ready && isUntried && !b.isWarm(now, e) {
			b.introduceEndpoint(now, e)
		}
	}
}

// isWarm reports whether an endpoint has reached its full capacity.
func (b *Balancer) isWarm(now time.Duration, e *endpoint) bool { return b.capacityShare(now, e) >= 1 }

// capacityShare returns the least share of its full capacity that an endpoint has by now. It rises
// linearly from SlowStartCapacity to 1 over SlowStartWindow.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	started := e.startedAt()
	if started <= 0 || now-started >= b.settings.SlowStartWindow {
		return 1
	}
	age := float64(max(now-started, 0)) / float64(b.settings.SlowStartWindow)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age, minCapacityShare)
}

// slowStartInterval returns the time over which this instance may send a number of requests, trials
// included, to a warming endpoint: for sends = 1, the time between two sends. It prevents all
// instances together from overloading the endpoint. The interval allows for the capacity that
// the endpoint gains before the next send. If only the capacity at the last send counted,
// low-traffic instances would keep to the rate that the endpoint could take when it started.
func (b *Balancer) slowStartInterval(now time.Duration, e *endpoint, sends float64) time.Duration {
	share := cmp.Or(b.settings.SlowStartShare, defaultSlowStartShare)
	warmInterval := sends * b.sendInterval(now).Seconds() / (share * max(e.slowStart.speedUp, 1))
	capacity := b.capacityShare(now, e)
	if capacity == 1 {
		return seconds(warmInterval)
	}
	capacityPerSecond := max(1-b.settings.SlowStartCapacity, 0) / b.settings.SlowStartWindow.Seconds()
	// warmInterval = capacity*t + capacityPerSecond*t*t/2, solved for t
	return seconds(2 * warmInterval /
		(capacity + math.Sqrt(capacity*capacity+2*capacityPerSecond*warmInterval)))
}

// speedUpSlowStart raises a warming endpoint's share of the traffic while no endpoint is warm and
// its latencies show no congestion: otherwise the endpoint would be idle under light load while
// requests wait. Warm endpoints that were ejected as slow still count as warm, since the extra
// requests would come from their share. A response that shows congestion ends the speed-up.
func (b *Balancer) speedUpSlowStart(now time.Duration, e *endpoint, latencyRatio float64) {
	isReadyAndWarm := func(o *endpoint) bool { return o.State == Ready && b.isWarm(now, o) }
	switch capacity := b.capacityShare(now, e); {
	case capacity == 1:
	case latencyRatio*capacity > congestionThreshold:
		e.slowStart.speedUp = 1
	case !slices.ContainsFunc(b.endpoints, isReadyAndWarm):
		e.slowStart.speedUp = min(max(e.slowStart.speedUp, 1)*slowStartSpeedUpStep, maxSlowStartSpeedUp)
		e.slowStart.nextSendAt = min(e.slowStart.nextSendAt, now+b.slowStartInterval(now, e, 1))
	}
}

// sendInterval returns the time between two sends of this instance to the same endpoint if all
// endpoints of the subset get equally many requests. A low-traffic instance uses its long-term
// rate: just after a request its recent rate is too high, and many instances would then send to a
// new endpoint at the same time.
func (b *Balancer) sendInterval(now time.Duration) time.Duration {
	longTermRate := b.requestRate.longTermPerSecond(now)
	lowerRate := min(b.requestRate.perSecond(now), longTermRate)
	return seconds(float64(b.subsetSize) / max(lowerRate, min(longTermRate, minRecentRate)))
}

// scheduleWarmingWakeUps schedules a wake-up for each time at which a warming endpoint may get its
// next send.
func (b *Balancer) scheduleWarmingWakeUps(now time.Duration) {
	b.warming = slices.DeleteFunc(b.warming, func(e *endpoint) bool {
		return e.slowStart.nextSendAt <= now || e.State == Removed
	})
	for _, e := range b.warming {
		b.scheduleWakeUp(e.slowStart.nextSendAt)
	}
}
