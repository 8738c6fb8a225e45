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
	checker.RecordRequest(0, Request{ID: id, Instance: "s", Idempotency: e, Deadline: time.Second, Digest: 1})
}

// recordArrival records that all bytes of a request arrived at a server at one instant.
func recordArrival(checker *Checker, id, server string, at time.Duration) {
	checker.RecordArrival(Arrival{ID: id, Server: server, FirstByte: at, LastByte: at, Digest: 1})
}

// history is a sequence of observations, and the rule that it violates (empty: none).
type history struct {
	name     string
	violates Rule
	record   func(t *testing.T, checker *Checker)
}

var histories = []history{
	{"served", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		recordArrival(checker, "r", "a", ms)
		checker.RecordServerResponse("a", "r", 7)
		checker.RecordResponse(5*ms, "r", Served, 7)
	}},
	{"retried after a rejection", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		recordArrival(checker, "r", "a", ms)
		checker.RecordRejection(2*ms, "a", "r")
		recordArrival(checker, "r", "b", 3*ms)
		checker.RecordServerResponse("b", "r", 7)
		checker.RecordResponse(5*ms, "r", Served, 7)
	}},
	{"retried after the client disconnected", RuleDuplicate, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		recordArrival(checker, "r", "a", ms)
		checker.Waive("r")
		recordArrival(checker, "r", "b", 900*ms)
	}},
	{"one attempt more than allowed", RulePolicy, func(_ *testing.T, checker *Checker) {
		checker.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, MaxAttempts: 1})
		recordArrival(checker, "r", "a", ms)
		checker.RecordRejection(2*ms, "a", "r")
		recordArrival(checker, "r", "b", 3*ms)
		checker.RecordServerResponse("b", "r", 7)
		checker.RecordResponse(5*ms, "r", Served, 7)
	}},
	{"idempotent, and run again where that is forbidden", RulePolicy, func(_ *testing.T, checker *Checker) {
		checker.RecordRequest(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, NeverRerun: true})
		recordArrival(checker, "r", "a", ms)
		recordArrival(checker, "r", "b", 3*ms)
		checker.RecordServerResponse("b", "r", 7)
		checker.RecordResponse(5*ms, "r", Served, 7)
	}},
	{"non-idempotent on two servers at once", RuleDuplicate, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		recordArrival(checker, "r", "a", ms)
		recordArrival(checker, "r", "b", ms)
		checker.RecordRejection(2*ms, "a", "r") // too late: the request had already been sent to b
		checker.RecordResponse(5*ms, "r", Failed, 0)
	}},
	{"idempotent on two servers at once", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		recordArrival(checker, "r", "a", ms)
		recordArrival(checker, "r", "b", ms)
		checker.RecordResponse(5*ms, "r", Rejected, 0)
	}},
	{"a truncated response", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		recordArrival(checker, "r", "a", ms)
		checker.RecordResponse(5*ms, "r", Truncated, 0)
	}},
	{"another request's response", RuleFabricatedResponse, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		recordRequest(checker, "q", balancer.Idempotent)
		recordArrival(checker, "q", "a", ms)
		checker.RecordServerResponse("a", "q", 7)
		checker.RecordResponse(4*ms, "q", Served, 7)
		checker.RecordResponse(5*ms, "r", Served, 7)
	}},
	{"a late response", RuleResponse, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordResponse(1100*ms, "r", Failed, 0)
	}},
	{"two responses", RuleResponse, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordResponse(1*ms, "r", Failed, 0)
		checker.RecordResponse(2*ms, "r", Failed, 0)
	}},
	{"no response", RuleResponse, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
	}},
	{"the instance is killed before it responds", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordKill("s")
	}},
	{"forwarded after a rejection", RuleFalseRejection, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.NonIdempotent)
		checker.RecordResponse(ms, "r", Rejected, 0)
		recordArrival(checker, "r", "a", 2*ms)
	}},
	{"closed before the request was read", "", func(t *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		if checker.RecordClosedConn(ms, "r") {
			t.Error("a request that no server received is reported as lost")
		}
		checker.RecordResponse(5*ms, "r", Failed, 0)
	}},
	{"sent within the drain grace", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordNotification(0, Notification{Instance: "s", Server: "a", State: balancer.Draining})
		recordArrival(checker, "r", "a", 999*ms)
		checker.RecordResponse(1000*ms, "r", Failed, 0)
	}},
	{"sent after the drain grace", RuleDrain, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordNotification(0, Notification{Instance: "s", Server: "a", State: balancer.Draining})
		// a second notification does not extend the grace: the first one counts
		checker.RecordNotification(500*ms, Notification{Instance: "s", Server: "a", State: balancer.Draining})
		recordArrival(checker, "r", "a", 1001*ms)
		checker.RecordResponse(1001*ms, "r", Failed, 0)
	}},
	{"sent after only another instance was notified", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordNotification(0, Notification{Instance: "other", Server: "a", State: balancer.Removed})
		recordArrival(checker, "r", "a", 1001*ms)
		checker.RecordResponse(1001*ms, "r", Failed, 0)
	}},
	{"overloaded during warm-up by notified instances", RuleWarmup, func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordNotification(0, Notification{Instance: "s", Server: "a", State: balancer.Ready, Started: true})
		checker.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true,
			Work: 3})
		checker.RecordOverload(ms, "a")
		checker.RecordResponse(5*ms, "r", Failed, 0)
	}},
	{"overloaded during warm-up by instances that were not notified", "", func(_ *testing.T, checker *Checker) {
		recordRequest(checker, "r", balancer.Idempotent)
		checker.RecordArrival(Arrival{ID: "r", Server: "a", FirstByte: ms, LastByte: ms, Digest: 1, WarmingUp: true,
			Work: 3})
		checker.RecordOverload(ms, "a")
		checker.RecordResponse(5*ms, "r", Failed, 0)
	}},
	{"an improper peer served", RuleImproperPeer, func(_ *testing.T, checker *Checker) {
		checker.RecordImproperPeer(ImproperPeer{Ended: ms, End: PeerServed, Sent: "sent nothing"})
	}},
	{"an improper peer disconnected in time", "", func(_ *testing.T, checker *Checker) {
		checker.RecordImproperPeer(ImproperPeer{Ended: 2 * time.Second, End: PeerDisconnected, Sent: "sent nothing"})
	}},
	{"an improper peer disconnected too late", RuleImproperPeer, func(_ *testing.T, checker *Checker) {
		checker.RecordImproperPeer(ImproperPeer{Ended: 3001 * ms, End: PeerDisconnected, Sent: "sent nothing"})
	}},
	{"an improper peer still connected", RuleImproperPeer, func(_ *testing.T, checker *Checker) {
		checker.RecordImproperPeer(ImproperPeer{Ended: 2 * time.Second, End: PeerConnected, Sent: "sent nothing"})
	}},
	{"too many descriptors", RuleLimits, func(_ *testing.T, checker *Checker) {
		checker.CheckUsage(0, Usage{Instance: "s", Descriptors: 11}, experiment.Limits{Descriptors: 10})
	}},
	{"more than its limit of cores", RuleLimits, func(_ *testing.T, checker *Checker) {
		checker.CheckUsage(0, Usage{Instance: "s", Cores: 0.6}, experiment.Limits{Cores: 0.5})
	}},
	{"a crash", RuleLimits, func(_ *testing.T, checker *Checker) { checker.RecordCrash(0, "s", "exit status 2") }},
}

// TestHistories checks that each history violates its rule and no other.
func TestHistories(t *testing.T) {
	for _, h := range histories {
		t.Run(h.name, func(t *testing.T) {
			checker := New(rules, 0)
			h.record(t, checker)
			for _, v := range checker.Close(5 * time.Second) {
				if (v.Violations > 0) != (v.Rule == h.violates) {
					t.Errorf("rule %q: %d violations; only the rule of the history may have any: %s", v.Rule, v.Violations, v.Detail)
				}
			}
		})
	}
}

// The checker deletes old requests. Here 100 requests a second arrive, whose deadline is 1 s.
func TestMemoryIsBounded(t *testing.T) {
	checker := New(rules, 0)
	for i := range 200_000 {
		at := time.Duration(i) * 10 * ms
		id := at.String()
		checker.RecordRequest(at, Request{ID: id, Deadline: at + time.Second})
		checker.RecordResponse(at, id, Failed, 0)
	}
	if n := len(checker.requests); n > 4000 {
		t.Errorf("%d requests are stored at 100 requests a second, want at most 4000", n)
	}
}
