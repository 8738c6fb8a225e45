package balancer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// Settings that no site has, such as negative ones, must leave every request with one final answer.
func TestUnusualSettingsAreHarmless(t *testing.T) {
	for name, s := range map[string]balancer.Settings{
		"zero values": {},
		"negative numbers and empty names": {Instances: -1, MaxAttempts: -1, Classes: []balancer.Class{{}},
			Tenants: []balancer.Tenant{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, s, "a", "b")
			for range 20 {
				h.request("")
				h.request("unlisted")
				h.advance(10 * ms)
			}
			h.advance(6 * time.Second)
			for i := 1; i <= h.requestCount; i++ {
				id := "r" + strconv.Itoa(i)
				if answers := h.finalAnswers(id); len(answers) != 1 {
					t.Errorf("%s has the answers %q", id, answers)
				}
			}
		})
	}
}

// When the host has to end, requests that would wait for longer get their answer by then: a
// rejection if nothing can have run, else a failure. Attempts in flight are canceled. Requests with
// an earlier deadline are left alone.
func TestCapDeadlinesEndsWaits(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(20*time.Second), "a")
	idempotent, _ := h.request("read")
	nonIdempotent, _ := h.request("bill")
	var queued []string
	for range 8 {
		if id, at := h.request("bill"); at == "" {
			queued = append(queued, id)
		}
	}
	if len(queued) == 0 {
		t.Fatal("nothing waits for capacity")
	}
	h.b.CapDeadlines(h.now, h.now+10*time.Second) // all of them have 5 s
	at := h.now + time.Second
	h.b.CapDeadlines(h.now, at)
	h.advance(at - 2*ms - h.now)
	if n := h.countActions("reject") + h.countActions("fail"); n != 0 {
		t.Fatalf("%d requests were given up early: %q", n, h.actions)
	}
	h.advance(2 * ms)
	for _, want := range append([]string{"reject " + idempotent, "cancel " + idempotent + " 0", "fail " + nonIdempotent,
		"cancel " + nonIdempotent + " 0"}, withPrefix("reject ", queued)...) {
		if !slices.Contains(h.actions, want) {
			t.Errorf("no %q in %q", want, h.actions)
		}
	}
}

func withPrefix(prefix string, all []string) []string {
	prefixed := slices.Clone(all)
	for i := range prefixed {
		prefixed[i] = prefix + prefixed[i]
	}
	return prefixed
}

// The latency of a streamed request is measured from the last byte of its body, which may take
// seconds to send.
func TestLatencyBeginsWithTheLastByteWritten(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(40, evenLatency(10*ms, "a", "b"))
	maxWeight := func() (most float64) {
		for _, s := range h.b.EndpointStatuses(h.now) {
			most = max(most, s.Weight)
		}
		return most
	}
	before := maxWeight()
	for range 10 {
		id := h.requestStreamed("bill")
		h.advance(3 * time.Second)
		h.b.RequestWritten(h.now, id, 0)
		h.sentAt[id] = h.now
		h.advance(10 * ms)
		h.finish(id, balancer.OK)
	}
	if after := maxWeight(); after > 1.5*before {
		t.Errorf("weights rise from %v to %v", before, after)
	}
	id := h.requestStreamed("bill")
	h.b.RequestWritten(h.now, id, 0)
	h.advance(4 * time.Second)
	for _, s := range h.b.EndpointStatuses(h.now) {
		if s.ID == h.sentTo[id][0] && s.Inactive == "" {
			t.Errorf("an endpoint that does not respond to a request with its body is active: %+v", s)
		}
	}
	h.b.RequestWritten(h.now, "unknown", 0) // an unknown request has no effect
	h.b.RequestWritten(h.now, id, 7)
}
