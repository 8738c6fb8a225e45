package balancer_test

import (
	"testing"
	"time"

	"rowancart/balancer"
)

func TestResetIsRetriedOnlyIfIdempotent(t *testing.T) {
	for class, want := range map[string]int{"read": 2, "bill": 1} {
		t.Run(class, func(t *testing.T) {
			h := newHarness(t, testSettings(), "a", "b", "c")
			h.serve(50, evenLatency(50*ms, "a", "b", "c"))
			id, _ := h.request(class)
			h.advance(time.Second)
			h.finish(id, balancer.Reset)
			if n := len(h.sentTo[id]); n != want {
				t.Errorf("%d attempts after a reset, want %d", n, want)
			}
		})
	}
}

// Retries of clients and of three tiers multiply, so that each Balancer may add only a tenth to its
// requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	h.serve(50, evenLatency(50*ms, "a", "b", "c", "d"))
	const requests = 200
	before := h.countActions("send")
	for range requests {
		id, ep := h.request("read")
		for n := 0; ep != "" && n < len(h.sentTo[id]); n++ {
			h.advance(10 * ms)
			h.b.Outcome(h.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: h.sentTo[id][n], Result: balancer.Errored,
				Latency: 10 * ms})
		}
	}
	if retries := h.countActions("send") - before - requests; retries > requests/10+10 || retries < 5 {
		t.Errorf("%d retries of %d requests that all failed, want 5 to a tenth of the requests plus 10", retries, requests)
	}
}

// A retry goes to another endpoint, even if the first one has the lowest deficit again.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "fast", "slow")
	latency := map[string]time.Duration{"fast": 20 * ms, "slow": 30 * ms}
	h.serve(200, latency)
	retried := 0
	for range 30 {
		h.serve(11, latency) // earns a retry token, and changes the deficits
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balancer.Errored)
		if to := h.sentTo[id]; len(to) == 2 {
			if retried++; to[0] == to[1] {
				t.Fatalf("%s was retried at the same endpoint: %v", id, to)
			}
			h.advance(latency[to[1]])
			h.finish(id, balancer.OK)
		}
	}
	if retried < 10 {
		t.Errorf("%d of 30 requests were retried, want at least 10", retried)
	}
}

// An attempt that was not sent, for example because its endpoint was disabled while the connection
// was being established, adds no load to the endpoint: the retry is exempt from the budget.
func TestUnsentAttemptIsExemptFromTheBudget(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 0
	s.RetryBudget = balancer.RetryBudget{PerRequest: 1e-9, Burst: 1e-9}
	h := newHarness(t, s, "a", "b")
	for _, c := range []struct {
		name    string
		result  balancer.Result
		retries int
	}{
		{"not sent", balancer.NotSent, 1},
		{"connection failed", balancer.ConnectFailed, 1},
		{"rejected", balancer.Rejected, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			id, _ := h.request("bill")
			h.finish(id, c.result)
			retries := len(h.sentTo[id]) - 1
			if retries != c.retries {
				t.Errorf("%d retries, want %d", retries, c.retries)
			}
			if retries > 0 {
				h.finish(id, balancer.OK)
			}
		})
	}
}

// The window of an idempotency key begins when the Balancer sends the first attempt that may have
// run, not when the last byte of its body is written. A retry must be written well before the
// window ends.
func TestRetryDeadlineCountsFromTheFirstSend(t *testing.T) {
	keyed := balancer.Class{Name: "keyed", Idempotency: balancer.IdempotencyKeyed, KeyWindow: time.Second,
		LatencyObjective: 10 * time.Second}
	s := balancer.Settings{CancelAllowed: true, Classes: []balancer.Class{keyed}}
	h := &sendRecorder{}
	b := balancer.New(0, s, h)
	b.EndpointList(0, balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{{ID: "a"}, {ID: "b"}}})
	b.Request(0, balancer.Request{ID: "r", Class: "keyed", Deadline: 20 * time.Second, Streamed: true})
	if at := b.RetryDeadline("r"); at != 0 {
		t.Errorf("retry deadline %v before an attempt may have run, want 0", at)
	}
	b.RequestWritten(700*ms, "r", 0)
	b.Outcome(800*ms, balancer.Outcome{ID: "r", Endpoint: h.sent[0], Result: balancer.Reset})
	if at := b.RetryDeadline("r"); at != 850*ms {
		t.Errorf("retry deadline %v, want 850ms", at)
	}
	if len(h.sent) != 2 {
		t.Fatalf("attempts went to %q, want 2 attempts", h.sent)
	}
	b.Outcome(860*ms, balancer.Outcome{ID: "r", Attempt: 1, Endpoint: h.sent[1], Result: balancer.NotSent})
	if len(h.sent) != 2 {
		t.Errorf("a retry was sent at the end of the window: attempts went to %q", h.sent)
	}
}

// sendRecorder is a Host that records the endpoint of each attempt.
type sendRecorder struct{ sent []string }

func (h *sendRecorder) Send(_, endpoint string, _ time.Duration)      { h.sent = append(h.sent, endpoint) }
func (h *sendRecorder) Cancel(string, int)                            {}
func (h *sendRecorder) Reject(string, balancer.Reason, time.Duration) {}
func (h *sendRecorder) Fail(string, balancer.Reason)                  {}
func (h *sendRecorder) Subscribe()                                    {}
func (h *sendRecorder) Timer(time.Duration)                           {}
func (h *sendRecorder) Log(balancer.LogEvent)                         {}
