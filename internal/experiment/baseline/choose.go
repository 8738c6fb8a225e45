package baseline

import (
	"math"
	"time"

	"rowancart/balancer"
)

// chooser chooses one of the candidates, of which there is at least one.
type chooser func(now time.Duration, candidates []*endpoint) *endpoint

const (
	costDecay   = 10 * time.Second // time constant of the moving average of peak_ewma, as in Finagle
	failureCost = 1                // minimum latency of a failed attempt, in seconds
)

func (p *Policy) chooseRandom(_ time.Duration, candidates []*endpoint) *endpoint {
	return candidates[p.rng.IntN(len(candidates))]
}

func (p *Policy) chooseRoundRobin(_ time.Duration, candidates []*endpoint) *endpoint {
	p.next++
	return candidates[p.next%len(candidates)]
}

// chooseLeastOutstanding begins at a random candidate, so that ties are broken at random.
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

// powerOfTwo returns a chooser that draws two candidates and returns the one of lower cost.
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

// peakEWMA returns the cost of an endpoint for peak_ewma. An endpoint of unknown latency is sent
// one request at a time.
func peakEWMA(now time.Duration, e *endpoint) float64 {
	cost := e.cost * decay(now-e.costUpdated)
	if cost == 0 && e.outstanding > 0 {
		return math.MaxFloat64 / 2
	}
	return cost * float64(e.outstanding+1)
}

// updateCost adds an outcome to the endpoint's average. A latency above the average replaces it.
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

// decay returns the weight of an old average after a time.
func decay(elapsed time.Duration) float64 { return math.Exp(-float64(elapsed) / float64(costDecay)) }
