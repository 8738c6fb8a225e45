package virtual

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// spareCapacity returns an experiment with a service of two tiers that has more capacity than the
// load needs.
func spareCapacity() *experiment.Experiment {
	kinds := []experiment.Kind{
		{Name: "fast", Fraction: 1, Cores: 2, Speed: 1.4, Slots: 16, QueueLimit: 200},
		{Name: "slow", Fraction: 1, Cores: 2, Speed: 0.8, Slots: 16, QueueLimit: 200},
	}
	spec := experiment.ServerSpec{InitialCapacity: 0.3, WarmupTime: 5 * time.Second, ConnWork: time.Millisecond,
		ConnLimit: 500, ConnIdleTimeout: 10 * time.Second}
	lookup := experiment.Class{Name: "lookup", Idempotency: balancer.Idempotent, TrafficShare: 0.7,
		Work: 40 * time.Millisecond, OffCPUTime: 10 * time.Millisecond, Distribution: experiment.Exponential,
		LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}
	submit := experiment.Class{Name: "submit", Idempotency: balancer.NonIdempotent, TrafficShare: 0.3,
		Work: 50 * time.Millisecond, Distribution: experiment.LogNormal, VariationCoefficient: 0.5,
		LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 10}
	return &experiment.Experiment{
		Name: "calm", Duration: 20 * time.Second, Warmup: 2 * time.Second,
		Site: experiment.Site{
			Balancers:     2,
			NetworkDelay:  200 * time.Microsecond,
			NetworkJitter: 0.3,
			MaxAttempts:   5,
			Discovery:     experiment.Discovery{Delay: time.Second, Spread: 300 * time.Millisecond},
			Classes:       []experiment.Class{lookup, submit},
			Tiers: []experiment.Tier{
				{Name: "front", Servers: 6, WorkFraction: 0.4, Calls: 1, Kinds: kinds, Server: spec},
				{Name: "back", Servers: 8, WorkFraction: 0.6, Kinds: kinds, Server: spec},
			},
			Rules: experiment.Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, WarmupOverload: 4,
				OverloadWindow: time.Second},
		},
		Load: experiment.Load{Rate: 100, Process: experiment.Poisson, Clients: experiment.Clients{MinPatience: 0.6,
			Retries: 1, RetryWait: 100 * time.Millisecond, DisconnectRate: 0.02}},
	}
}

