package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

func TestTurnsFollowSpeed(t *testing.T) {
	h := newHarness(t, testSettings(), "fast", "slow")
	latency := map[string]time.Duration{"fast": 40 * ms, "slow": 60 * ms}
	h.serve(100, latency)
	share := h.serve(400, latency)
	if f, s := share["fast"], share["slow"]; f < s*5/4 || f > s*2 {
		t.Errorf("fast got %d turns and slow %d; between 1.25 and 2 times as many were due", f, s)
	}
}

func TestEqualEndpointsGetEqualTurns(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	share := h.serve(400, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	for ep, n := range share {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 400 turns", ep, n)
		}
	}
}

// Incident ha74963: machines of a third of the speed got half as many requests as fast ones, and
// collapsed: most of a latency was spent in the tiers below, which is the same behind all. There
// the charge is what the endpoint itself adds.
func TestLatencyOfTiersBelowDoesNotEqualizeTurns(t *testing.T) {
	for below, want := range map[int][2]float64{0: {1.2, 1.9}, 1: {2.2, 4.5}} {
		s := testSettings()
		s.TiersBelow = below
		h := newHarness(t, s, "fast1", "fast2", "slow1", "slow2")
		latency := map[string]time.Duration{"fast1": 100 * ms, "fast2": 100 * ms, "slow1": 150 * ms, "slow2": 150 * ms}
		h.serve(200, latency)
		share := map[string]float64{}
		for range 400 {
			id, ep := h.request("read")
			share[ep[:4]]++
			h.advance(latency[ep])
			h.finish(id, balancer.OK)
		}
		if got := share["fast"] / share["slow"]; got < want[0] || got > want[1] {
			t.Errorf("with %d tiers below, fast ones get %.2f times the calls of slow ones", below, got)
		}
	}
}

func TestSoonestTrialIsTakenWithNoneActive(t *testing.T) {
	h := newHarness(t, testSettings(), "only")
	id, _ := h.request("read")
	h.finish(id, balancer.ConnectFailed) // ejected, so that the retry finds none active
	if len(h.sentTo[id]) != 2 {
		t.Fatalf("actions %v", h.actions)
	}
	h.advance(30 * ms)
	h.finish(id, balancer.OK)
	if _, ep := h.request("read"); ep != "only" {
		t.Error("a trial that succeeded with none active did not readmit its endpoint")
	}
}

// A quiet instance sends to an endpoint every few seconds: the weight of its kind counts until
// there are samples.
func TestKindWeightStandsInForFewSamples(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s)
	l, latency := balancer.EndpointList{Complete: true}, map[string]time.Duration{}
	for i := range 20 {
		e := balancer.Endpoint{ID: "f" + strconv.Itoa(i), Kind: "fast"}
		latency[e.ID] = 40 * ms
		if i%2 == 1 {
			e.ID, e.Kind = "s"+strconv.Itoa(i), "slow"
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
		t.Errorf("slow machines got %d of 60 turns after three samples each", slow)
	}
}

func TestOneFastEndpointDoesNotEjectTheOthers(t *testing.T) {
	h := newHarness(t, testSettings(), "lucky", "b", "c", "d", "e", "f")
	latency := map[string]time.Duration{"lucky": 2 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms, "e": 50 * ms,
		"f": 50 * ms}
	h.serve(200, latency)
	others := 0
	for ep, n := range h.serve(600, latency) {
		if ep != "lucky" && n > 1 {
			others++
		}
	}
	if others < 2 {
		t.Errorf("only %d endpoints beside the lucky one are in use", others)
	}
}
