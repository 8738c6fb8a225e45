package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Incident h36c04c: a burst made the endpoints collapse. Instances with a few requests per second
// smoothed latencies over twenty responses, so that none of them lowered its limit in time.
func TestLowTrafficInstanceSoonDetectsCongestion(t *testing.T) {
	s := testSettingsWithObjective(700 * ms)
	s.Instances = 10
	h := newHarness(t, s, "a", "b", "c", "d")
	due := map[string]time.Duration{}
	// run sends requests for n half seconds and returns the largest number in flight.
	run := func(latency time.Duration, n int) (mostInFlight int) {
		for range n * 50 {
			if h.now%(125*ms) < 10*ms {
				if id, ep := h.request("read"); ep != "" {
					due[id] = h.now + latency
				}
			}
			h.advance(10 * ms)
			h.finishDue(due)
			mostInFlight = max(mostInFlight, len(due))
		}
		return mostInFlight
	}
	run(200*ms, 40)
	run(1200*ms, 4) // two seconds of responses six times as slow
	if n := run(1200*ms, 2); n > 6 {
		t.Errorf("%d requests in flight after two seconds of slow responses, want at most 6 of ten", n)
	}
}

// Incident i2b2df6 and many overloads: endpoints collapsed while the concurrency limit was still
// growing.
func TestOverloadDoesNotCongestEndpoints(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(80*ms), "a", "b")
	h.overload(30*ms, 20*ms, 3*time.Second, "a", "b")
	if h.countActions("reject") > 0 {
		t.Fatal("a request was rejected at a third of the load that the endpoints can serve")
	}
	most, answered := h.overload(5*ms, 20*ms, 6*time.Second, "a", "b")
	if most > 5 {
		t.Errorf("an endpoint that serves one request at a time had %d in flight, want at most 5", most)
	}
	if answered < 540 {
		t.Errorf("%d requests were answered, want at least 540 of the 600 that the endpoints can serve", answered)
	}
	if h.countActions("reject") < 400 {
		t.Errorf("%d requests were rejected at twice the load, want at least 400", h.countActions("reject"))
	}
}

// Incidents i72d39d and i2623e0: when each instance of the first tier admitted as many requests as
// all endpoints can take, the endpoints collapsed in two seconds.
func TestInstancesOfTheFirstTierShareTheConcurrencyLimit(t *testing.T) {
	sends := func(instances, tier int) int {
		s := testSettings()
		s.Instances = instances
		s.Tier = tier
		h := newHarness(t, s, "a", "b", "c", "d", "e", "f", "g", "h")
		for range 100 {
			h.request("read")
		}
		return h.countActions("send")
	}
	alone := sends(1, 0)
	four := sends(4, 0)
	below := sends(4, 1)
	if four > alone/2 || four < alone/4 { // its share, plus the allowance for random variation
		t.Errorf("a single instance sent %d requests at once, one of four instances %d", alone, four)
	}
	if below != alone {
		t.Errorf("an instance behind the first tier sent %d requests at once, a single instance %d", below, alone)
	}
}

// At the start of the standard runs, the first responses come from the smallest requests. When
// these became the baseline, every later response looked slow, and requests were rejected while
// capacity was left.
func TestQuickFirstResponsesAreNotTheBaseline(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	due := map[string]time.Duration{}
	seen, n := 0, 0
	startedAt := h.now
	for ; h.now < startedAt+6*time.Second; h.advance(ms) {
		h.finishDue(due)
		for made := 0; len(due)+made < 22; made++ {
			if _, ep := h.request("read"); ep == "" && h.now > startedAt+3*time.Second {
				t.Fatalf("request %d, made %v after the start, found no capacity", h.requestCount, h.now-startedAt)
			}
		}
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				n++
				due[f[1]] = h.now + []time.Duration{20, 50, 90, 150, 250, 400}[n%6]*ms
			}
		}
	}
}

// When a tier below slows down, the limit of a low-traffic instance must not become too small.
func TestFewSlowResponsesDoNotShrinkTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(60, evenLatency(50*ms, "a", "b"))
	h.serve(60, evenLatency(300*ms, "a", "b"))
	for range 9 {
		if _, ep := h.request("read"); ep == "" {
			t.Fatal("a request was not sent while fewer than nine were in flight")
		}
	}
}

// Incident i2b2df6: the limit was still growing while latencies were one and a half times the
// baseline.
func TestConcurrencyLimitStopsGrowingWhileResponsesSlowDown(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(200*ms), "a", "b")
	h.serve(60, evenLatency(50*ms, "a", "b"))
	due := map[string]time.Duration{}
	most, seen := 0, len(h.actions)
	for startedAt := h.now; h.now < startedAt+4*time.Second; h.advance(ms) {
		h.finishDue(due)
		h.request("read")
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				due[f[1]] = h.now + 77*ms
			}
		}
		most = max(most, len(due))
	}
	if most < 8 || most > 24 {
		t.Errorf("the most requests in flight were %d, want 8 to 24; the initial limit is twelve", most)
	}
}

// In the standard runs and at the start of recorded ones, normal load raises latencies to nearly
// twice the baseline. That is not congestion, and no request may be rejected for it.
func TestNormalLoadIsNotTakenForCongestion(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	baseline := 100 * ms
	h.serve(100, evenLatency(baseline, "a", "b", "c", "d"))
	for range 30 {
		var ids []string
		for range 20 { // of a limit of 24
			id, _ := h.request("read")
			ids = append(ids, id)
		}
		h.advance(baseline * 9 / 5)
		for _, id := range ids {
			if len(h.sentTo[id]) > 0 {
				h.finish(id, balancer.OK)
			}
		}
	}
	if n := h.countActions("reject"); n > 0 {
		t.Errorf("%d of 600 requests were rejected, want none", n)
	}
}

