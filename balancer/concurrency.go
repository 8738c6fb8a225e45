package balancer

// The concurrency limit: how many attempts of this instance may be in flight at once.

import (
	"cmp"
	"math"
	"time"
)

const (
	// Before anything is known, the limit is initialLimitPerEndpoint attempts for each endpoint of
	// this instance, and limitHeadroomDeviations standard deviations of what chance adds at one of
	// many.
	initialLimitPerEndpoint = 6.0
	limitHeadroomDeviations = 3.0

	// The limit is cut while the recent latency ratio is beyond congestionThreshold (1.8 is usual
	// under load) times the tolerated one. A cut leaves at least minLimitCutShare of it and is
	// followed by another after half a latency at the earliest.
	congestionThreshold = 2.0
	minLimitCutShare    = 0.5

	// With each response at the limit it grows by limitGrowthGain times what the recent latency ratio
	// is short of limitGrowthThreshold.
	limitGrowthGain      = 0.2
	limitGrowthThreshold = 1.5

	// The recent latency ratio decays to 1/e in latencyRatioMemory, and each response counts with
	// minLatencyRatioGain at least. One response shows no more than maxLimitSampleRatio.
	latencyRatioMemory  = 2 * time.Second
	minLatencyRatioGain = 0.05
	maxLimitSampleRatio = 4.0

	// responseObjectiveShare is the share of the latency objective that responses may take.
	responseObjectiveShare = 0.5
)

// concurrencyLimiter counts the attempts in flight against a limit, which follows the latency
// ratios of the responses. What a client takes to send or to read does not count: the limit is for
// what makes endpoints slow.
type concurrencyLimiter struct {
	inFlight           int           // attempts in flight that count
	limit              float64       // how many may be
	scaledReadyCount   int           // ready endpoints when the limit was last scaled
	recentLatencyRatio float64       // decayed mean over recent responses
	updatedAt          time.Duration // latest response
	nextCutAt          time.Duration // the limit is not cut before
}

// newConcurrencyLimiter returns a limiter that has seen no response.
func newConcurrencyLimiter() concurrencyLimiter { return concurrencyLimiter{recentLatencyRatio: 1} }

// start counts an attempt from now on.
func (l *concurrencyLimiter) start(a *attempt) {
	if !a.countsTowardLimit {
		a.countsTowardLimit = true
		l.inFlight++
	}
}

// end no longer counts an attempt.
func (l *concurrencyLimiter) end(a *attempt) {
	if a.countsTowardLimit {
		a.countsTowardLimit = false
		l.inFlight--
	}
}

// recordLatencyRatio adds the latency ratio of a response. At a quiet instance, which has few, the
// latest counts most.
func (l *concurrencyLimiter) recordLatencyRatio(now time.Duration, latencyRatio float64) {
	gain := 1 - decay(now-l.updatedAt, latencyRatioMemory)
	l.updatedAt = now
	l.recentLatencyRatio += (latencyRatio - l.recentLatencyRatio) * max(gain, minLatencyRatioGain)
}

// cut shrinks the limit to a part of what is used, by how far the recent latency ratio is beyond
// the threshold, but not below the least.
func (l *concurrencyLimiter) cut(used, threshold, least float64) {
	share := max(minLimitCutShare, threshold/l.recentLatencyRatio)
	l.limit = max(min(l.limit, used)*share, least)
}

// grow raises the limit by how far responses are from being slow.
func (l *concurrencyLimiter) grow(toleratedRatio float64) {
	headroom := max(limitGrowthThreshold*toleratedRatio-l.recentLatencyRatio, 0)
	l.limit += limitGrowthGain * toleratedRatio * headroom
}

// updateConcurrencyLimit adapts the limit to a response: down while it is in use and recent
// responses are slow, up while it is used up and they hardly are. It guards against endpoints that
// collapse under overload. The attempt that has just ended counts as in flight here, since a quiet
// instance seldom has another.
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

// scaleConcurrencyLimit scales the limit with the number of ready endpoints: those that take new
// work must not get the part of those that do not.
func (b *Balancer) scaleConcurrencyLimit() {
	if b.readyCount == 0 {
		return
	}
	before := cmp.Or(b.limiter.scaledReadyCount, b.readyCount)
	b.limiter.limit *= b.concurrencyLimitFor(b.readyCount) / b.concurrencyLimitFor(before)
	b.limiter.scaledReadyCount = b.readyCount
}

// effectiveConcurrencyLimit returns the limit without the part of the endpoints that fail, which
// the others must not get.
func (b *Balancer) effectiveConcurrencyLimit() float64 {
	working := b.concurrencyLimitFor(b.subsetSize - b.failingCount)
	return max(b.limiter.limit*working/b.concurrencyLimitFor(b.subsetSize), 1)
}

// concurrencyLimitFor returns the instance's part of what a number of endpoints can take, and an
// allowance for chance: with requests that come at random, one instance has more than its part in
// flight far sooner than all together have more than theirs.
func (b *Balancer) concurrencyLimitFor(endpoints int) float64 {
	part := initialLimitPerEndpoint * b.endpointsPerInstance(endpoints)
	all := initialLimitPerEndpoint * float64(max(endpoints, 1))
	return part + limitHeadroomDeviations*(math.Sqrt(part)-part/math.Sqrt(all))
}

// endpointsPerInstance returns how many of the endpoints there are for this instance alone. Behind
// the first tier instances are many and each has little to send: there it is all of them.
func (b *Balancer) endpointsPerInstance(endpoints int) float64 {
	n := float64(endpoints)
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.Instances, 1))
	}
	return max(n, 1)
}

// toleratedRatio returns how many times the usual latency ratios are tolerated: as many as leave
// latencies well within the latency objective, of which each tier has its part. Where the objective
// is long, a wait is better than a rejection.
func (b *Balancer) toleratedRatio() float64 {
	tiers := float64(1 + b.settings.Tier + b.settings.TiersBelow)
	return max(responseObjectiveShare*b.meanObjective/b.typicalLatency()/tiers/congestionThreshold, 1)
}

// isHighlyUtilized reports whether much of the concurrency limit is in use.
func (b *Balancer) isHighlyUtilized() bool {
	return float64(b.limiter.inFlight) > highUtilization*b.effectiveConcurrencyLimit()
}

// hasCapacity reports whether one more attempt may go to an endpoint: the limit is not used up, or
// others use more than their part of it and the endpoint has some of its own part left.
func (b *Balancer) hasCapacity(e *endpoint) bool {
	limit := b.effectiveConcurrencyLimit()
	part := limit / float64(max(len(b.activeHeap.endpoints), 1))
	isWithinLimit := float64(b.limiter.inFlight) < limit
	isWithinPart := e.active && float64(e.inFlight+1) <= part
	return isWithinLimit || isWithinPart
}
