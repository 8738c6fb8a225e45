package invariant

import (
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

const ms = time.Millisecond

var rules = experiment.Rules{ResponseSlack: 20 * ms, DrainGrace: time.Second, WarmupOverload: 4,
	OverloadWindow: time.Second, ImproperPeerTimeout: 3 * time.Second}

// recordRequest records a request at instance s with a deadline of one second.
func recordRequest(checker *Checker, id string, e balancer.Idempotency) {
	checker.RecordRequest(0, Request{ID: id, Instance: "s", Repeat: e, Deadline: time.Second, Digest: 1})
}

// recordArrival records that the whole request arrived at once.
func recordArrival(checker *Checker, id, server string, at time.Duration) {
	checker.RecordArrival(Arrival{ID: id, Server: server, FirstByte: at, LastByte: at, Digest: 1})
}

// TestHistories runs histories that violate one rule, or none.
func TestHistories(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule
		run  func(checker *Checker)
	}{
		{"served", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			recordArrival(checker, "r", "a", ms)
			checker.RecordServerResponse("a", "r", 7)
			checker.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"sent again after being turned away", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			recordArrival(checker, "r", "a", ms)
			checker.RecordRejection(2*ms, "a", "r")
			recordArrival(checker, "r", "b", 3*ms)
			checker.RecordServerResponse("b", "r", 7)
			checker.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"a duplicate after the client has left", RuleDuplicate, func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			recordArrival(checker, "r", "a", ms)
			checker.Waive("r")
			recordArrival(checker, "r", "b", 900*ms)
		}},
		{"one attempt more than allowed", RulePolicy, func(checker *Checker) {
			checker.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, MaxAttempts: 1})
			recordArrival(checker, "r", "a", ms)
			checker.RecordRejection(2*ms, "a", "r")
			recordArrival(checker, "r", "b", 3*ms)
			checker.RecordServerResponse("b", "r", 7)
			checker.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"safe, and run again where that is forbidden", RulePolicy, func(checker *Checker) {
			checker.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, NeverRerun: true})
			recordArrival(checker, "r", "a", ms)
			recordArrival(checker, "r", "b", 3*ms)
			checker.RecordServerResponse("b", "r", 7)
			checker.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"one id on two boxes at once", RuleDuplicate, func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			recordArrival(checker, "r", "a", ms)
			recordArrival(checker, "r", "b", ms)
			checker.RecordRejection(2*ms, "a", "r") // too late to have been known
			checker.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"safe on two boxes at once", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			recordArrival(checker, "r", "a", ms)
			recordArrival(checker, "r", "b", ms)
			checker.RecordResponse(5*ms, "r", Rejected, 0)
		}},
		{"an answer cut mid-body", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			recordArrival(checker, "r", "a", ms)
			checker.RecordResponse(5*ms, "r", Truncated, 0)
		}},
		{"another request's answer", RuleFabricatedResponse, func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			recordRequest(checker, "q", balancer.Idempotent)
			recordArrival(checker, "q", "a", ms)
			checker.RecordServerResponse("a", "q", 7)
			checker.RecordResponse(4*ms, "q", Served, 7)
			checker.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"answered late", RuleResponse, func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordResponse(1100*ms, "r", Failed, 0)
		}},
		{"answered twice", RuleResponse, func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordResponse(1*ms, "r", Failed, 0)
			checker.RecordResponse(2*ms, "r", Failed, 0)
		}},
		{"never answered", RuleResponse, func(checker *Checker) { recordRequest(checker, "r", balancer.Idempotent) }},
		{"killed before it could answer", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordKill("s")
		}},
		{"refused, then sent", RuleFalseRejection, func(checker *Checker) {
			recordRequest(checker, "r", balancer.NonIdempotent)
			checker.RecordResponse(ms, "r", Rejected, 0)
			recordArrival(checker, "r", "a", 2*ms)
		}},
		{"closed before the request was read", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			if checker.RecordClosedConn(ms, "r") {
				t.Error("no box saw it and it counts as lost")
			}
			checker.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"within the grace of a drain", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordNotification(0, "s", "a", balancer.Draining, false)
			recordArrival(checker, "r", "a", 999*ms)
			checker.RecordResponse(1000*ms, "r", Failed, 0)
		}},
		{"after it", RuleDrain, func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordNotification(0, "s", "a", balancer.Draining, false)
			// notified again: the first notification counts
			checker.RecordNotification(500*ms, "s", "a", balancer.Draining, false)
			recordArrival(checker, "r", "a", 1001*ms)
			checker.RecordResponse(1001*ms, "r", Failed, 0)
		}},
		{"after another instance was told", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordNotification(0, "other", "a", balancer.Removed, false)
			recordArrival(checker, "r", "a", 1001*ms)
			checker.RecordResponse(1001*ms, "r", Failed, 0)
		}},
		{"pushed over by those who knew", RuleWarmup, func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordNotification(0, "s", "a", balancer.Ready, true)
			checker.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true,
				Work: 3})
			checker.RecordOverload(ms, "a")
			checker.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"pushed over by those who did not", "", func(checker *Checker) {
			recordRequest(checker, "r", balancer.Idempotent)
			checker.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true,
				Work: 3})
			checker.RecordOverload(ms, "a")
			checker.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"an improper peer served", RuleImproperPeer, func(checker *Checker) {
			checker.RecordImproperPeer(0, ms, "sent nothing", true, true)
		}},
		{"an improper peer ended in time", "", func(checker *Checker) {
			checker.RecordImproperPeer(0, 2*time.Second, "sent nothing", true, false)
		}},
		{"too many descriptors", RuleLimits, func(checker *Checker) {
			checker.CheckUsage(0, Usage{Instance: "s", Descriptors: 11}, experiment.Limits{Descriptors: 10})
		}},
		{"more than its share of a core", RuleLimits, func(checker *Checker) {
			checker.CheckUsage(0, Usage{Instance: "s", Cores: 0.6}, experiment.Limits{Cores: 0.5})
		}},
		{"a crash", RuleLimits, func(checker *Checker) { checker.RecordCrash(0, "s", "exit status 2") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := New(rules, 0)
			c.run(checker)
			for _, v := range checker.Close(5 * time.Second) {
				if (v.Violations > 0) != (v.Rule == c.rule) {
					t.Errorf("rule %q: broken %d times: %s", v.Rule, v.Violations, v.Detail)
				}
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	checker := New(rules, 0)
	for i := range 200_000 {
		at := time.Duration(i) * 10 * ms
		id := at.String()
		checker.RecordRequest(at, Request{ID: id, Deadline: at + time.Second})
		checker.RecordResponse(at, id, Failed, 0)
	}
	if n := len(checker.requests); n > 4000 {
		t.Errorf("%d requests are remembered, of 100 a second", n)
	}
}