// During upgrades and a release, two of four endpoints were draining and one was failing. The last
// one got all requests and collapsed.
func TestConcurrencyLimitScalesWithTheReadyEndpoints(t *testing.T) {
	list := func(h *harness, states ...balancer.State) {
		l := balancer.EndpointList{}
		for i, s := range states {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: fmt.Sprint("e", i), State: s})
		}
		h.b.EndpointList(h.now, l)
	}
	const ready, draining = balancer.Ready, balancer.Draining
	start := func() *harness { return newHarness(t, testSettings(), "e0", "e1", "e2", "e3") }
	all := start().measureCapacity()
	for _, c := range []struct {
		name        string
		change      func(h *harness)
		least, most int
	}{
		{"two of four draining", func(h *harness) {
			list(h, ready, draining, draining, ready)
		}, all/2 - 1, all/2 + 1},
		{"all drained and ready again", func(h *harness) {
			list(h, draining, draining, draining, draining)
			list(h, ready, ready, ready, ready)
		}, all, all},
		{"two of four disabled", func(h *harness) {
			h.b.Disable(h.now, "e1")
			h.b.Disable(h.now, "e2")
		}, all/2 - 1, all/2 + 1},
		{"one of four failing", failRequestsOfE2, all*3/4 - 2, all*3/4 + 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start()
			c.change(h)
			if n := h.measureCapacity(); n < c.least || n > c.most {
				t.Errorf("capacity for %d requests (%d before), want %d to %d", n, all, c.least, c.most)
			}
			if err := h.b.CheckEndpointSet(); err != nil {
				t.Error(err)
			}
			h.advance(time.Second)
		})
	}
}

// failRequestsOfE2 answers four requests at endpoint e2 with errors, so that it is ejected.
func failRequestsOfE2(h *harness) {
	for failed := 0; failed < 4; {
		id, ep := h.request("read")
		h.advance(10 * ms)
		if ep == "e2" {
			failed++
			h.finish(id, balancer.Errored)
			h.advance(10 * ms)
		}
		h.finish(id, balancer.OK)
	}
}

// During upgrades with endpoints disabled, attempts that hung at two overloaded endpoints used up
// the limit. A third endpoint, which responded at once, was idle while requests were rejected.
func TestHungAttemptsLeaveAHealthyEndpointItsShare(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(40*ms), "a", "b", "c")
	h.serve(100, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms, "c": 400 * ms})
	trial, ep := h.request("read")
	for ep != "c" { // it was ejected as slow and gets a trial
		h.advance(10 * ms)
		h.finish(trial, balancer.OK)
		h.advance(10 * ms)
		trial, ep = h.request("read")
	}
	for ep != "" { // a and b get as many requests as the limit allows, and do not respond
		_, ep = h.request("read")
	}
	h.advance(5 * ms)
	h.finish(trial, balancer.OK)
	for i := range 3 {
		if _, ep := h.request("read"); ep != "c" {
			t.Fatalf("request %d was sent to %q, want c", i+1, ep)
		}
	}
}

// A thirteenth of the limit for sixteen endpoints is seven attempts. An instance with a mean of
// five in flight sometimes exceeds seven by chance alone, while others have fewer. The limit of one
// of many instances allows for that, but not the limit of a single instance.
func TestConcurrencyLimitAllowsForRandomVariationAtOneOfManyInstances(t *testing.T) {
	for _, c := range []struct {
		name                                 string
		instances, endpoints, least, tooMany int
	}{
		{"one of 13 instances", 13, 16, 12, 16},
		{"the only instance", 1, 2, 12, 13},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessOfInstance(t, c.instances, c.endpoints)
			for range c.tooMany {
				h.request("read")
			}
			if n := h.countActions("send "); n < c.least || n >= c.tooMany {
				t.Errorf("%d requests in flight, want at least %d and fewer than %d", n, c.least, c.tooMany)
			}
		})
	}
}

// With long bodies, clients that read or sent slowly used up the limit, and half of the other
// requests were rejected while endpoints were idle.
func TestSlowClientsDoNotUseTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(40, evenLatency(10*ms, "a", "b"))
	for range 50 { // responses that are being read
		id, _ := h.request("read")
		if len(h.sentTo[id]) == 0 {
			t.Fatalf("%s was not sent while clients were reading responses", id)
		}
		h.advance(10 * ms)
		h.b.StreamStarted(h.now, id, 0)
	}
	for range 50 { // bodies that are being sent
		if id := h.requestStreamed("bill"); len(h.sentTo[id]) == 0 {
			t.Fatalf("%s was not sent while clients were sending bodies", id)
		}
	}
	h.advance(10 * time.Second)
	if id, _ := h.request("read"); len(h.sentTo[id]) == 0 {
		t.Error("a request was not sent although only slow clients had requests in flight")
	}
	for _, s := range h.b.EndpointStatuses(h.now) {
		if s.Inactive != "" || s.InFlight < 40 {
			t.Errorf("%+v: want an active endpoint with at least 40 requests in flight", s)
		}
	}
}
