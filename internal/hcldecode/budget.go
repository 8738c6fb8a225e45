package hcldecode

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

// Size of a budget's token bucket, in retries.
const (
	defaultBurst = 10
	minBurst     = 1 // a smaller bucket never holds a whole token, so it allows no retry
)

// RetryBudget decodes a "retry_budget" block into *to.
func (d *Decoder) RetryBudget(b *hcl.Block, to *balancer.RetryBudget) {
	var perRequest Fraction
	var perSecond Rate
	to.Burst = defaultBurst
	ok := d.Body(b.Body, Fields{"share!": &perRequest, "floor": &perSecond, "most": &to.Burst}, nil)
	if ok && to.Burst < minBurst {
		d.Errorf(d.Ranges[&to.Burst], "most: %g allows no retry; the minimum is %d", to.Burst, minBurst)
	}
	to.PerRequest, to.PerSecond = float64(perRequest), float64(perSecond)
}
