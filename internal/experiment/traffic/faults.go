package traffic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rowancart/internal/experiment"
)

// FaultEvent is one step of a fault, at one place, as a driver carries it out.
type FaultEvent struct {
	At     time.Duration
	Kind   experiment.FaultKind
	Tier   int // -1: not a tier's
	Server int // place in its tier; -1: not a server's
	On     bool
	Fault  *experiment.Fault
}

// Timeline lays out the faults of an experiment: which servers are struck and when, in order of time. Deploy becomes
// a Change with On for each server to be drained and replaced; the driver ends it Period later.
func Timeline(e *experiment.Experiment, seed uint64) []FaultEvent {
	var out []FaultEvent
	for i := range e.Faults {
		f := &e.Faults[i]
		rng := experiment.Rand(seed, fmt.Sprintf("fault %d", i))
		switch f.Kind {
		case experiment.DiscoveryDelay, experiment.DiscoverySilence:
			out = append(out, FaultEvent{At: f.At, Kind: f.Kind, Tier: -1, Server: -1, On: true, Fault: f},
				FaultEvent{At: f.End(), Kind: f.Kind, Tier: -1, Server: -1, Fault: f})
			continue
		case experiment.KillSidecar, experiment.TermSidecar, experiment.DiscoveryMove, experiment.SilentPeer, experiment.PartialRequestPeer, experiment.OversizedPeer:
			for n := range max(f.Count, 1) {
				out = append(out, FaultEvent{At: f.At + time.Duration(n)*f.Period, Kind: f.Kind, Tier: 0, Server: n, On: true, Fault: f})
			}
			continue
		}
		for t, tier := range e.Site.Tiers {
			if f.Tier != "" && f.Tier != tier.Name {
				continue
			}
			struck := rng.Perm(tier.Servers)[:NumAffected(f.Fraction, tier.Servers)]
			if f.Kind == experiment.RollingDeploy {
				batch := max(int(math.Round(f.Size*float64(tier.Servers))), 1)
				batches := (len(struck) + batch - 1) / batch
				for n, b := range struck {
					at := f.At + f.Duration*time.Duration(n/batch)/time.Duration(batches)
					out = append(out, FaultEvent{At: at, Kind: f.Kind, Tier: t, Server: b, On: true, Fault: f})
				}
				continue
			}
			slices.Sort(struck)
			for _, b := range struck {
				on := true
				for at := f.At; at < f.End(); {
					out = append(out, FaultEvent{At: at, Kind: f.Kind, Tier: t, Server: b, On: on, Fault: f})
					if f.Kind != experiment.NoisyNeighbour || f.Period <= 0 {
						break
					}
					at += time.Duration(float64(f.Period) * (0.5 + rng.Float64()))
					on = !on
				}
				out = append(out, FaultEvent{At: f.End(), Kind: f.Kind, Tier: t, Server: b, Fault: f})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	return out
}

// NumAffected is how many of n servers a part is: one at least.
func NumAffected(part float64, n int) int {
	return min(max(int(math.Round(part*float64(n))), 1), n)
}

// KindOf returns the kind of the server at a place in its tier. Shares are dealt out evenly, so that the first servers of a tier
// are a fair mix of its kinds.
func KindOf(t experiment.Tier, index int) experiment.Kind {
	best, largestDeficit := 0, math.Inf(-1)
	assigned := make([]float64, len(t.Kinds))
	sum := 0.0
	for _, k := range t.Kinds {
		sum += k.Fraction
	}
	for i := range index + 1 {
		best, largestDeficit = 0, math.Inf(-1)
		for k := range t.Kinds {
			if deficit := t.Kinds[k].Fraction/sum*float64(i+1) - assigned[k]; deficit > largestDeficit+1e-9 {
				best, largestDeficit = k, deficit
			}
		}
		assigned[best]++
	}
	return t.Kinds[best]
}

// ServerName is the name of the server at a place in its tier; generation counts its successors.
func ServerName(t experiment.Tier, index, generation int) string {
	if generation == 0 {
		return fmt.Sprintf("%s-%d", t.Name, index)
	}
	return fmt.Sprintf("%s-%d.%d", t.Name, index, generation)
}
