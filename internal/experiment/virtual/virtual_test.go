package virtual

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// calm is a service of two tiers with load to spare.
func calm() *experiment.Experiment {
	kinds := []experiment.Kind{{Name: "fast", Share: 1, Cores: 2, Speed: 1.4, Slots: 16, Queue: 200}, {Name: "slow", Share: 1, Cores: 2, Speed: 0.8, Slots: 16, Queue: 200}}
	spec := experiment.BoxSpec{ColdFrom: 0.3, ColdFor: 5 * time.Second, ConnWork: time.Millisecond, ConnLimit: 500, ConnIdle: 10 * time.Second}
	return &experiment.Experiment{
		Name: "calm", Duration: 20 * time.Second, Warmup: 2 * time.Second,
		Site: experiment.Site{Balancers: 2, Delay: 200 * time.Microsecond, Jitter: 0.3, Attempts: 5,
			Roster: experiment.Roster{Delay: time.Second, Spread: 300 * time.Millisecond},
			Classes: []experiment.Class{
				{Name: "lookup", Effect: balancer.Idempotent, Share: 0.7, Work: 40 * time.Millisecond, Wait: 10 * time.Millisecond, Spread: experiment.Exponential, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1},
				{Name: "submit", Effect: balancer.NonIdempotent, Share: 0.3, Work: 50 * time.Millisecond, Spread: experiment.LogNormal, Cv: 0.5, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 10},
			},
			Tiers: []experiment.Tier{{Name: "front", Boxes: 6, Work: 0.4, Calls: 1, Kinds: kinds, Box: spec}, {Name: "back", Boxes: 8, Work: 0.6, Kinds: kinds, Box: spec}},
			Rules: experiment.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, FallOver: 4, FallWindow: time.Second},
		},
		Load: experiment.Load{Rate: 100, Process: "poisson", Clients: experiment.Clients{PatienceLeast: 0.6, Retries: 1, RetryWait: 100 * time.Millisecond, Leave: 0.02}},
	}
}

func play(t *testing.T, e *experiment.Experiment, policy string, seed uint64, shuffle *rand.Rand) *Result {
	t.Helper()
	r, err := Run(context.Background(), e, experiment.Arm{Name: policy, Policy: policy}, seed, Options{Shuffle: shuffle})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func broken(r *Result) map[invariant.Rule]string {
	out := map[invariant.Rule]string{}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			out[v.Rule] = v.Detail
		}
	}
	return out
}

func TestCalmServesAll(t *testing.T) {
	for _, policy := range append([]string{experiment.DesignPolicy}, baseline.Names...) {
		t.Run(policy, func(t *testing.T) {
			r := play(t, calm(), policy, 1, nil)
			if b := broken(r); len(b) > 0 {
				t.Errorf("rules broken: %v", b)
			}
			if share := r.Tally.Total.Share(counters.InTime); share < 0.99 {
				t.Errorf("served in time: %.4f of %d", share, r.Tally.Total.Offered())
			}
			if n := r.Tally.Total.Offered(); n < 1600 || n > 2000 {
				t.Errorf("offered %d, want about 1800", n)
			}
		})
	}
}

// troubled has every fault that virtual time knows.
func troubled() *experiment.Experiment {
	e := calm()
	e.Duration = 30 * time.Second
	for kind, has := range experiment.FaultKinds {
		if !has {
			continue
		}
		f := experiment.Fault{Kind: kind, At: 5 * time.Second, For: 10 * time.Second, Part: 0.2, Size: 0.3, Period: time.Second}
		if kind == experiment.SharedSlow {
			f.Size, f.For, f.Part = 1.5, 3*time.Second, 1
		}
		e.Faults = append(e.Faults, f)
	}
	// A map's order must not choose the faults' draws.
	for i := range e.Faults {
		for j := range i {
			if e.Faults[i].Kind < e.Faults[j].Kind {
				e.Faults[i], e.Faults[j] = e.Faults[j], e.Faults[i]
			}
		}
	}
	return e
}

