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

// introduceFirstEndpoint introduces an endpoint of the first list: it is active if it is warm.
func (b *Balancer) introduceFirstEndpoint(now time.Duration, e *endpoint) {
	e.active = b.isWarm(now, e)
	b.resetEndpoint(now, e)
}

// introduceEndpoint puts a new or restarted endpoint outside the active set until its first trial.
func (b *Balancer) introduceEndpoint(now time.Duration, e *endpoint) {
	e.active = false
	b.resetEndpoint(now, e)
}

// resetEndpoint forgets what was known of an endpoint that is new or has restarted, and times its
// first trial and its first send. An endpoint that warms up waits for it even if it is the only
// one, since all instances have waited for that endpoint.
func (b *Balancer) resetEndpoint(now time.Duration, e *endpoint) {
	e.inactiveReason = InactiveNew
	e.trial.backoff = b.initialBackoff(now)
	e.trial.nextAt = now + b.firstTrialDelay(now, e)
	e.samples.sum = 0
	e.samples.count = 0
	e.slowStart.speedUp = 1
	e.deficit = b.zeroDeficit(e) + b.rng.Float64()
	if !b.isWarm(now, e) {
		e.slowStart.nextSendAt = e.trial.nextAt
		b.trackWarming(e)
	}
	b.updateHeaps(e)
}

// firstTrialDelay returns the time until the first trial of an endpoint, which is at an offset
// within this instance's send interval. All instances see the endpoint at once, and with random
// offsets alone some would send to it together: their indexes spread them as the golden ratio
// spreads a range. An instance that does not know its index (-1) draws from the whole interval.
func (b *Balancer) firstTrialDelay(now time.Duration, e *endpoint) time.Duration {
	spread := float64(max(b.settings.Instances*min(b.settings.Index+1, 1), 1))
	offset := math.Mod(float64(max(b.settings.Index, 0))*goldenRatio+b.rng.Float64()/spread, 1)
	wait := seconds(offset * b.sendInterval(now).Seconds())
	return max(wait, b.slowStartInterval(now, e, offset))
}

// rescheduleFirstTrials times the first trials of warming endpoints anew, once the rate of requests
// is known that they depend on.
func (b *Balancer) rescheduleFirstTrials(now time.Duration) {
	for _, e := range b.warming {
		isUntried := e.inactiveReason == InactiveNew && e.samples.count == 0
		if e.State == Ready && isUntried && !b.isWarm(now, e) {
			b.introduceEndpoint(now, e)
		}
	}
}

// isWarm reports whether an endpoint has its whole capacity by now.
func (b *Balancer) isWarm(now time.Duration, e *endpoint) bool { return b.capacityShare(now, e) >= 1 }

// capacityShare returns the share of its capacity that an endpoint has at least by now.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	started := e.startedAt()
	if started <= 0 || now-started >= b.settings.SlowStartWindow {
		return 1
	}
	age := float64(max(now-started, 0)) / float64(b.settings.SlowStartWindow)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age, minCapacityShare)
}

// slowStartInterval returns the time in which a warming endpoint's part of this instance's traffic
// comes to a number of sends, trials included: 1 for the time between two sends. It guards against
// all instances together overloading the endpoint. The part grows with the capacity between two
// sends: by the capacity at the last send alone, quiet instances would leave the endpoint at what
// it could do when it started.
func (b *Balancer) slowStartInterval(now time.Duration, e *endpoint, sends float64) time.Duration {
	share := cmp.Or(b.settings.SlowStartShare, defaultSlowStartShare)
	due := sends * b.sendInterval(now).Seconds() / (share * max(e.slowStart.speedUp, 1))
	capacity := b.capacityShare(now, e)
	if capacity == 1 {
		return seconds(due)
	}
	rise := max(1-b.settings.SlowStartCapacity, 0) / b.settings.SlowStartWindow.Seconds()
	return seconds(2 * due / (capacity + math.Sqrt(capacity*capacity+2*rise*due)))
}

// speedUpSlowStart gives a warming endpoint more of the traffic while no endpoint is warm and its
// responses are not those of a busy one: otherwise its share would leave it idle under light load.
// Warm endpoints that were ejected as slow count as warm: their load is what it would get.
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

// sendInterval returns the time between two sends of this instance to one endpoint when all get the
// same. A quiet instance goes by its slow rate: just after a request its recent rate is too high,
// and many instances would send to an endpoint that is new to all at the same time.
func (b *Balancer) sendInterval(now time.Duration) time.Duration {
	slow := b.rate.longTermPerSecond(now)
	lower := min(b.rate.perSecond(now), slow)
	return seconds(float64(b.subsetSize) / max(lower, min(slow, minFollowedRate)))
}

// scheduleWarming wakes the Balancer when an endpoint that warms up may get its next send.
func (b *Balancer) scheduleWarming(now time.Duration) {
	b.warming = slices.DeleteFunc(b.warming, func(e *endpoint) bool {
		return e.slowStart.nextSendAt <= now || e.State == Removed
	})
	for _, e := range b.warming {
		b.scheduleWakeUp(e.slowStart.nextSendAt)
	}
}
