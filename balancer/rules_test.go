package balancer_test

import (
	"testing"

	"rowancart/balancer"
)

func TestRulesHoldInRandomSimulations(t *testing.T) {
	var answers [3]int
	reasons := map[balancer.Reason]int{}
	for seed := range uint64(60) {
		sim := simulate(t, seed, 1500)
		for i, n := range sim.answers {
			answers[i] += n
		}
		for reason, n := range sim.reasons {
			reasons[reason] += n
		}
	}
	for i, n := range answers {
		if n < 1000 {
			t.Errorf("only %d answers of kind %d, want at least 1000: the simulations test too little", n, i)
		}
	}
	for _, reason := range balancer.Reasons {
		if reason != balancer.QueueFull && reason != balancer.NoEndpoint && reasons[reason] < 20 {
			t.Errorf("only %d answers with reason %s, want 20 or more: the simulations test too little", reasons[reason], reason)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := simulate(t, seed, 500).actions, simulate(t, seed, 500).actions
		if len(a) != len(b) || len(a) == 0 {
			t.Fatalf("seed %d: %d actions in one run and %d in the other", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %q in one run and %q in the other", seed, a[i], b[i])
			}
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(99), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { simulate(t, seed, int(steps)%1000) })
}
