package balancer_test

import (
	"testing"
	"time"

	"rowancart/balancer"
)

func TestResetIsRetriedOnlyIfIdempotent(t *testing.T) {
	for class, want := range map[string]int{"read": 2, "bill": 1} {
		h := newHarness(t, testSettings(), "a", "b", "c")
		h.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms})
		id, _ := h.request(class)
		h.advance(time.Second)
		h.finish(id, balancer.Reset)
		if n := len(h.sentTo[id]); n != want {
			t.Errorf("a broken %s was sent %d times, want %d", class, n, want)
		}
	}
}

// Retries of three tiers and of clients multiply: each balancer may add a tenth.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	h.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	before, asked := h.countActions("send"), 200
	for range asked {
		id, ep := h.request("read")
		for n := 0; ep != "" && n < len(h.sentTo[id]); n++ {
			h.advance(10 * ms)
			h.b.Outcome(h.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: h.sentTo[id][n], Result: balancer.Errored,
				Latency: 10 * ms})
		}
	}
	if extra := h.countActions("send") - before - asked; extra > asked/10+10 || extra < 5 {
		t.Errorf("%d retries for %d requests that all failed", extra, asked)
	}
}

// The second attempt goes elsewhere, even where the first endpoint has the lowest deficit again.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "fast", "slow")
	latency := map[string]time.Duration{"fast": 20 * ms, "slow": 30 * ms}
	h.serve(200, latency)
	again := 0
	for range 30 {
		h.serve(11, latency) // earns a retry, and moves the deficits on
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balancer.Errored)
		if to := h.sentTo[id]; len(to) == 2 {
			if again++; to[0] == to[1] {
				t.Fatalf("%s went to %v", id, to)
			}
			h.advance(latency[to[1]])
			h.finish(id, balancer.OK)
		}
	}
	if again < 10 {
		t.Errorf("%d of 30 calls were sent again", again)
	}
}

// An attempt that was not sent, since its endpoint was disabled while the connection was
// established, costs the endpoint nothing: the next one is exempt from the budget.
func TestUnsentAttemptIsExemptFromTheBudget(t *testing.T) {
	s := testSettings()
	s.MaxAttempts, s.RetryBudget.PerRequest, s.RetryBudget.Burst = 0, 1e-9, 1e-9
	h := newHarness(t, s, "a", "b")
	for _, row := range []struct {
		result  balancer.Result
		resends int
	}{{balancer.NotSent, 1}, {balancer.ConnectFailed, 1}, {balancer.Rejected, 0}} {
		id, _ := h.request("bill")
		h.finish(id, row.result)
		if n := len(h.sentTo[id]) - 1; n != row.resends {
			t.Errorf("after %v: sent again %d times, want %d", row.result, n, row.resends)
		}
		if n := len(h.sentTo[id]) - 1; n > 0 {
			h.finish(id, balancer.OK)
		}
	}
}
