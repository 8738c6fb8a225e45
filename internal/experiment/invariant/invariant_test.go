package invariant

import (
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

const ms = time.Millisecond

var rules = experiment.Rules{ResponseSlack: 20 * ms, DrainGrace: time.Second, WarmupOverload: 4, OverloadWindow: time.Second, ImproperPeerTimeout: 3 * time.Second}

func recordRequest(l *Checker, id string, e balancer.Repeatability) {
	l.RecordRequest(0, Request{ID: id, Instance: "s", Repeat: e, Deadline: time.Second, Digest: 1})
}

func recordArrival(l *Checker, id, server string, at time.Duration) {
	l.RecordArrival(Arrival{ID: id, Server: server, FirstByte: at, LastByte: at, Digest: 1})
}

// Each history breaks one rule, or none.
func TestHistories(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule
		play func(l *Checker)
	}{
		{"served", "", func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			recordArrival(l, "r", "a", ms)
			l.RecordServerResponse("a", "r", 7)
			l.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"sent again after being turned away", "", func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			recordArrival(l, "r", "a", ms)
			l.RecordRejection(2*ms, "a", "r")
			recordArrival(l, "r", "b", 3*ms)
			l.RecordServerResponse("b", "r", 7)
			l.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"a duplicate after the client has left", RuleDuplicate, func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			recordArrival(l, "r", "a", ms)
			l.Waive("r")
			recordArrival(l, "r", "b", 900*ms)
		}},
		{"one attempt more than allowed", RulePolicy, func(l *Checker) {
			l.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, MaxAttempts: 1})
			recordArrival(l, "r", "a", ms)
			l.RecordRejection(2*ms, "a", "r")
			recordArrival(l, "r", "b", 3*ms)
			l.RecordServerResponse("b", "r", 7)
			l.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"safe, and run again where that is forbidden", RulePolicy, func(l *Checker) {
			l.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, NeverRerun: true})
			recordArrival(l, "r", "a", ms)
			recordArrival(l, "r", "b", 3*ms)
			l.RecordServerResponse("b", "r", 7)
			l.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"one id on two boxes at once", RuleDuplicate, func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			recordArrival(l, "r", "a", ms)
			recordArrival(l, "r", "b", ms)
			l.RecordRejection(2*ms, "a", "r") // too late to have been known
			l.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"safe on two boxes at once", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			recordArrival(l, "r", "a", ms)
			recordArrival(l, "r", "b", ms)
			l.RecordResponse(5*ms, "r", Rejected, 0)
		}},
		{"an answer cut mid-body", "", func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			recordArrival(l, "r", "a", ms)
			l.RecordResponse(5*ms, "r", Truncated, 0)
		}},
		{"another request's answer", RuleFabricatedResponse, func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			recordRequest(l, "q", balancer.Idempotent)
			recordArrival(l, "q", "a", ms)
			l.RecordServerResponse("a", "q", 7)
			l.RecordResponse(4*ms, "q", Served, 7)
			l.RecordResponse(5*ms, "r", Served, 7)
		}},
		{"answered late", RuleResponse, func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordResponse(1100*ms, "r", Failed, 0)
		}},
		{"answered twice", RuleResponse, func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordResponse(1*ms, "r", Failed, 0)
			l.RecordResponse(2*ms, "r", Failed, 0)
		}},
		{"never answered", RuleResponse, func(l *Checker) { recordRequest(l, "r", balancer.Idempotent) }},
		{"killed before it could answer", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordKill("s")
		}},
		{"refused, then sent", RuleFalseRejection, func(l *Checker) {
			recordRequest(l, "r", balancer.NonIdempotent)
			l.RecordResponse(ms, "r", Rejected, 0)
			recordArrival(l, "r", "a", 2*ms)
		}},
		{"closed before the request was read", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			if l.RecordClosedConn(ms, "r") {
				t.Error("no box saw it and it counts as lost")
			}
			l.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"within the grace of a drain", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordNotification(0, "s", "a", balancer.Draining, false)
			recordArrival(l, "r", "a", 999*ms)
			l.RecordResponse(1000*ms, "r", Failed, 0)
		}},
		{"after it", RuleDrain, func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordNotification(0, "s", "a", balancer.Draining, false)
			l.RecordNotification(500*ms, "s", "a", balancer.Draining, false) // told again: the first counts
			recordArrival(l, "r", "a", 1001*ms)
			l.RecordResponse(1001*ms, "r", Failed, 0)
		}},
		{"after another instance was told", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordNotification(0, "other", "a", balancer.Gone, false)
			recordArrival(l, "r", "a", 1001*ms)
			l.RecordResponse(1001*ms, "r", Failed, 0)
		}},
		{"pushed over by those who knew", RuleWarmup, func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordNotification(0, "s", "a", balancer.Ready, true)
			l.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true, Work: 3})
			l.RecordOverload(ms, "a")
			l.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"pushed over by those who did not", "", func(l *Checker) {
			recordRequest(l, "r", balancer.Idempotent)
			l.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true, Work: 3})
			l.RecordOverload(ms, "a")
			l.RecordResponse(5*ms, "r", Failed, 0)
		}},
		{"an improper peer served", RuleImproperPeer, func(l *Checker) { l.RecordImproperPeer(0, ms, "sent nothing", true, true) }},
		{"an improper peer ended in time", "", func(l *Checker) { l.RecordImproperPeer(0, 2*time.Second, "sent nothing", true, false) }},
		{"too many descriptors", RuleLimits, func(l *Checker) {
			l.CheckUsage(0, Usage{Instance: "s", Descriptors: 11}, experiment.Limits{Descriptors: 10})
		}},
		{"more than its share of a core", RuleLimits, func(l *Checker) {
			l.CheckUsage(0, Usage{Instance: "s", Cores: 0.6}, experiment.Limits{Cores: 0.5})
		}},
		{"a crash", RuleLimits, func(l *Checker) { l.RecordCrash(0, "s", "exit status 2") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(rules, 0)
			c.play(l)
			for _, v := range l.Close(5 * time.Second) {
				if (v.Violations > 0) != (v.Rule == c.rule) {
					t.Errorf("rule %q: broken %d times: %s", v.Rule, v.Violations, v.Detail)
				}
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	l := New(rules, 0)
	for i := range 200_000 {
		at := time.Duration(i) * 10 * ms
		id := at.String()
		l.RecordRequest(at, Request{ID: id, Deadline: at + time.Second})
		l.RecordResponse(at, id, Failed, 0)
	}
	if n := len(l.requests); n > 4000 {
		t.Errorf("%d requests are remembered, of 100 a second", n)
	}
}
