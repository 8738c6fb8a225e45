package balancer

// The concurrency limit: how many attempts of this instance may be in flight at once.

import (
	"cmp"
	"math"
	"time"
)

const (
	// The initial limit is this instance's share of initialLimitPerEndpoint attempts per endpoint,
	// plus limitHeadroomDeviations standard deviations of the random variation at one of many
	// instances.
	initialLimitPerEndpoint = 6.0
	limitHeadroomDeviations = 3.0

	// The limit is cut while the recent latency ratio is above congestionThreshold times the tolerated
	// ratio (a recent latency ratio of 1.8 is usual under load). A cut leaves at least
	// minLimitCutShare of the limit or of the attempts in flight, whichever is lower. The next cut
	// follows after half the recent latency at the earliest.
	congestionThreshold = 2.0
	minLimitCutShare    = 0.5

	// Each response that ends while the limit is used up raises it by limitGrowthGain times the amount
	// by which the recent latency ratio is below limitGrowthThreshold. Both constants are multiplied
	// by the tolerated ratio.
	limitGrowthGain      = 0.2
	limitGrowthThreshold = 1.5

	// The influence of a response on the recent latency ratio decays to 1/e in latencyRatioMemory.
	// Each new response has a gain of at least minLatencyRatioGain, and its latency ratio is capped at
	// maxLimitSampleRatio times the tolerated ratio.
	latencyRatioMemory  = 2 * time.Second
	minLatencyRatioGain = 0.05
	maxLimitSampleRatio = 4.0

	// responseObjectiveShare is the share of the latency objective that latencies at the congestion
	// threshold may take, over all tiers together.
	responseObjectiveShare = 0.5
)

// concurrencyLimiter counts the attempts in flight against a limit that adapts to the latency
// ratios of the responses. An attempt does not count while the client sends the body or reads the
// response, since the limit is for what makes endpoints slow.
type concurrencyLimiter struct {
	inFlight           int           // attempts in flight that count against the limit
	limit              float64       // limit of inFlight
	scaledReadyCount   int           // ready endpoints when the limit was last scaled
	recentLatencyRatio float64       // decaying mean of the latency ratios of responses
	updatedAt          time.Duration // time of the latest response
	nextCutAt          time.Duration // time before which the limit is not cut again
}

// newConcurrencyLimiter returns a limiter that has seen no response.
func newConcurrencyLimiter() concurrencyLimiter { return concurrencyLimiter{recentLatencyRatio: 1} }

// start counts an attempt against the limit, unless it is counted already.
func (l *concurrencyLimiter) start(a *attempt) {
	if !a.countsTowardLimit {
		a.countsTowardLimit = true
		l.inFlight++
	}
}

// end stops counting an attempt.
func (l *concurrencyLimiter) end(a *attempt) {
	if a.countsTowardLimit {
		a.countsTowardLimit = false
		l.inFlight--
	}
}

// recordLatencyRatio updates the recent latency ratio with the latency ratio of one response. At a
// low-traffic instance, where responses are few, the latest one has most of the weight.
func (l *concurrencyLimiter) recordLatencyRatio(now time.Duration, latencyRatio float64) {
	gain := 1 - decay(now-l.updatedAt, latencyRatioMemory)
	l.updatedAt = now
	l.recentLatencyRatio += (latencyRatio - l.recentLatencyRatio) * max(gain, minLatencyRatioGain)
}

// cut reduces the limit to a share of the attempts in flight, or of the limit if that is lower. The
// share is the threshold over the recent latency ratio, but at least minLimitCutShare. The limit
// does not fall below least.
func (l *concurrencyLimiter) cut(used, threshold, least float64) {
	share := max(minLimitCutShare, threshold/l.recentLatencyRatio)
	l.limit = max(min(l.limit, used)*share, least)
}

// grow raises the limit in proportion to how far the recent latency ratio is below
// limitGrowthThreshold times the tolerated ratio.
func (l *concurrencyLimiter) grow(toleratedRatio float64) {
	headroom := max(limitGrowthThreshold*toleratedRatio-l.recentLatencyRatio, 0)
	l.limit += limitGrowthGain * toleratedRatio * headroom
}

