package hcldecode

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

// Retries that a budget may accumulate.
const (
	defaultBurst = 10
	minBurst     = 1
)

// RetryBudget decodes a block "retry_budget".
func (r *Decoder) RetryBudget(b *hcl.Block, to *balancer.RetryBudget) {
	var perRequest Fraction
	var perSecond Rate
	to.Burst = defaultBurst
	ok := r.Body(b.Body, Fields{"share!": &perRequest, "floor": &perSecond, "most": &to.Burst}, nil)
	if ok && to.Burst < minBurst {
		r.Errorf(r.Ranges[&to.Burst], "most: %g allows no retry; the minimum is %d", to.Burst, minBurst)
	}
	to.PerRequest, to.PerSecond = float64(perRequest), float64(perSecond)
}
