package balancer_test

import (
	"testing"
	"time"

	"rowancart/balancer"
)

func TestHedgedRequestFollowsASlowFirstAttempt(t *testing.T) {
	for name, change := range map[string]func(*balancer.Class){
		"HedgeAfter": func(c *balancer.Class) { c.HedgeAfter = 30 * ms },
		"HedgeQuantile": func(c *balancer.Class) {
			c.HedgeAfter = time.Second
			c.HedgeQuantile = 0.95
		},
		"as the last of MaxAttempts": func(c *balancer.Class) {
			c.HedgeAfter = 30 * ms
			c.MaxAttempts = 2
		},
		"without a queue": func(c *balancer.Class) {
			c.HedgeAfter = 30 * ms
			c.QueueLimit = -1
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithClass(t, change)
			id, first := h.request("read")
			h.advance(8 * ms)
			if n := len(h.sentTo[id]); n != 1 {
				t.Errorf("%d attempts before the hedged request was due, want 1", n)
			}
			h.advance(100 * ms)
			if to := h.sentTo[id]; len(to) != 2 || to[1] == first {
				t.Fatalf("sent to %v, want a hedged request to another endpoint", to)
			}
			// After the hedged request has failed, the first attempt must continue.
			h.finish(id, balancer.Reset)
			if n := h.countActions("reject") + h.countActions("fail"); n != 0 {
				t.Errorf("the request was given up with an attempt in flight: %v", h.actions)
			}
			h.b.Outcome(h.now, balancer.Outcome{ID: id, Endpoint: first, Result: balancer.OK, Latency: 100 * ms, Final: true})
			if h.countActions("send") != 2 || h.countActions("cancel") != 0 {
				t.Errorf("actions %v, want 2 sends and no cancel", h.actions)
			}
		})
	}
}

func TestSlowerOfTwoHedgedAttemptsIsCanceledAndASample(t *testing.T) {
	h := newHarnessWithClass(t, func(c *balancer.Class) { c.HedgeAfter = 15 * ms })
	counts := map[string]int{}
	for range 200 {
		id, first := h.request("read")
		counts[first]++
		h.advance(10 * ms)
		if first == "a" {
			h.advance(15 * ms)
			last := len(h.sentTo[id]) - 1
			h.b.Outcome(h.now, balancer.Outcome{ID: id, Attempt: last, Endpoint: h.sentTo[id][last], Result: balancer.OK,
				Latency: 10 * ms})
			if last != 1 || h.countActions("cancel "+id+" 0") != 1 {
				t.Fatalf("want 2 attempts, the slower one canceled; actions %v", h.actions)
			}
			h.b.Outcome(h.now, balancer.Outcome{ID: id, Endpoint: "a", Result: balancer.Canceled, Latency: 25 * ms, Final: true})
			continue
		}
		h.finishAll(id)
	}
	if 4*counts["a"] > 3*min(counts["b"], counts["c"]) {
		t.Errorf("hedging hides that a is slow: requests by endpoint %v", counts)
	}
}

func TestNoHedgingOfNonIdempotentRequestsOrBeyondTheBudget(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].HedgeAfter = 5 * ms
	}
	s.Classes = append(s.Classes, balancer.Class{Name: "keyed", Idempotency: balancer.IdempotencyKeyed,
		KeyWindow: time.Hour, LatencyObjective: time.Second, HedgeAfter: 5 * ms})
	h := newHarness(t, s, "a", "b", "c")
	for _, class := range []string{"bill", "keyed"} {
		id, _ := h.request(class)
		h.advance(100 * ms)
		if n := len(h.sentTo[id]); n != 1 {
			t.Errorf("%s: %d attempts, want 1", class, n)
		}
	}
	s.RetryBudget = balancer.RetryBudget{PerRequest: 0.01, Burst: 2}
	h = newHarness(t, s, "a", "b", "c", "d", "e", "f")
	for range 10 {
		h.request("read")
		h.advance(50 * ms)
	}
	if n := h.countActions("send"); n != 11 {
		t.Errorf("%d sends of 10 requests with a budget for one hedged request, want 11", n)
	}
}

// A request whose body only one attempt at a time can send must not be hedged: the hedged request
// could not be sent while the first attempt is in flight.
func TestSoleAttemptIsNotHedged(t *testing.T) {
	for _, sole := range []bool{false, true} {
		h := newHarnessWithClass(t, func(c *balancer.Class) { c.HedgeAfter = 30 * ms })
		h.b.Request(h.now, balancer.Request{ID: "upload", Class: "read", Deadline: h.now + time.Minute, SoleAttempt: sole})
		h.advance(100 * ms)
		want := 2
		if sole {
			want = 1
		}
		if n := len(h.sentTo["upload"]); n != want {
			t.Errorf("SoleAttempt %v: %d attempts, want %d", sole, n, want)
		}
		// A retry is allowed once the attempt in flight has ended.
		if sole {
			h.finish("upload", balancer.ConnectFailed)
			if n := len(h.sentTo["upload"]); n != 2 {
				t.Errorf("%d attempts after the first one failed, want 2", n)
			}
		}
	}
}
