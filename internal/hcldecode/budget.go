package hcldecode

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

const budgetMost = 10 // attempts saved up where a block does not say

// RetryBudget reads a block retry_budget.
func (r *Reader) RetryBudget(b *hcl.Block, to *balancer.RetryBudget) {
	var share Share
	var floor Rate
	to.Burst = budgetMost
	if r.Body(b.Body, Fields{"share!": &share, "floor": &floor, "most": &to.Burst}, nil) && to.Burst < 1 {
		r.Fault(r.Places[&to.Burst], "most: %g never lets a retry through; 1 is the least", to.Burst)
	}
	to.PerRequest, to.PerSecond = float64(share), float64(floor)
}
