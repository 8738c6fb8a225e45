package balancer_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Whatever the lists say, a disabled endpoint gets no new attempt: no first one, no trial and no
// retry.
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
			h.b.Disable(h.now, "a") // once more changes nothing
			for _, l := range lists {
				h.advance(10 * ms)
				h.b.EndpointList(h.now, l)
			}
			for i := range 20 {
				id, _ := h.request("read")
				h.advance(10 * ms)
				if i%4 == 0 { // b fails: the retry and b's trial come later
					h.finish(id, balancer.Reset)
					h.advance(3 * time.Second)
				}
				h.finish(id, balancer.OK)
				if slices.Contains(h.sentTo[id], "a") {
					t.Fatalf("%s went to a disabled endpoint", id)
				}
				if err := h.b.CheckEndpointSet(); err != nil {
					t.Fatal(err)
				}
			}
			if listed, unselectable := h.b.Counts(); listed != 2 || unselectable < 1 {
				t.Errorf("%d listed, %d of them not selectable", listed, unselectable)
			}
			h.actions = nil
			h.b.Enable(h.now, "a")
			h.request("read") // or a queued one is sent there
			if !slices.ContainsFunc(h.actions, func(action string) bool { return strings.HasSuffix(action, " a") }) {
				t.Errorf("enabled again, it gets no request at once: %v", h.actions)
			}
		})
	}
}

// A quiet instance must not delay the trial of an endpoint that is enabled again for a minute, and
// must not overload the endpoint, which may have restarted.
func TestEnabledEndpointHasItsTrialAtOnceAndWarmsUp(t *testing.T) {
	s := testSettings()
	s.Instances = 8
	h := newHarness(t, s, "a", "b", "c", "d")
	quiet := evenLatency(10*ms, "a", "b", "c", "d")
	for range 30 {
		h.serve(1, quiet)
		h.advance(2 * time.Second)
	}
	h.b.Disable(h.now, "a")
	h.advance(20 * time.Second)
	h.b.Enable(h.now, "a")
	first, ep := h.request("bill")
	if ep != "a" {
		t.Fatalf("the first request went to %s", ep)
	}
	h.advance(10 * ms)
	h.finish(first, balancer.OK)
	for range 10 { // all at once
		if _, ep := h.request("read"); ep == "a" {
			t.Error("a warming endpoint was sent a second request right after its first")
		}
	}
	for _, status := range h.b.EndpointStatuses(h.now) {
		if status.ID == "a" && status.CapacityShare > 0.5 {
			t.Errorf("it counts as warm: %+v", status)
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
		t.Errorf("a new request: sent to %q, %v", ep, h.actions)
	}
	h.finish(inFlight, balancer.OK) // attempts in flight go on
	if n := h.countActions("cancel"); n != 0 {
		t.Errorf("%d attempts canceled", n)
	}
	h.b.Enable(h.now, "a")
	if _, ep := h.request("read"); ep != "a" {
		t.Errorf("with one enabled again, a request goes to %q", ep)
	}

	empty := newHarness(t, testSettings()) // nothing listed is not all disabled: an endpoint may still come
	if id, _ := empty.request("read"); empty.countActions("reject "+id) != 0 {
		t.Error("rejected with none disabled")
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
		t.Errorf("subscribed %d times, want 2", n)
	}
}

// Restored errors must still count after the first response.
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
			t.Errorf("of two errors in four outcomes, %v are left after four responses", e.Errors)
		}
	}
}
