package traffic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rowancart/internal/experiment"
)

// Change is one step of a fault, at one place, as a driver carries it out.
type Change struct {
	At    time.Duration
	Kind  experiment.FaultKind
	Tier  int // -1: not a tier's
	Box   int // place in its tier; -1: not a box's
	On    bool
	Fault *experiment.Fault
}

// Timeline lays out the faults of an experiment: which boxes are struck and when, in order of time. Deploy becomes
// a Change with On for each box to be drained and replaced; the driver ends it Period later.
func Timeline(e *experiment.Experiment, seed uint64) []Change {
	var out []Change
	for i := range e.Faults {
		f := &e.Faults[i]
		rng := experiment.Rand(seed, fmt.Sprintf("fault %d", i))
		switch f.Kind {
		case experiment.RosterLate, experiment.RosterSilent:
			out = append(out, Change{At: f.At, Kind: f.Kind, Tier: -1, Box: -1, On: true, Fault: f},
				Change{At: f.End(), Kind: f.Kind, Tier: -1, Box: -1, Fault: f})
			continue
		case experiment.KillSidecar, experiment.TermSidecar, experiment.RosterMove, experiment.SilentPeer, experiment.HalfPeer, experiment.HugePeer:
			for n := range max(f.Count, 1) {
				out = append(out, Change{At: f.At + time.Duration(n)*f.Period, Kind: f.Kind, Tier: 0, Box: n, On: true, Fault: f})
			}
			continue
		}
		for t, tier := range e.Site.Tiers {
			if f.Tier != "" && f.Tier != tier.Name {
				continue
			}
			struck := rng.Perm(tier.Boxes)[:Struck(f.Part, tier.Boxes)]
			if f.Kind == experiment.Deploy {
				batch := max(int(math.Round(f.Size*float64(tier.Boxes))), 1)
				batches := (len(struck) + batch - 1) / batch
				for n, b := range struck {
					at := f.At + f.For*time.Duration(n/batch)/time.Duration(batches)
					out = append(out, Change{At: at, Kind: f.Kind, Tier: t, Box: b, On: true, Fault: f})
				}
				continue
			}
			slices.Sort(struck)
			for _, b := range struck {
				on := true
				for at := f.At; at < f.End(); {
					out = append(out, Change{At: at, Kind: f.Kind, Tier: t, Box: b, On: on, Fault: f})
					if f.Kind != experiment.Neighbour || f.Period <= 0 {
						break
					}
					at += time.Duration(float64(f.Period) * (0.5 + rng.Float64()))
					on = !on
				}
				out = append(out, Change{At: f.End(), Kind: f.Kind, Tier: t, Box: b, Fault: f})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Struck is how many of n boxes a part is: one at least.
func Struck(part float64, n int) int {
	return min(max(int(math.Round(part*float64(n))), 1), n)
}

// Kind gives the kind of the box at a place in its tier. Shares are dealt out evenly, so that the first boxes of a tier
// are a fair mix of its kinds.
func Kind(t experiment.Tier, place int) experiment.Kind {
	best, behind := 0, math.Inf(-1)
	given := make([]float64, len(t.Kinds))
	sum := 0.0
	for _, k := range t.Kinds {
		sum += k.Share
	}
	for i := range place + 1 {
		best, behind = 0, math.Inf(-1)
		for k := range t.Kinds {
			if lag := t.Kinds[k].Share/sum*float64(i+1) - given[k]; lag > behind+1e-9 {
				best, behind = k, lag
			}
		}
		given[best]++
	}
	return t.Kinds[best]
}

// Name is the name of the box at a place in its tier; generation counts its successors.
func Name(t experiment.Tier, place, generation int) string {
	if generation == 0 {
		return fmt.Sprintf("%s-%d", t.Name, place)
	}
	return fmt.Sprintf("%s-%d.%d", t.Name, place, generation)
}
