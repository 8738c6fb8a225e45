package search

import (
	"cmp"
	"fmt"
	"strings"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

// Describe describes a site in one line.
func Describe(e *experiment.Experiment) string {
	var out strings.Builder
	s := &e.Site
	fmt.Fprintf(&out, "%d instances, ", s.Balancers)
	for i, t := range s.Tiers {
		if i > 0 {
			out.WriteString(" > ")
		}
		fmt.Fprint(&out, t.Servers)
	}
	work := meanWork(s.Classes)
	load := e.Load.Rate * work * s.Tiers[0].WorkFraction / tierCapacity(s.Tiers[0])
	fmt.Fprintf(&out, " boxes, %.3g/s (load %.2f) of %.3g ms for %v", e.Load.Rate, load, 1000*work, e.Duration)
	for _, c := range s.Classes {
		fmt.Fprintf(&out, ", %s aim %v", c.Distribution, c.LatencyObjective)
		if c.CacheHitRatio > 0 {
			fmt.Fprintf(&out, " hits %g of %v", c.CacheHitRatio, c.CacheHitWork)
		}
		if c.Idempotency != balancer.Idempotent {
			out.WriteString(" unsafe")
		}
	}
	for _, step := range e.Load.Steps {
		fmt.Fprintf(&out, ", step x%g at %v", step.Factor, step.At)
	}
	for _, f := range e.Faults {
		fmt.Fprintf(&out, ", %s at %v for %v (%g of %s, size %g)", f.Kind, f.At, f.Duration, f.Fraction,
			cmp.Or(f.Tier, "all"), f.Size)
	}
	return out.String()
}

// meanWork returns the mean work of a request, in seconds.
func meanWork(classes []experiment.Class) float64 {
	work, shares := 0.0, 0.0
	for _, c := range classes {
		work += c.TrafficShare * (c.CacheHitRatio*c.CacheHitWork.Seconds() + (1-c.CacheHitRatio)*c.Work.Seconds())
		shares += c.TrafficShare
	}
	return work / shares
}

// tierCapacity returns the capacity of a tier, in seconds of work per second.
func tierCapacity(t experiment.Tier) float64 {
	capacity := 0.0
	for _, k := range t.Kinds {
		capacity += k.Fraction * float64(k.Cores) * k.Speed * float64(t.Servers)
	}
	return capacity
}
