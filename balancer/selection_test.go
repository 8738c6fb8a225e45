package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

func TestFasterEndpointsGetMoreRequests(t *testing.T) {
	h := newHarness(t, testSettings(), "fast", "slow")
	latency := map[string]time.Duration{"fast": 40 * ms, "slow": 60 * ms}
	h.serve(100, latency)
	counts := h.serve(400, latency)
	if f, s := counts["fast"], counts["slow"]; f < s*5/4 || f > s*2 {
		t.Errorf("fast got %d requests and slow %d, want 1.25 to 2 times as many for fast", f, s)
	}
}

func TestEqualEndpointsGetEqualNumbersOfRequests(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	counts := h.serve(400, evenLatency(50*ms, "a", "b", "c", "d"))
	for ep, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 400 requests, want 90 to 110", ep, n)
		}
	}
}

// Incident ha74963: endpoints with a third of the speed got half as many requests as fast ones and
// collapsed. Most of each latency came from the tiers below and was the same for all endpoints.
// With tiers below, an endpoint is charged only for the latency that it adds itself.
func TestLatencyOfTiersBelowDoesNotEqualizeRequests(t *testing.T) {
	for _, c := range []struct {
		name        string
		tiersBelow  int
		least, most float64 // requests to fast endpoints, as a multiple of those to slow ones
	}{
		{"no tier below", 0, 1.2, 1.9},
		{"one tier below", 1, 2.2, 4.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.TiersBelow = c.tiersBelow
			h := newHarness(t, s, "fast1", "fast2", "slow1", "slow2")
			latency := map[string]time.Duration{"fast1": 100 * ms, "fast2": 100 * ms, "slow1": 150 * ms, "slow2": 150 * ms}
			h.serve(200, latency)
			counts := map[string]float64{}
			for range 400 {
				id, ep := h.request("read")
				counts[ep[:4]]++
				h.advance(latency[ep])
				h.finish(id, balancer.OK)
			}
			if got := counts["fast"] / counts["slow"]; got < c.least || got > c.most {
				t.Errorf("fast endpoints got %.2f times the requests of slow ones, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestSoonestTrialIsSelectedWithoutActiveEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), "only")
	id, _ := h.request("read")
	h.finish(id, balancer.ConnectFailed) // ejected, so that no endpoint is active for the retry
	if len(h.sentTo[id]) != 2 {
		t.Fatalf("the request was not retried at the inactive endpoint: actions %v", h.actions)
	}
	h.advance(30 * ms)
	h.finish(id, balancer.OK)
	if _, ep := h.request("read"); ep != "only" {
		t.Error("a successful trial did not make the only endpoint active")
	}
}

// A low-traffic instance sends to each endpoint only every few seconds. Until it has enough samples
// of an endpoint, it uses the weight of the endpoint's kind.
func TestKindWeightIsUsedWhileSamplesAreFew(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s)
	l := balancer.EndpointList{Complete: true}
	latency := map[string]time.Duration{}
	for i := range 20 {
		e := balancer.Endpoint{ID: "f" + strconv.Itoa(i), Kind: "fast"}
		latency[e.ID] = 40 * ms
		if i%2 == 1 {
			e.ID = "s" + strconv.Itoa(i)
			e.Kind = "slow"
			latency[e.ID] = 70 * ms
		}
		l.Entries = append(l.Entries, e)
	}
	h.b.EndpointList(h.now, l)
	h.serve(60, latency)
	slow := 0
	for ep, n := range h.serve(60, latency) {
		if ep[0] == 's' {
			slow += n
		}
	}
	if slow > 20 {
		t.Errorf("slow endpoints got %d of 60 requests after three samples each, want at most 20", slow)
	}
}

func TestVeryFastEndpointDoesNotGetAllOthersEjected(t *testing.T) {
	h := newHarness(t, testSettings(), "fastest", "b", "c", "d", "e", "f")
	latency := map[string]time.Duration{"fastest": 2 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms, "e": 50 * ms,
		"f": 50 * ms}
	h.serve(200, latency)
	others := 0
	for ep, n := range h.serve(600, latency) {
		if ep != "fastest" && n > 1 {
			others++
		}
	}
	if others < 2 {
		t.Errorf("%d endpoints besides the fastest one got more than one request, want at least 2", others)
	}
}
