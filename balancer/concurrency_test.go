package balancer_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Incident h36c04c: a burst tipped the servers into collapse while instances with a few requests
// a second smoothed twenty latencies before any of them lowered its limit.
func TestQuietInstanceSoonSeesCongestion(t *testing.T) {
	s := testSettingsWithObjective(700 * ms)
	s.Instances = 10
	h := newHarness(t, s, "a", "b", "c", "d")
	due := map[string]time.Duration{}
	ask := func(latency time.Duration, n int) (out int) {
		for range n * 50 {
			if h.now%(125*ms) < 10*ms {
				if id, ep := h.request("read"); ep != "" {
					due[id] = h.now + latency
				}
			}
			h.advance(10 * ms)
			for _, id := range slices.Sorted(maps.Keys(due)) {
				if h.now >= due[id] {
					h.finish(id, balancer.OK)
					delete(due, id)
				}
			}
			out = max(out, len(due))
		}
		return out
	}
	ask(200*ms, 40)
	ask(1200*ms, 4) // two seconds of answers six times as slow
	if out := ask(1200*ms, 2); out > 6 {
		t.Errorf("%d calls of ten are out after two seconds of slow answers", out)
	}
}

// Incident i2b2df6 and many overloaded days: servers collapsed while the concurrency limit still
// grew.
func TestOverloadDoesNotCongestEndpoints(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(80*ms), "a", "b")
	h.overload(30*ms, 20*ms, 3*time.Second, "a", "b")
	if h.countActions("reject") > 0 {
		t.Fatal("rejected at a third of what the endpoints can do")
	}
	most, answered := h.overload(5*ms, 20*ms, 6*time.Second, "a", "b")
	if most > 5 {
		t.Errorf("an endpoint that does one call at a time had %d", most)
	}
	if answered < 540 {
		t.Errorf("%d calls answered of the 600 that could be", answered)
	}
	if h.countActions("reject") < 400 {
		t.Errorf("only %d rejected of twice the load", h.countActions("reject"))
	}
}

// Incidents i72d39d and i2623e0: instances of the first tier that each admit what the endpoints
// can take tip them into collapse in two seconds.
func TestInstancesOfTheFirstTierShareTheConcurrencyLimit(t *testing.T) {
	sends := func(balancers, tier int) int {
		s := testSettings()
		s.Instances, s.Tier = balancers, tier
		h := newHarness(t, s, "a", "b", "c", "d", "e", "f", "g", "h")
		for range 100 {
			h.request("read")
		}
		return h.countActions("send")
	}
	alone, four, below := sends(1, 0), sends(4, 0), sends(4, 1)
	if four > alone/2 || four < alone/4 { // its part, and what chance needs beyond it
		t.Errorf("alone an instance sends %d requests at once, beside three others %d", alone, four)
	}
	if below != alone {
		t.Errorf("behind the first tier an instance sends %d requests at once, alone %d", below, alone)
	}
}

// At the start of the standard days the first responses are those of the smallest requests. With
// these as the baseline every later response looked slow, and requests were rejected with
// capacity to spare.
func TestQuickFirstResponsesAreNotTheBaseline(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	due := map[string]time.Duration{}
	seen, n, begun := 0, 0, h.now
	for ; h.now < begun+6*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(due)) {
			if h.now >= due[id] {
				delete(due, id)
				h.finish(id, balancer.OK)
			}
		}
		for asked := 0; len(due)+asked < 22; asked++ {
			if _, ep := h.request("read"); ep == "" && h.now > begun+3*time.Second {
				t.Fatalf("no capacity for request %d after %v", h.requestCount, h.now-begun)
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

// A lower tier that slows down must not leave a quiet instance with hardly any limit.
func TestFewSlowResponsesDoNotShrinkTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	h.serve(60, map[string]time.Duration{"a": 300 * ms, "b": 300 * ms})
	for range 9 {
		if _, ep := h.request("read"); ep == "" {
			t.Fatal("a request found no capacity beside fewer than nine")
		}
	}
}

// Incident i2b2df6: the limit still grew while latencies were one and a half times the baseline.
func TestConcurrencyLimitStopsGrowingWhileResponsesSlowDown(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(200*ms), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	due, most, seen := map[string]time.Duration{}, 0, len(h.actions)
	for begun := h.now; h.now < begun+4*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(due)) {
			if h.now >= due[id] {
				delete(due, id)
				h.finish(id, balancer.OK)
			}
		}
		h.request("read")
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				due[f[1]] = h.now + 77*ms
			}
		}
		most = max(most, len(due))
	}
	if most < 8 || most > 24 {
		t.Errorf("%d requests in flight at most; the first limit is twelve", most)
	}
}

// Seen on the standard days and at the start of recorded ones: the load of an ordinary day
// raises latencies to nearly twice the baseline. That is no congestion, and nothing must be
// rejected for it.
func TestOrdinaryLoadIsNoCongestion(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	calm := 100 * ms
	h.serve(100, map[string]time.Duration{"a": calm, "b": calm, "c": calm, "d": calm})
	for range 30 {
		var out []string
		for range 20 { // of a limit of 24
			id, _ := h.request("read")
			out = append(out, id)
		}
		h.advance(calm * 9 / 5)
		for _, id := range out {
			if len(h.sentTo[id]) > 0 {
				h.finish(id, balancer.OK)
			}
		}
	}
	if n := h.countActions("reject"); n > 0 {
		t.Errorf("%d of 600 requests were rejected", n)
	}
}

