package hcldecode

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

const defaultBurst = 10 // retries that a budget may save up

// RetryBudget decodes a block "retry_budget".
func (r *Reader) RetryBudget(b *hcl.Block, to *balancer.RetryBudget) {
	var perRequest Share
	var perSecond Rate
	to.Burst = defaultBurst
	ok := r.Body(b.Body, Fields{"share!": &perRequest, "floor": &perSecond, "most": &to.Burst}, nil)
	if ok && to.Burst < 1 {
		r.Fault(r.Places[&to.Burst], "most: %g never lets a retry through; 1 is the least", to.Burst)
	}
	to.PerRequest, to.PerSecond = float64(perRequest), float64(perSecond)
}
