// Package traffic draws the random inputs of a run: the clients' requests, and the servers that
// faults affect. For one seed they are the same for every variant.
package traffic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rowancart/internal/experiment"
)

// Request is a client's request, which includes the client's retries of it.
type Request struct {
	At               time.Duration // intended time of sending; latency is measured from it
	Class            int           // index in Site.Classes
	Tenant           int           // index in Site.Tenants; -1: there are no tenants
	Patience         time.Duration // time for which the client waits for a response to one attempt
	Work             float64       // total over all tiers, in seconds on a core of speed 1
	DisconnectsAfter time.Duration // the client closes its connection after this; 0: it does not
	Seed             uint64        // seed of all further random draws for the request
}

// Draw returns the requests of an experiment in the order of their arrival.
func Draw(e *experiment.Experiment, seed uint64) []Request {
	arrivals := experiment.Rand(seed, "arrivals")
	rng := experiment.Rand(seed, "requests")
	minPatience := e.Load.Clients.MinPatience
	if minPatience <= 0 || minPatience > 1 {
		minPatience = 1
	}
	var out []Request
	for _, at := range drawArrivalTimes(e, arrivals) {
		r := Request{ // a change of the order of draws changes the result
			At:     at,
			Class:  drawClass(e.Site.Classes, rng),
			Tenant: drawTenant(e.Site.Tenants, rng),
			Seed:   rng.Uint64(),
		}
		class := e.Site.Classes[r.Class]
		r.Work = drawWork(class, rng)
		patience := minPatience + (1-minPatience)*rng.Float64()
		r.Patience = time.Duration(float64(class.Deadline) * patience).Truncate(time.Millisecond)
		if rng.Float64() < e.Load.Clients.DisconnectRate {
			r.DisconnectsAfter = time.Duration(rng.Float64() * float64(r.Patience))
		}
		out = append(out, r)
	}
	return out
}

// drawArrivalTimes returns the instants of arrival, in order.
func drawArrivalTimes(e *experiment.Experiment, rng *rand.Rand) []time.Duration {
	if e.Load.Process == experiment.Recorded {
		out := slices.Clone(e.Load.Recorded)
		slices.Sort(out)
		return slices.DeleteFunc(out, func(at time.Duration) bool { return at >= e.Duration })
	}
	var out []time.Duration
	steps := slices.Clone(e.Load.Steps)
	slices.SortStableFunc(steps, func(a, b experiment.Step) int { return cmp.Compare(a.At, b.At) })
	// A gap is the time between two arrivals at a rate of 1. It is divided by the current rate. When
	// a step changes the rate within a gap, the remainder of the gap passes at the new rate.
	gap := drawGap(e.Load.Process, rng)
	factor := 1.0
	nextStep := 0
	for now := 0.0; ; {
		for nextStep < len(steps) && steps[nextStep].At.Seconds() <= now {
			factor = steps[nextStep].Factor
			nextStep++
		}
		rate := e.Load.Rate * factor
		end := e.Duration.Seconds()
		if nextStep < len(steps) {
			end = min(end, steps[nextStep].At.Seconds())
		}
		if rate <= 0 || now+gap/rate >= end {
			gap -= max(end-now, 0) * rate
			now = end
			if now >= e.Duration.Seconds() {
				return out
			}
			continue
		}
		now += gap / rate
		out = append(out, time.Duration(now*float64(time.Second)))
		gap = drawGap(e.Load.Process, rng)
	}
}

// drawGap draws the time between two arrivals at a rate of 1; its mean is 1.
func drawGap(process experiment.ArrivalProcess, rng *rand.Rand) float64 {
	if process == experiment.Steady {
		return 1
	}
	return rng.ExpFloat64()
}

// drawClass draws the index of a class.
func drawClass(classes []experiment.Class, rng *rand.Rand) int {
	return drawWeighted(len(classes), func(i int) float64 { return classes[i].TrafficShare }, rng)
}

// drawTenant draws the index of a tenant. It returns -1 if there are no tenants.
func drawTenant(tenants []experiment.Tenant, rng *rand.Rand) int {
	if len(tenants) == 0 {
		return -1
	}
	return drawWeighted(len(tenants), func(i int) float64 { return tenants[i].TrafficShare }, rng)
}

// drawWeighted draws an index below n. The probability of an index is proportional to its weight.
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

// drawWork draws the work of a request of a class, in seconds on a core of speed 1.
func drawWork(c experiment.Class, rng *rand.Rand) float64 {
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
