package balancer

// Subsetting: which endpoints this instance sends to. Many quiet instances would otherwise send to
// each endpoint too seldom to learn its latency, and open a connection for nearly every request.

import (
	"math"
	"time"
)

const (
	// A subset is so large that this instance sends to each of its endpoints every subsetSendInterval,
	// that each endpoint is in the subsets of minSubsetsPerEndpoint instances, and that it has
	// minSubsetSize endpoints.
	subsetSendInterval    = time.Second
	minSubsetsPerEndpoint = 6.0
	minSubsetSize         = 4.0

	// The wanted size follows the rate of requests once that needs more than subsetGrowth times the
	// size, or for less than subsetShrink times. Otherwise it would change with each request.
	subsetGrowth = 1.5
	subsetShrink = 0.5
)

// recordRequest counts a request and adapts the wanted size of the subset to the rate.
func (b *Balancer) recordRequest(now time.Duration) {
	first := b.rate.recent == 0
	b.rate.observe(now)
	wanted := b.rate.perSecond(now) * subsetSendInterval.Seconds()
	if wanted > subsetGrowth*b.wantedSubsetSize || wanted < subsetShrink*b.wantedSubsetSize {
		b.wantedSubsetSize = wanted
		b.updateSubset(nil)
	}
	if first { // the lists before it could not time trials by the rate
		b.rescheduleFirstTrials(now)
	}
}

// updateSubset chooses the subset. Subsets are even steps through the list, sorted by kind and
// begun at an offset by the instance's index: all endpoints are in as many subsets, and all subsets
// have the same mix of kinds. The work depends on the number of endpoints changed.
func (b *Balancer) updateSubset(changed []*endpoint) {
	ready := float64(b.readyCount)
	instances := float64(max(b.settings.Instances, 1))
	even := minSubsetsPerEndpoint * (ready + float64(b.unlistedCount)) / instances
	size := math.Floor(max(b.wantedSubsetSize, minSubsetSize, even))
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