// run runs an experiment with a policy.
func run(t *testing.T, e *experiment.Experiment, policy string, seed uint64, shuffle *rand.Rand) *Result {
	t.Helper()
	variant := experiment.Variant{Name: policy, Policy: policy}
	r, err := Run(context.Background(), e, variant, seed, Options{Shuffle: shuffle})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// violations returns the detail of each violated rule.
func violations(r *Result) map[invariant.Rule]string {
	out := map[invariant.Rule]string{}
	for _, v := range r.Verdicts {
		if v.Violations > 0 {
			out[v.Rule] = v.Detail
		}
	}
	return out
}

func TestSpareCapacityServesAlmostAllInTime(t *testing.T) {
	for _, policy := range append([]string{experiment.DesignPolicy}, baseline.Names...) {
		t.Run(policy, func(t *testing.T) {
			r := run(t, spareCapacity(), policy, 1, nil)
			if violated := violations(r); len(violated) > 0 {
				t.Errorf("violations: %v", violated)
			}
			if fraction := r.Counters.Total.Fraction(counters.ServedInTime); fraction < 0.99 {
				t.Errorf("fraction served in time is %.4f of %d requests, want at least 0.99", fraction,
					r.Counters.Total.Offered())
			}
			if n := r.Counters.Total.Offered(); n < 1600 || n > 2000 {
				t.Errorf("%d requests were offered, want 1600 to 2000", n)
			}
		})
	}
}

// withAllFaults returns spareCapacity with every fault that can be run in virtual time.
func withAllFaults() *experiment.Experiment {
	e := spareCapacity()
	e.Duration = 30 * time.Second
	for kind, inVirtualTime := range experiment.FaultKinds {
		if !inVirtualTime {
			continue
		}
		f := experiment.Fault{Kind: kind, At: 5 * time.Second, Duration: 10 * time.Second, Fraction: 0.2, Size: 0.3,
			Period: time.Second}
		if kind == experiment.SharedSlowdown {
			f.Size = 1.5
			f.Duration = 3 * time.Second
			f.Fraction = 1
		}
		e.Faults = append(e.Faults, f)
	}
	// The map's random order must not affect the draws of the faults.
	slices.SortFunc(e.Faults, func(a, b experiment.Fault) int { return cmp.Compare(a.Kind, b.Kind) })
	return e
}

func TestSameSeedSameResult(t *testing.T) {
	text := func(seed uint64, shuffle *rand.Rand) string {
		r := run(t, withAllFaults(), experiment.DesignPolicy, seed, shuffle)
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	first := text(5, nil)
	if again := text(5, nil); again != first {
		t.Error("two runs with the same seed differ")
	}
	for s := range uint64(3) {
		if other := text(5, rand.New(rand.NewPCG(s, 9))); other != first {
			t.Errorf("creating servers and instances in the order of shuffle %d changes the result", s)
		}
	}
	if text(6, nil) == first {
		t.Error("seeds 5 and 6 give the same result")
	}
}

// TestNoViolationsUnderFaults checks that neither the design nor a baseline violates a rule while
// all faults are active. Requests may fail. Baselines have no slow start, so RuleWarmup is checked
// for the design only.
func TestNoViolationsUnderFaults(t *testing.T) {
	for _, policy := range append([]string{experiment.DesignPolicy}, baseline.Names...) {
		t.Run(policy, func(t *testing.T) {
			r := run(t, withAllFaults(), policy, 3, nil)
			violated := violations(r)
			if policy != experiment.DesignPolicy {
				delete(violated, invariant.RuleWarmup)
			}
			if len(violated) > 0 {
				t.Errorf("violations: %v", violated)
			}
			if n := r.Counters.Total; n.Offered() == n[counters.ServedInTime] {
				t.Error("all requests were served in time: the faults had no effect")
			}
		})
	}
}

func TestEveryFaultHasAnEffect(t *testing.T) {
	base := run(t, spareCapacity(), "random", 2, nil)
	for kind, inVirtualTime := range experiment.FaultKinds {
		if !inVirtualTime || kind == experiment.DiscoveryDelay || kind == experiment.DiscoverySilence {
			continue
		}
		t.Run(string(kind), func(t *testing.T) {
			e := spareCapacity()
			e.Load.Clients.Retries = 0
			f := experiment.Fault{Kind: kind, At: 4 * time.Second, Duration: 12 * time.Second, Fraction: 0.6, Size: 0.9,
				Period: 400 * time.Millisecond}
			if kind == experiment.SharedSlowdown {
				f.Size = 6
			}
			e.Faults = []experiment.Fault{f}
			r := run(t, e, "random", 2, nil)
			got := r.Counters
			want := base.Counters
			if got.Quantile(0.99) <= want.Quantile(0.99) &&
				got.Total.Fraction(counters.ServedInTime) >= want.Total.Fraction(counters.ServedInTime) &&
				got.Attempts <= want.Attempts {
				t.Error("latency, requests served in time and attempts are no worse than without the fault")
			}
		})
	}
}

// TestCrashInNextTierFreesSlots crashes all servers of the last tier while they process calls of
// the first tier. The calls must fail, which ends the requests in the first tier and releases their
// slots.
func TestCrashInNextTierFreesSlots(t *testing.T) {
	e := spareCapacity()
	e.Load.Clients = experiment.Clients{}
	e.Faults = []experiment.Fault{{Kind: experiment.Crash, At: 8 * time.Second, Duration: time.Minute, Tier: "back",
		Fraction: 1}}
	r := run(t, e, "round_robin", 4, nil)
	if violated := violations(r); len(violated) > 0 {
		t.Errorf("violations: %v", violated)
	}
	if r.Counters.Total[counters.Failed]+r.Counters.Total[counters.Rejected] == 0 {
		t.Error("all requests were served without a server in the last tier")
	}
}

func TestUnknownPolicy(t *testing.T) {
	variant := experiment.Variant{Name: "x", Policy: "best"}
	if _, err := Run(context.Background(), spareCapacity(), variant, 1, Options{}); err == nil {
		t.Error("Run accepted an unknown policy")
	}
}

func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ balancers, servers int }{{10, 100}, {100, 1000}} {
		b.Run(strconv.Itoa(size.balancers)+"x"+strconv.Itoa(size.servers), func(b *testing.B) {
			e := spareCapacity()
			e.Site.Tiers = e.Site.Tiers[1:]
			e.Site.Tiers[0].Servers = size.servers
			e.Site.Balancers = size.balancers
			e.Load.Rate = 25 * float64(size.servers)
			e.Site.Rules.WarmupOverload = 0
			requests := 0
			for b.Loop() {
				r, err := Run(context.Background(), e, experiment.Variant{Policy: experiment.DesignPolicy}, 1, Options{})
				if err != nil {
					b.Fatal(err)
				}
				requests += int(r.Counters.Requests)
			}
			b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
