package balancer

// Subsetting: which endpoints this instance sends to. Without it, each of many low-traffic
// instances would send to each endpoint too seldom to learn its latency, and would open a
// connection for nearly every request.

import (
	"math"
	"time"
)

const (
	// A subset has about as many endpoints as this instance sends requests in subsetSendInterval. It
	// has more where each endpoint would otherwise be in the subsets of fewer than
	// minSubsetsPerEndpoint instances, or the subset would have fewer than minSubsetSize endpoints. If
	// that is at least half of the ready endpoints, the subset is all of them.
	subsetSendInterval    = time.Second
	minSubsetsPerEndpoint = 6.0
	minSubsetSize         = 4.0

	// The target size is updated only when the request rate calls for more than subsetGrowth
	// times or less than subsetShrink times that size. Otherwise it would change with each request.
	subsetGrowth = 1.5
	subsetShrink = 0.5
)

// recordRequest counts a request and adapts the target size of the subset to the request rate.
func (b *Balancer) recordRequest(now time.Duration) {
	isFirst := b.requestRate.recent == 0
	b.requestRate.observe(now)
	wanted := b.requestRate.perSecond(now) * subsetSendInterval.Seconds()
	if wanted > subsetGrowth*b.targetSubsetSize || wanted < subsetShrink*b.targetSubsetSize {
		b.targetSubsetSize = wanted
		b.updateSubset(nil)
	}
	if isFirst { // earlier endpoint lists had to schedule trials before the rate was known
		b.rescheduleFirstTrials(now)
	}
}

// updateSubset chooses the subset: endpoints at even steps through all ready ones, sorted by kind,
// from an offset that depends on the instance's index. Each endpoint is then in about equally many
// subsets, and all subsets have the same mix of kinds. Only changed endpoints are sorted in again,
// so that a small change of a long list needs no full sort.
func (b *Balancer) updateSubset(changed []*endpoint) {
	ready := float64(b.readyCount)
	instances := float64(max(b.settings.Instances, 1))
	coveringSize := minSubsetsPerEndpoint * (ready + float64(b.unlistedCount)) / instances
	size := math.Floor(max(b.targetSubsetSize, minSubsetSize, coveringSize))
	if 2*size >= ready {
		b.useAllEndpoints(changed)
		return
	}
	b.updateReadyByKind(changed)
	offset := min(float64(max(b.settings.Index, 0))/instances, 1-1/instances)
	subset := make([]*endpoint, int(size))
	for i := range subset {
		subset[i] = b.readyByKind[int((float64(i)+offset)/size*ready)]
	}
	b.replaceSubset(subset)
}
