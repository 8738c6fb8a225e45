package balancer_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// A disabled endpoint gets no new attempts, neither first ones nor retries nor trials, regardless
// of its state in the endpoint lists.
func TestDisabledEndpointGetsNothingWhateverTheListSays(t *testing.T) {
	ready := func(id string) balancer.Endpoint { return balancer.Endpoint{ID: id} }
	for name, lists := range map[string][]balancer.EndpointList{
		"no list":         nil,
		"a complete list": {{Complete: true, Entries: []balancer.Endpoint{ready("a"), ready("b")}}},
		"a restart":       {{Entries: []balancer.Endpoint{{ID: "a", Started: 101 * time.Second}}}},
		"draining, then ready": {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}},
			{Entries: []balancer.Endpoint{ready("a")}}},
		"removed, then ready": {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Removed}}},
			{Entries: []balancer.Endpoint{ready("a")}}},
		"a failed poll": {{Failed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), "a", "b")
			h.serve(20, evenLatency(10*ms, "a", "b"))
			h.b.Disable(h.now, "a")
			h.b.Disable(h.now, "a") // repeating it has no effect
			for _, l := range lists {
				h.advance(10 * ms)
				h.b.EndpointList(h.now, l)
			}
			for i := range 20 {
				id, _ := h.request("read")
				h.advance(10 * ms)
				if i%4 == 0 { // b fails; the retry and b's trial follow
					h.finish(id, balancer.Reset)
					h.advance(3 * time.Second)
				}
				h.finish(id, balancer.OK)
				if slices.Contains(h.sentTo[id], "a") {
					t.Fatalf("request %s was sent to the disabled endpoint", id)
				}
				if err := h.b.CheckEndpointSet(); err != nil {
					t.Fatal(err)
				}
			}
			if listed, unselectable := h.b.Counts(); listed != 2 || unselectable < 1 {
				t.Errorf("%d endpoints listed and %d unselectable, want 2 and at least 1", listed, unselectable)
			}
			h.actions = nil
			h.b.Enable(h.now, "a")
			h.request("read") // this request or a queued one is sent to endpoint a
			if !slices.ContainsFunc(h.actions, func(action string) bool { return strings.HasSuffix(action, " a") }) {
				t.Errorf("the endpoint gets no request at once after it is enabled: %v", h.actions)
			}
		})
	}
}

// A low-traffic instance must not delay the trial of an endpoint for a minute after the endpoint is
// enabled again. It must not overload the endpoint either, which may have restarted.
func TestEnabledEndpointHasItsTrialAtOnceAndWarmsUp(t *testing.T) {
	s := testSettings()
	s.Instances = 8
	h := newHarness(t, s, "a", "b", "c", "d")
	latencies := evenLatency(10*ms, "a", "b", "c", "d")
	for range 30 {
		h.serve(1, latencies)
		h.advance(2 * time.Second)
	}
	h.b.Disable(h.now, "a")
	h.advance(20 * time.Second)
	h.b.Enable(h.now, "a")
	first, ep := h.request("bill")
	if ep != "a" {
		t.Fatalf("the first request was sent to %q, want endpoint a", ep)
	}
	h.advance(10 * ms)
	h.finish(first, balancer.OK)
	for range 10 { // at the same instant
		if _, ep := h.request("read"); ep == "a" {
			t.Error("the warming endpoint got a second request right after its first")
		}
	}
	for _, status := range h.b.EndpointStatuses(h.now) {
		if status.ID == "a" && status.CapacityShare > 0.5 {
			t.Errorf("the enabled endpoint skips slow start: %+v", status)
		}
	}
}

func TestRequestsAreRejectedAtOnceWithAllDisabled(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	inFlight, _ := h.request("read")
	h.b.Disable(h.now, "a")
	h.b.Disable(h.now, "b")
	rejected, ep := h.request("bill")
	if ep != "" || h.countActions("reject "+rejected) != 1 {
		t.Errorf("a new request was sent to %q, want a rejection: %v", ep, h.actions)
	}
	h.finish(inFlight, balancer.OK) // attempts in flight are not canceled
	if n := h.countActions("cancel"); n != 0 {
		t.Errorf("%d attempts in flight were canceled", n)
	}
	h.b.Enable(h.now, "a")
	if _, ep := h.request("read"); ep != "a" {
		t.Errorf("after endpoint a was enabled, a request was sent to %q, want endpoint a", ep)
	}

	empty := newHarness(t, testSettings()) // with an empty list, requests wait: an endpoint may be listed in time
	if id, _ := empty.request("read"); empty.countActions("reject "+id) != 0 {
		t.Error("a request was rejected at once with an empty endpoint list, want it queued")
	}
}

func TestSubscribeIsCalledAgainAfterAFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired = true
	s.PollInterval = 10 * time.Second
	h := newHarness(t, s, "a")
	h.b.EndpointList(h.now, balancer.EndpointList{Failed: true})
	h.advance(5 * time.Second)
	if n := h.countActions("subscribe"); n != 2 {
		t.Errorf("Subscribe was called %d times, want 2", n)
	}
}

// Errors restored from learned state must not be dropped by the first responses.
func TestRestoreOfErrors(t *testing.T) {
	h := newHarnessOfInstance(t, 1, 2)
	h.b.Restore(h.now, balancer.LearnedState{Endpoints: []balancer.LearnedEndpoint{{ID: "e00", Sum: 4, Samples: 4,
		Errors: 2, Outcomes: 4, Active: true}}}, 0)
	for range 4 {
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balancer.OK)
	}
	for _, e := range h.b.LearnedState(h.now).Endpoints {
		if e.ID == "e00" && e.Errors < 1 {
			t.Errorf("%v of two errors in four restored outcomes are left after four responses, want at least 1", e.Errors)
		}
	}
}
