package traffic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rowancart/internal/experiment"
)

// FaultEvent is one step of a fault: its beginning or its end at one server, sidecar or peer.
type FaultEvent struct {
	At     time.Duration
	Kind   experiment.FaultKind
	Tier   int  // index in Site.Tiers; -1: DiscoveryDelay or DiscoverySilence
	Server int  // index in the tier, or number of the step, see Timeline; -1: as for Tier
	On     bool // the fault begins; otherwise it ends
	Fault  *experiment.Fault
}

// Timeline returns the steps of all faults in the order of time. A RollingDeploy has one step, with
// On set, for each server to be replaced; the driver drains that server for Fault.Period before it
// replaces it. A fault with a Count (of sidecars, of peers, or a move of discovery) has Count
// steps, also with On set, one Period apart. Server is then the number of the step; for
// faults of sidecars and peers, drivers take it modulo the number of sidecars.
func Timeline(e *experiment.Experiment, seed uint64) []FaultEvent {
	var out []FaultEvent
	for i := range e.Faults {
		f := &e.Faults[i]
		rng := experiment.Rand(seed, fmt.Sprintf("fault %d", i))
		switch f.Kind {
		case experiment.DiscoveryDelay, experiment.DiscoverySilence:
			out = append(out, FaultEvent{At: f.At, Kind: f.Kind, Tier: -1, Server: -1, On: true, Fault: f},
				FaultEvent{At: f.End(), Kind: f.Kind, Tier: -1, Server: -1, Fault: f})
		case experiment.KillSidecar, experiment.TermSidecar, experiment.DiscoveryMove, experiment.SilentPeer,
			experiment.PartialRequestPeer, experiment.OversizedPeer:
			for n := range max(f.Count, 1) {
				at := f.At + time.Duration(n)*f.Period
				out = append(out, FaultEvent{At: at, Kind: f.Kind, Tier: 0, Server: n, On: true, Fault: f})
			}
		default:
			out = append(out, serverFaultEvents(e, f, rng)...)
		}
	}
	slices.SortStableFunc(out, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	return out
}

// serverFaultEvents returns the steps of a fault that affects servers.
func serverFaultEvents(e *experiment.Experiment, f *experiment.Fault, rng *rand.Rand) []FaultEvent {
	var out []FaultEvent
	for t, tier := range e.Site.Tiers {
		if f.Tier != "" && f.Tier != tier.Name {
			continue
		}
		affected := rng.Perm(tier.Servers)[:NumAffected(f.Fraction, tier.Servers)]
		if f.Kind == experiment.RollingDeploy {
			out = append(out, deployEvents(f, t, tier.Servers, affected)...)
			continue
		}
		slices.Sort(affected)
		for _, server := range affected {
			on := FaultEvent{At: f.At, Kind: f.Kind, Tier: t, Server: server, On: true, Fault: f}
			off := on
			off.At = f.End()
			off.On = false
			out = append(out, onOffEvents(on, rng)...)
			out = append(out, off)
		}
	}
	return out
}

// deployEvents returns one step for each server that a rolling deploy replaces. The servers are
// replaced in batches, which are spread evenly over the fault's duration.
func deployEvents(f *experiment.Fault, tier, servers int, affected []int) []FaultEvent {
	batch := max(int(math.Round(f.Size*float64(servers))), 1)
	batches := (len(affected) + batch - 1) / batch
	var out []FaultEvent
	for n, server := range affected {
		at := f.At + f.Duration*time.Duration(n/batch)/time.Duration(batches)
		out = append(out, FaultEvent{At: at, Kind: f.Kind, Tier: tier, Server: server, On: true, Fault: f})
	}
	return out
}

// onOffEvents returns the step that begins a fault. For a NoisyNeighbour with a period, ends and
// further beginnings follow at random intervals with that period as their mean.
func onOffEvents(on FaultEvent, rng *rand.Rand) []FaultEvent {
	var out []FaultEvent
	f := on.Fault
	for event := on; event.At < f.End(); event.On = !event.On {
		out = append(out, event)
		if f.Kind != experiment.NoisyNeighbour || f.Period <= 0 {
			break
		}
		event.At += time.Duration(float64(f.Period) * (0.5 + rng.Float64()))
	}
	return out
}

// NumAffected returns how many of n servers a fault of this fraction affects, which is at least
// one.
func NumAffected(fraction float64, n int) int {
	return min(max(int(math.Round(fraction*float64(n))), 1), n)
}

// fractionTolerance prevents rounding errors from deciding between kinds with equal deficits.
const fractionTolerance = 1e-9

// KindOf returns the kind of the server at an index of its tier. Each server in turn gets the kind
// with the largest deficit: the kind that is furthest below its fraction. So the first n
// servers of a tier are a fair mix of its kinds, for any n.
func KindOf(t experiment.Tier, index int) experiment.Kind {
	assigned := make([]float64, len(t.Kinds))
	sum := 0.0
	for _, k := range t.Kinds {
		sum += k.Fraction
	}
	best := 0
	for i := range index + 1 {
		largestDeficit := math.Inf(-1)
		best = 0
		for k := range t.Kinds {
			deficit := t.Kinds[k].Fraction/sum*float64(i+1) - assigned[k]
			if deficit > largestDeficit+fractionTolerance {
				best = k
				largestDeficit = deficit
			}
		}
		assigned[best]++
	}
	return t.Kinds[best]
}

// ServerName returns the name of the server at an index of its tier. Generation is the number of
// servers that a rolling deploy has replaced at this index before.
func ServerName(t experiment.Tier, index, generation int) string {
	if generation == 0 {
		return fmt.Sprintf("%s-%d", t.Name, index)
	}
	return fmt.Sprintf("%s-%d.%d", t.Name, index, generation)
}
