package balancer_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// Incident i35432f: under overload, endpoints collapsed within two seconds, before an instance with
// few attempts in flight had used up its concurrency limit. A request rate above the sum of all
// quotas can be detected at once. From then on, requests over quota are rejected.
func TestOverQuotaIsRejectedWhenTheRateExceedsAllQuotas(t *testing.T) {
	for _, c := range []struct {
		name       string
		perSecond  int
		isRejected bool
	}{
		{"within all quotas", 4, false},
		{"beyond all quotas", 16, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Instances = 10
			// The sum of the quotas is 8 requests per second for one of ten instances.
			s.Tenants = []balancer.Tenant{{Name: "over", Quota: 20}, {Name: "idle", Quota: 60}}
			h := newHarness(t, s, "a", "b", "c")
			for range 10 * c.perSecond {
				id := h.requestFor("read", "over")
				if len(h.sentTo[id]) > 0 {
					h.advance(10 * ms)
					h.finish(id, balancer.OK)
				}
				h.advance(time.Second/time.Duration(c.perSecond) - 10*ms)
			}
			if n := h.countActions("reject "); n > 0 != c.isRejected {
				t.Errorf("%d of %d requests were rejected at %d requests per second", n, 10*c.perSecond, c.perSecond)
			}
		})
	}
}

func TestOverQuotaIsRejectedOnlyWhenCapacityIsShort(t *testing.T) {
	s := testSettings()
	s.Tenants = []balancer.Tenant{{Name: "big", Quota: 10}, {Name: "small", Quota: 1000}}
	h := newHarness(t, s, "a", "b")
	for range 9 {
		h.requestFor("read", "big")
	}
	if h.countActions("reject") > 0 {
		t.Fatal("a request was rejected while capacity was left")
	}
	h.requestFor("read", "small")
	h.requestFor("read", "big")
	for range 20 {
		h.requestFor("read", "big")
		h.requestFor("read", "small")
	}
	rejected := map[string]bool{}
	for _, d := range h.actions {
		if id, ok := strings.CutPrefix(d, "reject "); ok {
			rejected[id] = true
		}
	}
	if len(rejected) == 0 {
		t.Fatal("no request was rejected although tenant big was over its quota")
	}
	for i := 12; i <= h.requestCount; i++ {
		if small := i%2 == 1; small && rejected["r"+strconv.Itoa(i)] {
			t.Errorf("r%d was rejected although its tenant was within its quota", i)
		}
	}
}

// The small tenant sends as many requests as its quota allows, and by chance sometimes more than
// one instance's share of the quota. While latencies are unchanged, ten attempts in flight at one
// of thirteen instances do not mean that capacity is short, and no request is rejected. Requests
// are rejected once latencies rise.
func TestOverQuotaIsAcceptedWhileResponsesAreQuick(t *testing.T) {
	s := testSettings()
	s.Instances = 13
	s.Tenants = []balancer.Tenant{{Name: "large", Quota: 400}, {Name: "small", Quota: 25}}
	ids := endpointIDs(16)
	for latency, fewest := range map[time.Duration]int{time.Second: 0, 4 * time.Second: 10} {
		h := newHarness(t, s, ids...)
		due := map[string]time.Duration{}
		run := func(latency time.Duration, steps int) {
			for range steps {
				tenant := "large"
				if h.requestCount%4 == 0 {
					tenant = "small"
				}
				if id := h.requestFor("read", tenant); len(h.sentTo[id]) > 0 {
					due[id] = h.now + latency
				}
				h.advance(100 * ms)
				h.finishDue(due)
			}
		}
		run(time.Second, 100)
		before := h.countActions("reject")
		run(latency, 100)
		if n := h.countActions("reject") - before; n < fewest || fewest == 0 && n > 0 {
			t.Errorf("latency %v: %d of 100 requests were rejected", latency, n)
		}
	}
}

// Under overload, the class with the shortest latency objective must not be the only one rejected.
func TestNoClassStarvesInTheQueue(t *testing.T) {
	s := testSettings()
	s.Classes[0].LatencyObjective = 500 * ms
	s.Classes[1].LatencyObjective = 4 * time.Second
	h := newHarness(t, s, "a")
	served := map[string]int{}
	class := map[string]string{}
	var finished []string
	for i := range 1500 { // a hundred requests per second, one response every 40 ms
		id, _ := h.request([]string{"read", "bill"}[i%2])
		class[id] = []string{"read", "bill"}[i%2]
		h.advance(10 * ms)
		if i%4 == 0 {
			for j := 1; j <= h.requestCount; j++ {
				if id := "r" + strconv.Itoa(j); len(h.sentTo[id]) == 1 && !slices.Contains(finished, id) &&
					!slices.Contains(h.actions, "reject "+id) &&
					!slices.Contains(h.actions, "fail "+id) {
					finished = append(finished, id)
					h.finish(id, balancer.OK)
					served[class[id]]++
					break
				}
			}
		}
	}
	if served["read"] < served["bill"]/3 {
		t.Errorf("requests served by class: %v, want at least a third as many of read as of bill", served)
	}
}

func TestRequestWithoutEndpointsWaitsAndIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request("bill")
	h.advance(100 * ms)
	if len(h.actions) > 0 {
		t.Fatalf("the request did not wait: actions %v", h.actions)
	}
	h.advance(5 * time.Second)
	if !slices.Equal(h.actions, []string{"reject " + id}) {
		t.Errorf("actions %v, want one rejection and nothing else", h.actions)
	}
	id, _ = h.request("bill")
	h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new"}}})
	if len(h.sentTo[id]) != 1 {
		t.Error("a queued request was not sent to the first endpoint that was listed")
	}
}

// While other requests wait, a request that cannot be answered in time is rejected, instead of
// being sent only to miss its deadline.
func TestRequestWithTooLittleTimeIsRejectedWhileOthersWait(t *testing.T) {
	h := newHarness(t, testSettings(), "a")
	h.serve(100, map[string]time.Duration{"a": 200 * ms})
	for h.countActions("reject") == 0 {
		if _, ep := h.request("read"); ep == "" {
			break
		}
	}
	h.b.Request(h.now, balancer.Request{ID: "short", Class: "read", Deadline: h.now + 60*ms})
	if h.actions[len(h.actions)-1] != "reject short" {
		t.Errorf("last action %q, want the rejection of the short request", h.actions[len(h.actions)-1])
	}
}

// If the latency objective is long, a wait is better than a rejection.
func TestRequestWithLongObjectiveIsNotRejectedInAShortOverload(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(20*time.Second), "a", "b")
	h.overload(30*ms, 20*ms, 3*time.Second, "a", "b")
	h.overload(6*ms, 20*ms, 4*time.Second, "a", "b") // two thirds more than the two endpoints can serve
	if n := h.countActions("reject"); n > 0 {
		t.Errorf("%d requests were rejected, of which the last would have waited for 3 s of 20 s", n)
	}
}
