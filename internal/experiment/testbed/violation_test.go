package testbed

import (
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// smallExperiment returns an experiment of 1.5 s with one sidecar and four servers.
func smallExperiment() *experiment.Experiment {
	lookup := experiment.Class{Name: "lookup", TrafficShare: 0.5, Work: 4 * time.Millisecond,
		Distribution: experiment.Fixed, LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}
	submit := lookup
	submit.Name = "submit"
	submit.Idempotency = balancer.NonIdempotent
	kind := experiment.Kind{Name: "std", Fraction: 1, Cores: 1, Speed: 1, Slots: 8, QueueLimit: 50}
	tier := experiment.Tier{Name: "server", Servers: 4, WorkFraction: 1, Kinds: []experiment.Kind{kind},
		Server: experiment.ServerSpec{InitialCapacity: 0.05, WarmupTime: 10 * time.Second}}
	return &experiment.Experiment{Name: "small", Duration: 1500 * time.Millisecond,
		Site: experiment.Site{
			Balancers:   1,
			MaxAttempts: 3,
			Classes:     []experiment.Class{lookup, submit},
			Limits:      experiment.Limits{MemoryMB: 64},
			Discovery:   experiment.Discovery{Delay: 50 * time.Millisecond},
			Tiers:       []experiment.Tier{tier},
			Rules: experiment.Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, WarmupOverload: 4,
				OverloadWindow: time.Second, ImproperPeerTimeout: 1500 * time.Millisecond},
		},
		Load: experiment.Load{Rate: 80, Process: experiment.Poisson, Clients: experiment.Clients{MinPatience: 1}},
	}
}

// rollingDeploy returns a fault that replaces one of four servers after it has drained for the
// given time.
func rollingDeploy(drain time.Duration) []experiment.Fault {
	return []experiment.Fault{{Kind: experiment.RollingDeploy, At: 100 * time.Millisecond, Duration: time.Millisecond,
		Fraction: 0.25, Size: 0.25, Period: drain}}
}

var (
	// slowDeploy drains the replaced server for longer than the drain grace.
	slowDeploy = rollingDeploy(1900 * time.Millisecond)
	// quickDeploy starts the new server while the clients still send requests.
	quickDeploy = rollingDeploy(300 * time.Millisecond)
	// improperPeers connect without sending a complete request.
	improperPeers = []experiment.Fault{
		{Kind: experiment.SilentPeer, At: 100 * time.Millisecond, Count: 2, Period: 50 * time.Millisecond},
		{Kind: experiment.PartialRequestPeer, At: 100 * time.Millisecond, Count: 1},
	}
)

// injectedViolation is a violation that the proxy commits, the only rule that the checker must
// report for it, and the experiment in which it occurs.
type injectedViolation struct {
	violation violation
	rule      invariant.Rule // empty if there must be no report
	faults    []experiment.Fault
	duration  time.Duration // 0 means the duration of smallExperiment
	work      time.Duration // of a request; 0 means the work in smallExperiment
}

const slowDeployDuration = 2500 * time.Millisecond

var injectedViolations = []injectedViolation{
	{violation: noViolation, faults: append(slices.Clone(slowDeploy), improperPeers...), duration: slowDeployDuration},
	{violation: sendsTwice, rule: invariant.RuleDuplicate},
	{violation: fabricatesResponses, rule: invariant.RuleFabricatedResponse},
	{violation: ignoresDiscovery, rule: invariant.RuleDrain, faults: slowDeploy, duration: slowDeployDuration},
	{violation: closesWithoutReply, rule: invariant.RuleResponse},
	{violation: respondsTooLate, rule: invariant.RuleResponse},
	{violation: sendsForeignRequests, rule: invariant.RuleForeignRequest},
	{violation: changesRequests, rule: invariant.RuleForeignRequest},
	{violation: overloadsNewServer, rule: invariant.RuleWarmup, faults: quickDeploy, work: 15 * time.Millisecond},
	{violation: rejectsAfterRun, rule: invariant.RuleFalseRejection},
	{violation: keepsImproperPeers, rule: invariant.RuleImproperPeer, faults: improperPeers},
	{violation: exceedsMemory, rule: invariant.RuleLimits},
	{violation: exits, rule: invariant.RuleLimits},
}

// newExperiment returns the experiment in which the violation occurs.
func (p injectedViolation) newExperiment() *experiment.Experiment {
	e := smallExperiment()
	e.Faults = p.faults
	if p.duration > 0 {
		e.Duration = p.duration
	}
	if p.work > 0 {
		for i := range e.Site.Classes {
			e.Site.Classes[i].Work = p.work
		}
	}
	return e
}

func TestCheckerDetectsInjectedViolations(t *testing.T) {
	for _, p := range injectedViolations {
		t.Run(string(p.violation), func(t *testing.T) {
			t.Parallel()
			got, err := Run(t.Context(), p.newExperiment(), experiment.Variant{Name: string(p.violation)}, 1,
				Options{Program: violatingProgram(p.violation)})
			if err != nil {
				t.Fatal(err)
			}
			if n := got.Counters.Total.Offered(); n < 40 {
				t.Errorf("only %d requests were sent, want at least 40", n)
			}
			for _, v := range got.Verdicts {
				if (v.Violations > 0) != (v.Rule == p.rule) {
					t.Errorf("rule %q: %d violations: %s", v.Rule, v.Violations, v.Detail)
				}
			}
			if p.rule == "" && got.Counters.Total.Fraction(counters.ServedInTime) < 0.9 {
				t.Errorf("a proxy without violations served less than 0.9 in time: %v", got.Counters.Total)
			}
		})
	}
}