// Seen on a day of upgrades during a release: of four endpoints two drained and one failed; the
// last one got all requests and collapsed under them.
func TestConcurrencyLimitFollowsTheReadyEndpoints(t *testing.T) {
	list := func(h *harness, states ...balancer.State) {
		l := balancer.EndpointList{}
		for i, s := range states {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: fmt.Sprint("e", i), State: s})
		}
		h.b.EndpointList(h.now, l)
	}
	const ready, drains = balancer.Ready, balancer.Draining
	start := func() *harness { return newHarness(t, testSettings(), "e0", "e1", "e2", "e3") }
	all := start().measureCapacity()
	h := start()
	list(h, ready, drains, drains, ready)
	if n := h.measureCapacity(); n < all/2-1 || n > all/2+1 {
		t.Errorf("with two of four draining %d calls fit, and %d before", n, all)
	}
	h = start()
	list(h, drains, drains, drains, drains)
	list(h, ready, ready, ready, ready)
	if n := h.measureCapacity(); n != all {
		t.Errorf("after all drained and came back %d calls fit, and %d before", n, all)
	}
	h = start()
	h.b.Disable(h.now, "e1")
	h.b.Disable(h.now, "e2")
	if n := h.measureCapacity(); n < all/2-1 || n > all/2+1 {
		t.Errorf("with two of four taken out by hand %d calls fit, and %d before", n, all)
	}

	h = start()
	for failed := 0; failed < 4; { // one answers errors: it is ejected, with its part of the limit
		id, ep := h.request("read")
		h.advance(10 * ms)
		if ep == "e2" {
			failed++
			h.finish(id, balancer.Errored)
			h.advance(10 * ms)
		}
		h.finish(id, balancer.OK)
	}
	if n := h.measureCapacity(); n < all*3/4-2 || n > all*3/4+2 {
		t.Errorf("with one of four failing %d calls fit, and %d before", n, all)
	}
	if err := h.b.CheckIndex(); err != nil {
		t.Error(err)
	}
	h.advance(time.Second)
}

// Seen on a day of upgrades with endpoints disabled: attempts that hung at two overloaded
// endpoints used the whole limit, and a third, which responded at once, stood idle while
// requests were rejected.
func TestHungAttemptsLeaveAHealthyEndpointItsPart(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(40*ms), "a", "b", "c")
	h.serve(100, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms, "c": 400 * ms})
	trial, ep := h.request("read")
	for ep != "c" { // which was ejected as slow, and gets its trial
		h.advance(10 * ms)
		h.finish(trial, balancer.OK)
		h.advance(10 * ms)
		trial, ep = h.request("read")
	}
	for ep != "" { // meanwhile a and b get all that the limit allows, and do not respond
		_, ep = h.request("read")
	}
	h.advance(5 * ms)
	h.finish(trial, balancer.OK)
	for i := range 3 {
		if _, ep := h.request("read"); ep != "c" {
			t.Fatalf("call %d goes to %q", i+1, ep)
		}
	}
}

// A thirteenth of the limit for sixteen endpoints is seven attempts. An instance with a mean of
// five has more than that in flight at times by chance alone, when the others have less: its
// limit allows for that, and not where it has the whole limit to itself.
func TestConcurrencyLimitAllowsForChanceAtOneOfManyInstances(t *testing.T) {
	for _, of := range []struct{ instances, endpoints, fits, over int }{{13, 16, 12, 16}, {1, 2, 12, 13}} {
		h := newHarnessOfInstance(t, of.instances, of.endpoints)
		for range of.over {
			h.request("read")
		}
		if n := h.countActions("send "); n < of.fits || n >= of.over {
			t.Errorf("%d instances of %d endpoints: one has %d requests in flight, want %d and fewer than %d",
				of.instances, of.endpoints, n, of.fits, of.over)
		}
	}
}

// Seen on a day with long bodies: clients that read or sent slowly used up the limit, and half
// of the other requests were rejected with endpoints idle.
func TestSlowClientsDoNotUseTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(40, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
	for range 50 { // responses that are being read
		id, _ := h.request("read")
		if len(h.sentTo[id]) == 0 {
			t.Fatalf("%s is not sent", id)
		}
		h.advance(10 * ms)
		h.b.StreamStarted(h.now, id, 0)
	}
	for range 50 { // bodies that are being sent
		if id := h.requestStreamed("bill"); len(h.sentTo[id]) == 0 {
			t.Fatalf("%s is not sent", id)
		}
	}
	h.advance(10 * time.Second)
	if id, _ := h.request("read"); len(h.sentTo[id]) == 0 {
		t.Error("with nothing but slow clients, a request is not sent")
	}
	for _, s := range h.b.EndpointStatuses(h.now) {
		if s.Inactive != "" || s.InFlight < 40 {
			t.Errorf("%+v: inactive, or without its part of them", s)
		}
	}
}
