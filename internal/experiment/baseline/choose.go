package baseline

import (
	"math"
	"time"

	"rowancart/balancer"
)

// chooser chooses one of the candidates. There must be at least one.
type chooser func(now time.Duration, candidates []*endpoint) *endpoint

const (
	costDecay   = 10 * time.Second // time constant of peak_ewma's moving average, as in Finagle
	failureCost = 1                // minimum latency that a failed attempt counts as, in seconds
)

func (p *Policy) chooseRandom(_ time.Duration, candidates []*endpoint) *endpoint {
	return candidates[p.rng.IntN(len(candidates))]
}

func (p *Policy) chooseRoundRobin(_ time.Duration, candidates []*endpoint) *endpoint {
	p.next++
	return candidates[p.next%len(candidates)]
}

// chooseLeastOutstanding starts its search at a random candidate, so that ties are broken at
// random.
func (p *Policy) chooseLeastOutstanding(_ time.Duration, candidates []*endpoint) *endpoint {
	start := p.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		if e := candidates[(start+i)%len(candidates)]; e.outstanding < best.outstanding {
			best = e
		}
	}
	return best
}

// powerOfTwo returns a chooser that draws two different candidates at random and chooses the one
// with the lower cost.
func (p *Policy) powerOfTwo(cost func(time.Duration, *endpoint) float64) chooser {
	return func(now time.Duration, candidates []*endpoint) *endpoint {
		a := candidates[p.rng.IntN(len(candidates))]
		if len(candidates) == 1 {
			return a
		}
		b := candidates[p.rng.IntN(len(candidates))]
		for b == a {
			b = candidates[p.rng.IntN(len(candidates))]
		}
		if cost(now, b) < cost(now, a) {
			return b
		}
		return a
	}
}

// peakEWMA returns the cost of an endpoint for peak_ewma. While the latency of an endpoint is
// unknown and a request to it is outstanding, its cost is practically infinite, so that it normally
// gets one request at a time.
func peakEWMA(now time.Duration, e *endpoint) float64 {
	cost := e.cost * decay(now-e.costUpdated)
	if cost == 0 && e.outstanding > 0 {
		return math.MaxFloat64 / 2
	}
	return cost * float64(e.outstanding+1)
}

// updateCost adds an attempt's latency to the endpoint's moving average. A latency above the
// average replaces the average.
func (e *endpoint) updateCost(now time.Duration, o balancer.Outcome) {
	if o.Result == balancer.Canceled || o.Result == balancer.NotSent {
		return
	}
	latency := o.Latency.Seconds()
	if o.Result != balancer.OK {
		latency = max(latency, failureCost)
	}
	weight := decay(now - e.costUpdated)
	e.cost = max(latency, e.cost*weight+latency*(1-weight))
	e.costUpdated = now
}

// decay returns the weight that an average still has after the elapsed time.
func decay(elapsed time.Duration) float64 { return math.Exp(-float64(elapsed) / float64(costDecay)) }
