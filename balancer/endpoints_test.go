package balancer_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Whatever the list says meanwhile, nothing new goes to a disabled endpoint: no first attempt,
// no trial, no retry.
func TestDisabledEndpointGetsNothingWhateverTheListSays(t *testing.T) {
	ready := func(id string) balancer.Endpoint { return balancer.Endpoint{ID: id} }
	for name, told := range map[string][]balancer.EndpointList{
		"nothing":     nil,
		"a full list": {{Complete: true, Entries: []balancer.Endpoint{ready("a"), ready("b")}}},
		"a restart":   {{Entries: []balancer.Endpoint{{ID: "a", Started: 101 * time.Second}}}},
		"drained, then back": {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}},
			{Entries: []balancer.Endpoint{ready("a")}}},
		"removed, then back": {{Entries: []balancer.Endpoint{{ID: "a", State: balancer.Removed}}},
			{Entries: []balancer.Endpoint{ready("a")}}},
		"a failed ask": {{Failed: true}},
	} {
		h := newHarness(t, testSettings(), "a", "b")
		h.serve(20, evenLatency(10*ms, "a", "b"))
		h.b.Disable(h.now, "a")
		h.b.Disable(h.now, "a") // a repeat changes nothing
		for _, l := range told {
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
				t.Fatalf("%s: a banned endpoint was sent %s", name, id)
			}
			if err := h.b.CheckIndex(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		if listed, avoided := h.b.Counts(); listed != 2 || avoided < 1 {
			t.Errorf("%s: %d listed, %d avoided", name, listed, avoided)
		}
		h.actions = nil
		h.b.Enable(h.now, "a")
		h.request("read") // or a queued one is sent there
		if !slices.ContainsFunc(h.actions, func(did string) bool { return strings.HasSuffix(did, " a") }) {
			t.Errorf("%s: enabled again, it is not tried at once: %v", name, h.actions)
		}
	}
}

// A quiet instance must not wait a minute with the trial of an endpoint that is enabled again,
// and must not overload it: it may have restarted.
func TestEnabledEndpointIsTriedAtOnceAndWarmsUp(t *testing.T) {
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
		t.Fatalf("the first call went to %s", ep)
	}
	h.advance(10 * ms)
	h.finish(first, balancer.OK)
	for range 10 { // all at once
		if _, ep := h.request("read"); ep == "a" {
			t.Error("a warming endpoint was sent a second request right after its first")
		}
	}
	for _, standing := range h.b.EndpointStatuses(h.now) {
		if standing.ID == "a" && standing.CapacityShare > 0.5 {
			t.Errorf("it passes for warm: %+v", standing)
		}
	}
}

func TestRequestsAreRejectedAtOnceWithAllDisabled(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	out, _ := h.request("read")
	h.b.Disable(h.now, "a")
	h.b.Disable(h.now, "b")
	held, ep := h.request("bill")
	if ep != "" || h.countActions("reject "+held) != 1 {
		t.Errorf("a new request: sent to %q, %v", ep, h.actions)
	}
	h.finish(out, balancer.OK) // what is in flight goes on
	if n := h.countActions("cancel"); n != 0 {
		t.Errorf("%d attempts called off", n)
	}
	h.b.Enable(h.now, "a")
	if _, ep := h.request("read"); ep != "a" {
		t.Errorf("with one put back, a call goes to %q", ep)
	}

	empty := newHarness(t, testSettings()) // nothing listed is not all disabled: an endpoint may still come
	if id, _ := empty.request("read"); empty.countActions("reject "+id) != 0 {
		t.Error("rejected with none disabled")
	}
}

func TestSubscribeIsRepeatedAfterAFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.PollInterval = true, 10*time.Second
	h := newHarness(t, s, "a")
	h.b.EndpointList(h.now, balancer.EndpointList{Failed: true})
	h.advance(5 * time.Second)
	if n := h.countActions("subscribe"); n != 2 {
		t.Errorf("asked %d times", n)
	}
}

// Restored errors must count beyond the first response.
func TestRestoreTakesOverErrors(t *testing.T) {
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
			t.Errorf("of two errors in four, %v are left after a moment", e.Errors)
		}
	}
}
