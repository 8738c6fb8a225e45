package invariant

import (
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

const ms = time.Millisecond

var rules = experiment.Rules{AnswerSlack: 20 * ms, DrainGrace: time.Second, FallOver: 4, FallWindow: time.Second, ImproperFor: 3 * time.Second}

func taken(l *Ledger, id string, e balancer.Repeatability) {
	l.Taken(0, Request{ID: id, Instance: "s", Effect: e, Deadline: time.Second, Digest: 1})
}

func reach(l *Ledger, id, box string, at time.Duration) {
	l.Reached(Arrival{ID: id, Box: box, First: at, Last: at, Digest: 1})
}

// Each history breaks one rule, or none.
func TestHistories(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule
		play func(l *Ledger)
	}{
		{"served", "", func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			reach(l, "r", "a", ms)
			l.Made("a", "r", 7)
			l.Answered(5*ms, "r", Served, 7)
		}},
		{"sent again after being turned away", "", func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			reach(l, "r", "a", ms)
			l.Declined(2*ms, "a", "r")
			reach(l, "r", "b", 3*ms)
			l.Made("b", "r", 7)
			l.Answered(5*ms, "r", Served, 7)
		}},
		{"a duplicate after the client has left", Duplicate, func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			reach(l, "r", "a", ms)
			l.Excuse("r")
			reach(l, "r", "b", 900*ms)
		}},
		{"one attempt more than allowed", Policy, func(l *Ledger) {
			l.Taken(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, Attempts: 1})
			reach(l, "r", "a", ms)
			l.Declined(2*ms, "a", "r")
			reach(l, "r", "b", 3*ms)
			l.Made("b", "r", 7)
			l.Answered(5*ms, "r", Served, 7)
		}},
		{"safe, and run again where that is forbidden", Policy, func(l *Ledger) {
			l.Taken(0, Request{ID: "r", Instance: "s", Deadline: time.Second, Digest: 1, Once: true})
			reach(l, "r", "a", ms)
			reach(l, "r", "b", 3*ms)
			l.Made("b", "r", 7)
			l.Answered(5*ms, "r", Served, 7)
		}},
		{"one id on two boxes at once", Duplicate, func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			reach(l, "r", "a", ms)
			reach(l, "r", "b", ms)
			l.Declined(2*ms, "a", "r") // too late to have been known
			l.Answered(5*ms, "r", Failed, 0)
		}},
		{"safe on two boxes at once", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			reach(l, "r", "a", ms)
			reach(l, "r", "b", ms)
			l.Answered(5*ms, "r", Refused, 0)
		}},
		{"an answer cut mid-body", "", func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			reach(l, "r", "a", ms)
			l.Answered(5*ms, "r", Torn, 0)
		}},
		{"another request's answer", Invented, func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			taken(l, "q", balancer.Idempotent)
			reach(l, "q", "a", ms)
			l.Made("a", "q", 7)
			l.Answered(4*ms, "q", Served, 7)
			l.Answered(5*ms, "r", Served, 7)
		}},
		{"answered late", Answer, func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Answered(1100*ms, "r", Failed, 0)
		}},
		{"answered twice", Answer, func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Answered(1*ms, "r", Failed, 0)
			l.Answered(2*ms, "r", Failed, 0)
		}},
		{"never answered", Answer, func(l *Ledger) { taken(l, "r", balancer.Idempotent) }},
		{"killed before it could answer", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Killed("s")
		}},
		{"refused, then sent", Refusal, func(l *Ledger) {
			taken(l, "r", balancer.NonIdempotent)
			l.Answered(ms, "r", Refused, 0)
			reach(l, "r", "a", 2*ms)
		}},
		{"closed before the request was read", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			if l.Lost(ms, "r") {
				t.Error("no box saw it and it counts as lost")
			}
			l.Answered(5*ms, "r", Failed, 0)
		}},
		{"within the grace of a drain", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Told(0, "s", "a", balancer.Draining, false)
			reach(l, "r", "a", 999*ms)
			l.Answered(1000*ms, "r", Failed, 0)
		}},
		{"after it", Drain, func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Told(0, "s", "a", balancer.Draining, false)
			l.Told(500*ms, "s", "a", balancer.Draining, false) // told again: the first counts
			reach(l, "r", "a", 1001*ms)
			l.Answered(1001*ms, "r", Failed, 0)
		}},
		{"after another instance was told", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Told(0, "other", "a", balancer.Gone, false)
			reach(l, "r", "a", 1001*ms)
			l.Answered(1001*ms, "r", Failed, 0)
		}},
		{"pushed over by those who knew", Cold, func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Told(0, "s", "a", balancer.Ready, true)
			l.Reached(Arrival{ID: "r", Box: "a", First: ms, Last: ms, Digest: 1, Cold: true, Work: 3})
			l.Fell(ms, "a")
			l.Answered(5*ms, "r", Failed, 0)
		}},
		{"pushed over by those who did not", "", func(l *Ledger) {
			taken(l, "r", balancer.Idempotent)
			l.Reached(Arrival{ID: "r", Box: "a", First: ms, Last: ms, Digest: 1, Cold: true, Work: 3})
			l.Fell(ms, "a")
			l.Answered(5*ms, "r", Failed, 0)
		}},
		{"an improper peer served", Improper, func(l *Ledger) { l.ImproperEnd(0, ms, "sent nothing", true, true) }},
		{"an improper peer ended in time", "", func(l *Ledger) { l.ImproperEnd(0, 2*time.Second, "sent nothing", true, false) }},
		{"too many descriptors", Limits, func(l *Ledger) {
			l.Uses(0, Usage{Instance: "s", Descriptors: 11}, experiment.Limits{Descriptors: 10})
		}},
		{"more than its share of a core", Limits, func(l *Ledger) {
			l.Uses(0, Usage{Instance: "s", Cores: 0.6}, experiment.Limits{Cores: 0.5})
		}},
		{"a crash", Limits, func(l *Ledger) { l.Crashed(0, "s", "exit status 2") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(rules, 0)
			c.play(l)
			for _, v := range l.Close(5 * time.Second) {
				if (v.Broken > 0) != (v.Rule == c.rule) {
					t.Errorf("rule %q: broken %d times: %s", v.Rule, v.Broken, v.Detail)
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
		l.Taken(at, Request{ID: id, Deadline: at + time.Second})
		l.Answered(at, id, Failed, 0)
	}
	if n := len(l.calls); n > 4000 {
		t.Errorf("%d requests are remembered, of 100 a second", n)
	}
}