// updateConcurrencyLimit adapts the limit after a response: it cuts the limit if recent responses
// are slow and much of it is in use, and raises it if they are fast and it is used up. This
// prevents endpoints from collapsing under overload. The attempt that has just ended counts as in
// flight here, since a low-traffic instance seldom has another one.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, latencyRatio float64) {
	tolerated := b.toleratedRatio()
	b.limiter.recordLatencyRatio(now, min(latencyRatio, maxLimitSampleRatio*tolerated))
	threshold := congestionThreshold * tolerated
	isCongested := b.limiter.recentLatencyRatio > threshold
	limit := b.effectiveConcurrencyLimit()
	used := float64(b.limiter.inFlight + 1)
	switch {
	case isCongested && used > highUtilization*limit && now >= b.limiter.nextCutAt:
		b.limiter.cut(used, threshold, b.endpointsPerInstance(b.totalEndpointCount()))
		b.limiter.nextCutAt = now + seconds(b.limiter.recentLatencyRatio*b.typicalLatency()/2)
	case used+1 > limit:
		b.limiter.grow(tolerated)
	}
}

// scaleConcurrencyLimit scales the limit with the number of ready endpoints, so that the ready ones
// do not get the load of those that take no new requests.
func (b *Balancer) scaleConcurrencyLimit() {
	if b.readyCount == 0 {
		return
	}
	before := cmp.Or(b.limiter.scaledReadyCount, b.readyCount)
	b.limiter.limit *= b.concurrencyLimitFor(b.readyCount) / b.concurrencyLimitFor(before)
	b.limiter.scaledReadyCount = b.readyCount
}

// effectiveConcurrencyLimit returns the limit without the share of the endpoints that are ejected
// for failures, so that the others do not get their load.
func (b *Balancer) effectiveConcurrencyLimit() float64 {
	working := b.concurrencyLimitFor(b.subsetSize - b.failingCount)
	return max(b.limiter.limit*working/b.concurrencyLimitFor(b.subsetSize), 1)
}

// concurrencyLimitFor returns this instance's share of the initial limit of a number of endpoints,
// plus an allowance for random variation: when requests arrive at random, a single instance exceeds
// its share far sooner than all instances together exceed the whole limit.
func (b *Balancer) concurrencyLimitFor(endpoints int) float64 {
	share := initialLimitPerEndpoint * b.endpointsPerInstance(endpoints)
	whole := initialLimitPerEndpoint * float64(max(endpoints, 1))
	return share + limitHeadroomDeviations*(math.Sqrt(share)-share/math.Sqrt(whole))
}

// endpointsPerInstance returns the number of endpoints divided by the number of instances, at least
// 1. Behind the first tier it returns all endpoints: there the instances are many, and each has few
// requests to send.
func (b *Balancer) endpointsPerInstance(endpoints int) float64 {
	n := float64(endpoints)
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.Instances, 1))
	}
	return max(n, 1)
}

// toleratedRatio returns the factor by which the thresholds for latency ratios are raised, at least
// 1. With it, latencies stay well within the latency objective, which all tiers share equally. If
// the objective is long, a wait is better than a rejection.
func (b *Balancer) toleratedRatio() float64 {
	tiers := float64(1 + b.settings.Tier + b.settings.TiersBelow)
	return max(responseObjectiveShare*b.meanObjective/b.typicalLatency()/tiers/congestionThreshold, 1)
}

// isHighlyUtilized reports whether more than highUtilization of the concurrency limit is in use.
func (b *Balancer) isHighlyUtilized() bool {
	return float64(b.limiter.inFlight) > highUtilization*b.effectiveConcurrencyLimit()
}

// hasCapacity reports whether another attempt may be sent to an endpoint: either the concurrency
// limit is not used up, or other endpoints use more than their equal share of it and this active
// endpoint is still within its own share.
func (b *Balancer) hasCapacity(e *endpoint) bool {
	limit := b.effectiveConcurrencyLimit()
	share := limit / float64(max(len(b.activeHeap.endpoints), 1))
	isWithinLimit := float64(b.limiter.inFlight) < limit
	isWithinShare := e.active && float64(e.inFlight+1) <= share
	return isWithinLimit || isWithinShare
}
