package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rowancart/balancer"
)

// newHarnessWithClass returns a harness with an ample retry budget in which change was applied to
// the class "read". Its Balancer has learned a latency of 10 ms from 60 responses.
func newHarnessWithClass(t *testing.T, change func(c *balancer.Class)) *harness {
	t.Helper()
	s := testSettings()
	s.RetryBudget = balancer.RetryBudget{PerRequest: 1, Burst: 100}
	change(&s.Classes[0])
	h := newHarness(t, s, "a", "b", "c")
	for range 60 {
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finishAll(id)
	}
	h.actions = nil
	return h
}

func TestClassLimitsAttemptsAndQueue(t *testing.T) {
	t.Run("NeverRerun", func(t *testing.T) {
		h := newHarnessWithClass(t, func(c *balancer.Class) { c.NeverRerun = true })
		mayHaveRun, _ := h.request("read")
		h.finish(mayHaveRun, balancer.Reset)
		if to := h.sentTo[mayHaveRun]; len(to) != 1 || h.countActions("reject "+mayHaveRun) != 1 {
			t.Errorf("after an attempt that may have run: sent to %v, want no retry; actions %v", to, h.actions)
		}
		notRun, _ := h.request("read")
		h.finish(notRun, balancer.ConnectFailed)
		if to := h.sentTo[notRun]; len(to) != 2 {
			t.Errorf("after an attempt that did not run: sent to %v, want one retry; actions %v", to, h.actions)
		}
	})
	t.Run("MaxAttempts", func(t *testing.T) {
		h := newHarnessWithClass(t, func(c *balancer.Class) { c.MaxAttempts = 2 })
		id, _ := h.request("read")
		h.finish(id, balancer.Reset)
		h.finish(id, balancer.Reset)
		if n := len(h.sentTo[id]); n != 2 || h.countActions("reject "+id) != 1 {
			t.Errorf("%d attempts, want 2 and then a rejection; actions %v", n, h.actions)
		}
	})
	for limit, want := range map[int]int{-1: 20, 3: 17} {
		t.Run(fmt.Sprint("QueueLimit ", limit), func(t *testing.T) {
			s := testSettings()
			s.Classes[0].QueueLimit = limit
			h := newHarness(t, s, "a")
			for range 26 { // the initial concurrency limit is 6
				h.request("read")
			}
			if n := h.countActions("reject"); n != want {
				t.Errorf("%d of the 20 requests beyond the limit were rejected at once, want %d", n, want)
			}
		})
	}
}

// timeoutHarness is a harness that also records the timeouts of attempts.
type timeoutHarness struct {
	harness
	timeouts []time.Duration
}

func (h *timeoutHarness) Send(id, ep string, timeout time.Duration) {
	h.timeouts = append(h.timeouts, timeout)
	h.harness.Send(id, ep, timeout)
}

func TestAttemptTimeout(t *testing.T) {
	h := &timeoutHarness{harness: harness{t: t, now: time.Hour, sentTo: map[string][]string{},
		sentAt: map[string]time.Duration{}}}
	s := testSettings()
	s.Classes[0].AttemptTimeout = time.Second
	h.b = balancer.New(h.now, s, h)
	h.b.EndpointList(h.now, balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{{ID: "a"}, {ID: "b"}}})
	h.request("read")
	h.request("bill")
	h.b.Request(h.now, balancer.Request{ID: "short", Class: "read", Deadline: h.now + 300*ms})
	if want := []time.Duration{time.Second, 5 * time.Second, 300 * ms}; !slices.Equal(h.timeouts, want) {
		t.Errorf("timeouts %v, want %v", h.timeouts, want)
	}
}

// Configure keeps the learned state. A request in flight keeps the class that it arrived with, and
// requests that arrive later get the new one.
func TestConfigureKeepsLearnedStateAndRequestsInFlight(t *testing.T) {
	h := newHarnessWithClass(t, func(*balancer.Class) {})
	h.serve(60, map[string]time.Duration{"a": 60 * ms, "b": 10 * ms, "c": 10 * ms})
	h.b.Configure(h.now, testSettings())
	if counts := h.serve(12, evenLatency(ms, "a", "b", "c")); counts["a"] > 1 { // a trial may be due
		t.Errorf("the slow endpoint got %d of the 12 requests after Configure, want at most 1", counts["a"])
	}
	before, _ := h.request("read")
	s := testSettings()
	s.Classes[0].Idempotency = balancer.NonIdempotent
	h.b.Configure(h.now, s)
	after, _ := h.request("read")
	h.finish(before, balancer.Reset)
	h.finish(after, balancer.Reset)
	if len(h.sentTo[before]) != 2 || len(h.sentTo[after]) != 1 || h.countActions("fail "+after) != 1 {
		t.Errorf("arrived as idempotent: sent to %v, want a retry; as non-idempotent: %v, want none",
			h.sentTo[before], h.sentTo[after])
	}
	h.finish(before, balancer.OK)
	s.Classes = []balancer.Class{{Name: "other", Work: "read", Idempotency: balancer.Idempotent,
		LatencyObjective: 2 * time.Second}}
	h.b.Configure(h.now, s)
	if id, to := h.request("other"); to == "" {
		t.Errorf("%s, of a class that Configure added, was not sent", id)
	}
	if id, _ := h.request("bill"); h.countActions("send "+id) != 1 { // its class is not in the settings
		t.Errorf("a request of an unknown class: want 1 attempt; actions %v", h.actions)
	}
}

