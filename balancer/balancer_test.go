package balancer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// With settings that no deployment uses, such as negative numbers, each request must still get
// exactly one final answer.
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
					t.Errorf("request %s got the final answers %q, want exactly one", id, answers)
				}
			}
		})
	}
}

// CapDeadlines is used when the host has to stop at a given instant. Requests with a later deadline
// must be answered by that instant: with a rejection if a retry by the client is harmless,
// otherwise with a failure. Their attempts in flight must be canceled. Requests with an earlier
// deadline must not be affected.
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
		t.Fatal("no request is queued for capacity")
	}
	h.b.CapDeadlines(h.now, h.now+10*time.Second) // no effect: all deadlines are in 5 s
	at := h.now + time.Second
	h.b.CapDeadlines(h.now, at)
	h.advance(at - 2*ms - h.now)
	if n := h.countActions("reject") + h.countActions("fail"); n != 0 {
		t.Fatalf("%d requests were answered before the limit: %q", n, h.actions)
	}
	h.advance(2 * ms)
	for _, want := range append([]string{"reject " + idempotent, "cancel " + idempotent + " 0", "fail " + nonIdempotent,
		"cancel " + nonIdempotent + " 0"}, withPrefix("reject ", queued)...) {
		if !slices.Contains(h.actions, want) {
			t.Errorf("action %q is missing in %q", want, h.actions)
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

// The latency of a streamed request is measured from the last byte of its body. If it included the
// seconds that sending the body can take, the endpoint's weight would rise.
func TestLatencyBeginsWithTheLastByteWritten(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	h.serve(40, evenLatency(10*ms, "a", "b"))
	maxWeight := func() (highest float64) {
		for _, s := range h.b.EndpointStatuses(h.now) {
			highest = max(highest, s.Weight)
		}
		return highest
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
		t.Errorf("the highest weight rose from %v to %v, want at most 1.5 times as much", before, after)
	}
	id := h.requestStreamed("bill")
	h.b.RequestWritten(h.now, id, 0)
	h.advance(4 * time.Second)
	for _, s := range h.b.EndpointStatuses(h.now) {
		if s.ID == h.sentTo[id][0] && s.Inactive == "" {
			t.Errorf("the endpoint got the whole body and did not respond for 4 s, but is still active: %+v", s)
		}
	}
	h.b.RequestWritten(h.now, "unknown", 0) // unknown requests and attempts have no effect
	h.b.RequestWritten(h.now, id, 7)
}