func TestSameSeedSameResult(t *testing.T) {
	text := func(seed uint64, shuffle *rand.Rand) string {
		r := play(t, troubled(), experiment.DesignPolicy, seed, shuffle)
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	first := text(5, nil)
	if again := text(5, nil); again != first {
		t.Error("two plays of one seed differ")
	}
	for s := range uint64(3) {
		if other := text(5, rand.New(rand.NewPCG(s, 9))); other != first {
			t.Errorf("another order of making parties (%d) makes another result", s)
		}
	}
	if text(6, nil) == first {
		t.Error("another seed makes the same result")
	}
}

// Under every fault the design and the rivals may serve fewer, but keep every rule that is theirs to keep. Rivals know
// nothing of cold boxes: that rule is the design's alone.
func TestRulesUnderFaults(t *testing.T) {
	for _, policy := range append([]string{experiment.DesignPolicy}, baseline.Names...) {
		r := play(t, troubled(), policy, 3, nil)
		b := broken(r)
		if policy != experiment.DesignPolicy {
			delete(b, invariant.Cold)
		}
		if len(b) > 0 {
			t.Errorf("%s: rules broken: %v", policy, b)
		}
		if n := r.Tally.Total; n.Offered() == n[counters.InTime] {
			t.Errorf("%s: the faults changed nothing", policy)
		}
	}
}

func TestFaultsBite(t *testing.T) {
	base := play(t, calm(), "random", 2, nil)
	for kind, has := range experiment.FaultKinds {
		if !has || kind == experiment.RosterLate || kind == experiment.RosterSilent {
			continue
		}
		e := calm()
		e.Load.Clients.Retries = 0
		f := experiment.Fault{Kind: kind, At: 4 * time.Second, For: 12 * time.Second, Part: 0.6, Size: 0.9, Period: 400 * time.Millisecond}
		if kind == experiment.SharedSlow {
			f.Size = 6
		}
		e.Faults = []experiment.Fault{f}
		r := play(t, e, "random", 2, nil)
		if r.Tally.Quantile(0.99) <= base.Tally.Quantile(0.99) && r.Tally.Total.Share(counters.InTime) >= base.Tally.Total.Share(counters.InTime) &&
			r.Tally.Attempts <= base.Tally.Attempts {
			t.Errorf("%s: nothing is worse than on a calm day", kind)
		}
	}
}

// A box that dies while a caller in the tier above holds a slot for it: the caller's request ends, the slot is freed.
func TestDeathBelowFreesTheSlotAbove(t *testing.T) {
	e := calm()
	e.Load.Clients = experiment.Clients{}
	e.Faults = []experiment.Fault{{Kind: experiment.Crash, At: 8 * time.Second, For: time.Minute, Tier: "back", Part: 1}}
	r := play(t, e, "round_robin", 4, nil)
	if b := broken(r); len(b) > 0 {
		t.Errorf("rules broken: %v", b)
	}
	if r.Tally.Total[counters.Failed]+r.Tally.Total[counters.Refused] == 0 {
		t.Error("all was served with no box left in the last tier")
	}
}

func TestUnknownPolicy(t *testing.T) {
	if _, err := Run(context.Background(), calm(), experiment.Arm{Name: "x", Policy: "best"}, 1, Options{}); err == nil {
		t.Error("a policy of no known name was played")
	}
}

func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ balancers, boxes int }{{10, 100}, {100, 1000}} {
		b.Run(strconv.Itoa(size.balancers)+"x"+strconv.Itoa(size.boxes), func(b *testing.B) {
			e := calm()
			e.Site.Tiers = e.Site.Tiers[1:]
			e.Site.Tiers[0].Boxes, e.Site.Balancers = size.boxes, size.balancers
			e.Load.Rate = 25 * float64(size.boxes)
			e.Site.Rules.FallOver = 0
			requests := 0
			for b.Loop() {
				r, err := Run(context.Background(), e, experiment.Arm{Policy: experiment.DesignPolicy}, 1, Options{})
				if err != nil {
					b.Fatal(err)
				}
				requests += int(r.Tally.Requests)
			}
			b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
