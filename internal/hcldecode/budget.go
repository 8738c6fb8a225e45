package hcldecode

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

const budgetMost = 10 // attempts saved up where a block does not say

// RetryBudget reads a block retry_budget.
func (r *Reader) RetryBudget(b *hcl.Block, to *balancer.Resends) {
	var share Share
	var floor Rate
	to.Most = budgetMost
	if r.Body(b.Body, Fields{"share!": &share, "floor": &floor, "most": &to.Most}, nil) && to.Most < 1 {
		r.Fault(r.Places[&to.Most], "most: %g never lets a retry through; 1 is the least", to.Most)
	}
	to.Share, to.Rate = float64(share), float64(floor)
}
