package balancer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// Settings that no site has, such as negative ones, must leave every request with one answer.
func TestUnusualSettingsAreHarmless(t *testing.T) {
	for _, s := range []balancer.Settings{{}, {Instances: -1, MaxAttempts: -1,
		Classes: []balancer.Class{{}}, Tenants: []balancer.Tenant{{}}}} {
		h := newHarness(t, s, "a", "b")
		for range 20 {
			h.request("")
			h.request("unlisted")
			h.advance(10 * ms)
		}
		h.advance(6 * time.Second)
		for i := 1; i <= h.requestCount; i++ {
			id := "r" + strconv.Itoa(i)
			answers := 0
			for _, d := range h.actions {
				if d == "reject "+id || d == "fail "+id {
					answers++
				}
			}
			if answers != 1 {
				t.Errorf("%s has %d answers", id, answers)
			}
		}
	}
}

// When the host has to end, what would wait for longer has its answer by then: rejected if
// nothing can have run, else failed. Attempts in flight are canceled, and what ends sooner by
// itself is left alone.
func TestCapDeadlinesEndsWaits(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(20*time.Second), "a")
	safe, _ := h.request("read")
	unsafe, _ := h.request("bill")
	var held []string
	for range 8 {
		if id, at := h.request("bill"); at == "" {
			held = append(held, id)
		}
	}
	if len(held) == 0 {
		t.Fatal("nothing waits for capacity")
	}
	h.b.CapDeadlines(h.now, h.now+10*time.Second) // all of them have 5 s
	at := h.now + time.Second
	h.b.CapDeadlines(h.now, at)
	h.advance(at - 2*ms - h.now)
	if n := h.countActions("reject") + h.countActions("fail"); n != 0 {
		t.Fatalf("%d were given up before it was time: %q", n, h.actions)
	}
	h.advance(2 * ms)
	for _, want := range append([]string{"reject " + safe, "cancel " + safe + " 0", "fail " + unsafe,
		"cancel " + unsafe + " 0"}, withPrefix("reject ", held)...) {
		if !slices.Contains(h.actions, want) {
			t.Errorf("no %q in %q", want, h.actions)
		}
	}
}

func withPrefix(prefix string, all []string) []string {
	out := slices.Clone(all)
	for i := range out {
		out[i] = prefix + out[i]
	}
	return out
}

// A body that takes seconds to send is no latency of its endpoint; what the endpoint takes from
// the last byte on is.
func TestLatencyBeginsWithTheLastByteWritten(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(40, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
	weigh := func() (most float64) {
		for _, s := range h.b.EndpointStatuses(h.now) {
			most = max(most, s.Weight)
		}
		return most
	}
	before := weigh()
	for range 10 {
		id := h.requestStreamed("bill")
		h.advance(3 * time.Second)
		h.b.RequestWritten(h.now, id, 0)
		h.sentAt[id] = h.now
		h.advance(10 * ms)
		h.finish(id, balancer.OK)
	}
	if after := weigh(); after > 1.5*before {
		t.Errorf("weights rise from %v to %v", before, after)
	}
	id := h.requestStreamed("bill")
	h.b.RequestWritten(h.now, id, 0)
	h.advance(4 * time.Second)
	for _, s := range h.b.EndpointStatuses(h.now) {
		if s.ID == h.sentTo[id][0] && s.Inactive == "" {
			t.Errorf("an endpoint that answers nothing to a body that is there passes for good: %+v", s)
		}
	}
	h.b.RequestWritten(h.now, "nobody", 0) // an unknown request has no effect
	h.b.RequestWritten(h.now, id, 7)
}