// policyRequest is the state of a request in a policyTest.
type policyRequest struct {
	class       string
	maxAttempts int    // of its class when it arrived
	runs        int    // attempts that may have run
	finished    []bool // by attempt number
}

// policyTest reports random events to a Balancer while the policies of its classes change at
// random.
type policyTest struct {
	*rapid.T
	h        *harness
	settings balancer.Settings
	requests map[string]*policyRequest
	ids      []string // of the requests, in order of arrival
}

// drawSettings returns settings with random policies.
func drawSettings(t *rapid.T) balancer.Settings {
	s := testSettings()
	for i := range s.Classes {
		c := &s.Classes[i]
		c.HedgeAfter = time.Duration(rapid.IntRange(0, 20).Draw(t, "hedge after")) * ms
		c.HedgeQuantile = rapid.SampledFrom([]float64{0, 0.5, 0.99}).Draw(t, "hedge quantile")
		c.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "max attempts")
		c.QueueLimit = rapid.IntRange(-1, 3).Draw(t, "queue limit")
	}
	return s
}

// step does one random thing: it makes a request, waits, changes the settings or ends attempts.
func (p *policyTest) step() {
	switch rapid.IntRange(0, 5).Draw(p.T, "step") {
	case 0, 1:
		c := p.settings.Classes[rapid.IntRange(0, 1).Draw(p.T, "class")]
		id, _ := p.h.request(c.Name)
		p.requests[id] = &policyRequest{class: c.Name, maxAttempts: c.MaxAttempts}
		p.ids = append(p.ids, id)
	case 2:
		p.h.advance(time.Duration(rapid.IntRange(1, 40).Draw(p.T, "wait")) * ms)
	case 3:
		p.settings = drawSettings(p.T)
		p.h.b.Configure(p.h.now, p.settings)
	default:
		if len(p.ids) > 0 {
			p.finishAttempts(rapid.SampledFrom(p.ids).Draw(p.T, "id"))
		}
	}
}

// finishAttempts ends some of the attempts in flight of a request, with random results.
func (p *policyTest) finishAttempts(id string) {
	req := p.requests[id]
	for n, ep := range p.h.sentTo[id] {
		if n < len(req.finished) && req.finished[n] || rapid.Bool().Draw(p.T, "stays in flight") {
			continue
		}
		for len(req.finished) <= n {
			req.finished = append(req.finished, false)
		}
		req.finished[n] = true
		result := rapid.SampledFrom([]balancer.Result{balancer.OK, balancer.Errored, balancer.Rejected,
			balancer.TimedOut, balancer.ConnectFailed, balancer.Reset, balancer.NotSent}).Draw(p.T, "result")
		if mayHaveRun(result) {
			req.runs++
		}
		p.h.b.Outcome(p.h.now, balancer.Outcome{ID: id, Attempt: n, Endpoint: ep, Result: result, Latency: ms,
			Final: result == balancer.OK})
	}
}

// check fails the test if a request has more runs, attempts or final answers than allowed.
func (p *policyTest) check() {
	for id, req := range p.requests {
		sentTo := p.h.sentTo[id]
		if req.class == "bill" && (req.runs > 1 || req.runs == 1 && len(req.finished) < len(sentTo)) {
			p.Fatalf("non-idempotent %s: %d attempts may have run, sent to %v, want at most one and no attempt after it",
				id, req.runs, sentTo)
		}
		if len(sentTo) > req.maxAttempts {
			p.Fatalf("%s: %d attempts, want at most %d", id, len(sentTo), req.maxAttempts)
		}
		if answers := p.h.finalAnswers(id); len(answers) > 1 {
			p.Fatalf("%s: more than one final answer: %v", id, answers)
		}
	}
}

// Whatever the policies, the outcomes and the changes of settings: a non-idempotent request runs at
// most once, no request has more attempts than its limit, and none gets more than one final answer.
func TestRulesHoldUnderEveryClassPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSettings(t)
		p := &policyTest{T: t, h: newHarness(nil, s, "a", "b", "c"), settings: s,
			requests: map[string]*policyRequest{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p.step()
			p.check()
		}
	})
}
