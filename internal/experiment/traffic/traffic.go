// Package traffic draws what clients ask for: the same list of requests for every variant of an experiment, whatever the
// variant does. It is pure.
package traffic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rowancart/internal/experiment"
)

// Request is one thing that a client wants; retries belong to it.
type Request struct {
	At               time.Duration // intended time of sending, from which its latency counts
	Class            int           // in Site.Classes
	Tenant           int           // in Site.Tenants, -1 where there are none
	Patience         time.Duration // of one attempt
	Work             float64       // seconds on a core of speed 1, over all tiers, of a typical call
	DisconnectsAfter time.Duration // the client leaves without a word after this; 0: it stays
	Seed             uint64        // for all that is drawn for it later
}

// Draw returns the requests of an experiment in order of arrival.
func Draw(e *experiment.Experiment, seed uint64) []Request {
	arrivals := experiment.Rand(seed, "arrivals")
	rng := experiment.Rand(seed, "requests")
	var out []Request
	for _, at := range arrivalTimes(e, arrivals) {
		r := Request{At: at, Class: drawClass(e.Site.Classes, rng), Tenant: drawTenant(e.Site.Tenants, rng), Seed: rng.Uint64()}
		c := e.Site.Classes[r.Class]
		r.Work = DrawWork(c, rng)
		least := e.Load.Clients.MinPatience
		if least <= 0 || least > 1 {
			least = 1
		}
		r.Patience = time.Duration(float64(c.Deadline) * (least + (1-least)*rng.Float64())).Truncate(time.Millisecond)
		if leaves := rng.Float64() < e.Load.Clients.DisconnectRate; leaves {
			r.DisconnectsAfter = time.Duration(rng.Float64() * float64(r.Patience))
		}
		out = append(out, r)
	}
	return out
}

func arrivalTimes(e *experiment.Experiment, rng *rand.Rand) []time.Duration {
	if e.Load.Process == experiment.Recorded {
		out := slices.Clone(e.Load.Recorded)
		slices.Sort(out)
		return slices.DeleteFunc(out, func(at time.Duration) bool { return at >= e.Duration })
	}
	var out []time.Duration
	steps := slices.Clone(e.Load.Steps)
	slices.SortStableFunc(steps, func(a, b experiment.Step) int { return cmp.Compare(a.At, b.At) })
	// Unit gaps are stretched by the rate of the moment (time change), so that a step takes hold at once.
	left, factor, next := drawGap(e, rng), 1.0, 0
	for now := 0.0; ; {
		for next < len(steps) && steps[next].At.Seconds() <= now {
			factor = steps[next].Factor
			next++
		}
		rate, end := e.Load.Rate*factor, e.Duration.Seconds()
		if next < len(steps) {
			end = min(end, steps[next].At.Seconds())
		}
		if rate <= 0 || now+left/rate >= end {
			left -= max(end-now, 0) * rate
			now = end
			if now >= e.Duration.Seconds() {
				return out
			}
			continue
		}
		now += left / rate
		out = append(out, time.Duration(now*float64(time.Second)))
		left = drawGap(e, rng)
	}
}

func drawGap(e *experiment.Experiment, rng *rand.Rand) float64 {
	if e.Load.Process == experiment.Steady {
		return 1
	}
	return rng.ExpFloat64()
}

func drawClass(classes []experiment.Class, rng *rand.Rand) int {
	return drawWeighted(len(classes), func(i int) float64 { return classes[i].TrafficShare }, rng)
}

func drawTenant(tenants []experiment.Tenant, rng *rand.Rand) int {
	if len(tenants) == 0 {
		return -1
	}
	return drawWeighted(len(tenants), func(i int) float64 { return tenants[i].TrafficShare }, rng)
}

func drawWeighted(n int, weight func(int) float64, rng *rand.Rand) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// DrawWork draws the work of one request of a class, in seconds.
func DrawWork(c experiment.Class, rng *rand.Rand) float64 {
	if c.CacheHitRatio > 0 && rng.Float64() < c.CacheHitRatio {
		return c.CacheHitWork.Seconds()
	}
	mean := c.Work.Seconds()
	switch c.Distribution {
	case experiment.Fixed:
		return mean
	case experiment.LogNormal:
		variance := math.Log1p(c.VariationCoefficient * c.VariationCoefficient)
		return mean * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2)
	}
	return mean * rng.ExpFloat64()
}
