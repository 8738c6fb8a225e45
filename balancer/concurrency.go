package balancer

// The concurrency limit: how many attempts of this instance may be in flight at once.

import (
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

// updateConcurrencyLimit adapts the limit to a response: down while it is in use and recent
// responses are slow, up while it is used up and they hardly are. It guards against endpoints that
// collapse under overload. A quiet instance has few responses to go by, and seldom an attempt in
// flight: the latest response counts most, and the attempt that it ended counts as well.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, latencyRatio float64) {
	gain := 1 - decay(now-b.limitUpdatedAt, latencyRatioMemory)
	b.limitUpdatedAt = now
	tolerated := b.toleratedRatio()
	sample := min(latencyRatio, maxLimitSampleRatio*tolerated)
	b.recentLatencyRatio += (sample - b.recentLatencyRatio) * max(gain, minLatencyRatioGain)
	threshold, used := congestionThreshold*tolerated, float64(b.concurrency+1)
	limit := b.effectiveConcurrencyLimit()
	switch {
	case b.recentLatencyRatio > threshold && used > highUtilization*limit && now >= b.nextLimitCutAt:
		cut := max(minLimitCutShare, threshold/b.recentLatencyRatio)
		least := b.endpointsPerInstance(b.listedCount + b.unlistedCount)
		b.concurrencyLimit = max(min(b.concurrencyLimit, used)*cut, least)
		b.nextLimitCutAt = now + seconds(b.recentLatencyRatio*b.typicalLatency()/2)
	case float64(b.concurrency+2) > limit:
		headroom := max(limitGrowthThreshold*tolerated-b.recentLatencyRatio, 0)
		b.concurrencyLimit += limitGrowthGain * tolerated * headroom
	}
}

// effectiveConcurrencyLimit returns what is left of the limit while some endpoints fail: the others
// must not get their part.
func (b *Balancer) effectiveConcurrencyLimit() float64 {
	working := b.concurrencyLimitFor(b.subsetSize - b.failingCount)
	return max(b.concurrencyLimit*working/b.concurrencyLimitFor(b.subsetSize), 1)
}

// concurrencyLimitFor returns the instance's part of what so many endpoints can take, and what
// chance needs beyond it: of calls that come at random, one instance has more than its part in
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

// toleratedRatio returns how far latencies may rise beyond the ordinary: as far as leaves them well
// within the latency objective, of which each tier has its part. Where that is long, a wait is
// better than a rejection.
func (b *Balancer) toleratedRatio() float64 {
	tiers := float64(1 + b.settings.Tier + b.settings.TiersBelow)
	return max(responseObjectiveShare*b.meanObjective/b.typicalLatency()/tiers/congestionThreshold, 1)
}

// isHighlyUtilized reports whether much of the concurrency limit is in use.
func (b *Balancer) isHighlyUtilized() bool {
	return float64(b.concurrency) > highUtilization*b.effectiveConcurrencyLimit()
}

// hasCapacity reports whether one more attempt may go to an endpoint: within the limit, or within
// the endpoint's own part of it while others use more than theirs.
func (b *Balancer) hasCapacity(e *endpoint) bool {
	limit := b.effectiveConcurrencyLimit()
	part := limit / float64(max(len(b.activeHeap.endpoints), 1))
	return float64(b.concurrency) < limit || e.active && float64(e.inFlight+1) <= part
}
