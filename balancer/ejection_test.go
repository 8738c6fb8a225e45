package balancer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

func TestSlowEndpointIsEjectedAndRecovers(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "d")
	latency := evenLatency(50*ms, "a", "b", "c", "d")
	h.serve(100, latency)
	latency["d"] = 400 * ms
	h.serve(60, latency)
	if n := h.serve(200, latency)["d"]; n > 10 {
		t.Errorf("the slow endpoint got %d of 200 requests, want at most 10", n)
	}
	latency["d"] = 50 * ms
	h.serve(200, latency)
	if n := h.serve(200, latency)["d"]; n < 35 {
		t.Errorf("the recovered endpoint got %d of 200 requests, want at least 35", n)
	}
}

// A hung endpoint must be ejected long before the first request to it times out.
func TestHungEndpointIsEjectedWithinAFewLatencies(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "hung")
	latency := evenLatency(50*ms, "a", "b", "c", "hung")
	h.serve(100, latency)
	toHung := 0
	start := h.now
	for range 200 {
		id, ep := h.request("read")
		if ep == "hung" {
			toHung++
			h.advance(20 * ms)
			continue
		}
		h.advance(20 * ms)
		h.finish(id, balancer.OK)
	}
	if trials := int((h.now - start) / (500 * ms)); toHung > 5+trials {
		t.Errorf("the hung endpoint got %d of 200 requests, want at most 5 plus one trial every 500 ms", toHung)
	}
}

func TestFailedConnectionEjectsUntilATrial(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "down")
	h.serve(100, evenLatency(50*ms, "a", "b", "c", "down"))
	var attempts []time.Duration
	start := h.now
	for h.now < start+20*time.Second {
		id, ep := h.request("read")
		if ep == "down" {
			attempts = append(attempts, h.now)
			h.finish(id, balancer.ConnectFailed)
			if n := len(h.sentTo[id]); n != 2 || h.sentTo[id][1] == "down" {
				t.Fatalf("after a failed connection the attempts went to %v, want one retry at another endpoint", h.sentTo[id])
			}
		}
		h.advance(20 * ms)
		h.finish(id, balancer.OK)
	}
	if len(attempts) < 4 || len(attempts) > 12 {
		t.Errorf("the unreachable endpoint got %d attempts in 20 s, want 4 to 12", len(attempts))
	}
	for i := 3; i < len(attempts); i++ { // the backoff grows up to its limit
		if wait := attempts[i] - attempts[i-1]; wait < 500*ms {
			t.Errorf("trial %d came after %v, want at least 500ms", i, wait)
		}
	}
}

// A low-traffic instance must send an ejected endpoint fewer trials than an equal share of its
// requests.
func TestQuietInstancesDoNotOverloadAnEjectedEndpoint(t *testing.T) {
	names := []string{"slow"}
	latency := map[string]time.Duration{"slow": 900 * ms}
	for i := range 19 {
		names = append(names, "e"+strconv.Itoa(i))
		latency[names[i+1]] = 50 * ms
	}
	h := newHarness(t, testSettings(), names...)
	slow := 0
	for range 400 { // at two requests a second, an equal share is one request every 10 s
		id, ep := h.request("read")
		if ep == "slow" {
			slow++
		}
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
		h.advance(500*ms - min(latency[ep], 400*ms))
	}
	if slow > 14 {
		t.Errorf("the slow endpoint got %d of 400 requests, want at most 14; an equal share is 20", slow)
	}
}

func TestErrorsOfAllAreAttributedToTheTierBelow(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	s.MaxAttempts = 1
	h := newHarness(t, s, "a", "b", "c", "d")
	h.serve(100, evenLatency(50*ms, "a", "b", "c", "d"))
	counts := map[string]int{}
	for range 80 { // every request ends in an error
		id, ep := h.request("read")
		counts[ep]++
		h.advance(50 * ms)
		h.finish(id, balancer.Errored)
	}
	for _, ep := range []string{"a", "b", "c", "d"} {
		if counts[ep] < 14 {
			t.Errorf("%s got %d of 80 requests that all failed in the tier below, want at least 14: %v", ep, counts[ep], counts)
		}
	}
}

// Incident i40577d: an endpoint of a middle tier answered quickly with errors. These must not be
// attributed to the tier below, nor make the endpoint look fast.
func TestFastFailingEndpointAttractsNoRequests(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	s.MaxAttempts = 1
	names := []string{"failing"}
	for i := range 7 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	h := newHarness(t, s, names...)
	toFailing := 0
	for range 400 {
		id, ep := h.request("read")
		if ep == "failing" {
			toFailing++
			h.advance(2 * ms)
			h.finish(id, balancer.Errored)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balancer.OK)
	}
	if toFailing > 30 {
		t.Errorf("the failing endpoint got %d of 400 requests, want at most 30", toFailing)
	}
}

// An endpoint that does not respond must be ejected when its first attempt straggles: before any
// attempt times out, and before its weight alone would eject it.
func TestUnresponsiveEndpointIsEjectedAtItsFirstStraggler(t *testing.T) {
	h := newHarness(t, testSettingsWithObjective(600*ms), "a", "b", "c", "d")
	h.serve(200, evenLatency(50*ms, "a", "b", "c", "d"))
	for ep := ""; ep != "d"; {
		var id string
		if id, ep = h.request("bill"); ep != "d" {
			h.advance(50 * ms)
			h.finish(id, balancer.OK)
		}
	}
	h.advance(200 * ms) // beyond 3 times 50 ms; a single sample of 3 leaves its weight within twice the smallest
	if counts := h.serve(6, evenLatency(50*ms, "a", "b", "c")); counts["d"] > 0 {
		t.Errorf("the unresponsive endpoint got %d of 6 requests, want none", counts["d"])
	}
}

// A canceled attempt must count neither for nor against its endpoint.
func TestCanceledAttemptIsNoSample(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	latency := evenLatency(50*ms, "a", "b")
	h.serve(100, latency)
	canceled := 0
	for range 40 { // only the requests to b are canceled, after 1 ms
		id, ep := h.request("read")
		if ep == "b" {
			h.advance(ms)
			h.b.ClientDisconnected(h.now, id)
			h.finish(id, balancer.Canceled)
			canceled++
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balancer.OK)
	}
	if canceled == 0 || canceled > 24 {
		t.Errorf("b got %d of 40 requests, want 1 to 24: canceled attempts must not make it look fast or slow", canceled)
	}
	if counts := h.serve(60, latency); counts["b"] < 20 {
		t.Errorf("requests by endpoint after the cancellations: %v, want at least 20 to b", counts)
	}
}

// An endpoint's errors must be compared with those of the other endpoints only. When its own
// errors were included, one of four endpoints that failed fast had to fail six requests in a row
// before it was ejected.
func TestErrorsOfOneEndpointAreAttributedToIt(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "a", "b", "c", "d")
	latency := evenLatency(20*ms, "a", "b", "c", "d")
	h.serve(200, latency)
	failed := 0
	for i := range 100 {
		id, ep := h.request("bill")
		if i >= 40 && ep == "d" { // the latency of the class is learned from the first 40 requests
			failed++
			h.advance(ms)
			h.finish(id, balancer.Errored)
			continue
		}
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
	}
	if failed < 2 || failed > 4 {
		t.Errorf("d failed %d of 60 requests, want 2 to 4; an equal share is 15", failed)
	}
}

// An instance that sends to an endpoint only every few seconds cannot wait for three errors in
// fifteen outcomes. If the other endpoints have no errors, the second error after eight successes
// must be attributed to the endpoint. If all endpoints fail equally often, errors must never be
// attributed to one of them.
func TestErrorsAreAttributedToAnEndpointByLikelihoodRatio(t *testing.T) {
	for _, c := range []struct {
		name           string
		fails          func(n int, ep string) bool
		minToA, maxToA int // bounds of how many of 42 requests go to endpoint a
	}{
		{"one endpoint fails", func(_ int, ep string) bool { return ep == "a" }, 0, 4},
		{"a third of all requests fails in the tier below", func(n int, _ string) bool { return n%3 == 0 }, 4, 42},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.TiersBelow = 2
			s.MaxAttempts = 1
			h := newHarness(t, s, "a", "b", "c", "d", "e", "f")
			toA := 0
			for n := range 90 {
				id, ep := h.request("read")
				h.advance(200 * ms)
				if n < 48 || !c.fails(n, ep) { // the first 48 requests succeed, at all endpoints
					h.finish(id, balancer.OK)
				} else {
					h.finish(id, balancer.Errored)
				}
				if n >= 48 && ep == "a" {
					toA++
				}
			}
			if toA < c.minToA || toA > c.maxToA {
				t.Errorf("%d of 42 requests went to endpoint a, want %d to %d", toA, c.minToA, c.maxToA)
			}
		})
	}
}

// In a class that mixes fast and slow requests, a slow response after fast ones must not make its
// endpoint look unresponsive.
func TestSlowResponseAmongQuickOnesIsNotUnresponsive(t *testing.T) {
	for seed := range uint64(20) {
		h := newSeededHarness(t, testSettings(), seed, "a", "b")
		for n := range 200 {
			id, ep := h.request("read")
			if n%10 < 9 {
				h.advance(ms)
			} else {
				h.advance(42 * ms)
			}
			for _, s := range h.b.EndpointStatuses(h.now) {
				if s.Inactive == balancer.InactiveUnresponsive {
					t.Fatalf("seed %d, request %d: %s was ejected as unresponsive after %v at %s", seed, n, s.ID, 42*ms, ep)
				}
			}
			h.finish(id, balancer.OK)
			h.advance(20 * ms)
		}
	}
}

// If one of two endpoints fails, the other must serve all requests, whichever had the lower deficit
// before. Seeds, latencies and the number of earlier requests vary, so that the failing endpoint is
// sometimes the only active one.
func TestOneFailingEndpointLosesNoRequests(t *testing.T) {
	for _, mode := range []struct {
		name   string
		result balancer.Result
		after  time.Duration
		lost   map[string]int // requests that each run may lose, by class
	}{
		{"refuses connections", balancer.ConnectFailed, ms / 10, map[string]int{"read": 0, "bill": 0}},
		{"does not accept connections", balancer.ConnectFailed, 250 * ms, map[string]int{"read": 0, "bill": 0}},
		{"rejects requests", balancer.Rejected, ms, map[string]int{"read": 0, "bill": 0}},
		{"resets after accept", balancer.Reset, ms, map[string]int{"read": 0}},
		{"fails fast", balancer.Errored, ms, map[string]int{"read": 0}},
	} {
		for class, maxLost := range mode.lost {
			t.Run(mode.name+", "+class, func(t *testing.T) {
				for seed := range uint64(30) {
					lost := requestsLostToFailingEndpoint(t, seed, class, mode.result, mode.after)
					if lost > maxLost {
						t.Errorf("seed %d: %d of 60 requests were lost, want at most %d", seed, lost, maxLost)
					}
				}
			})
		}
	}
}

// requestsLostToFailingEndpoint returns how many of 60 requests are not served when one of two
// endpoints ends every attempt with the given result after the given time.
func requestsLostToFailingEndpoint(t *testing.T, seed uint64, class string, result balancer.Result,
	after time.Duration) (lost int) {
	h := newSeededHarness(t, testSettings(), 7+seed, "a", "b")
	for n := range 6 + int(seed) {
		h.serve(1, map[string]time.Duration{"a": time.Duration(1+n%3) * ms, "b": time.Duration(1+(n+int(seed))%5) * ms})
		h.advance(30 * ms)
	}
	failing := []string{"a", "b"}[seed%2]
	for range 60 {
		id, ep := h.request(class)
		for n := 0; ep == failing; n++ {
			h.advance(after)
			h.finish(id, result)
			if ep = ""; len(h.sentTo[id]) > n+1 {
				ep = h.sentTo[id][n+1]
			}
		}
		if ep == "" {
			lost++
		} else {
			h.advance(2 * ms)
			h.finish(id, balancer.OK)
		}
		h.advance(30 * ms)
	}
	return lost
}

// While all endpoints refuse connections, a request must be answered at once, after few attempts.
// Once an endpoint responds again, it must be used.
func TestOutageOfAllEndpointsTakesFewAttempts(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 0
	h := newHarness(t, s, "a", "b", "c", "d", "e", "f")
	for range 100 {
		id, ep := h.request("read")
		for ep != "" {
			before := len(h.sentTo[id])
			h.finish(id, balancer.ConnectFailed)
			if ep = ""; len(h.sentTo[id]) > before {
				ep = h.sentTo[id][before]
			}
		}
		if !slices.Contains(h.actions, "reject "+id) {
			t.Fatalf("%s was not rejected", id)
		}
		h.advance(30 * ms)
	}
	if sends := h.countActions("send"); sends > 100*5 {
		t.Errorf("100 requests took %d attempts, want at most 500", sends)
	}
	id, ep := h.request("read")
	h.advance(ms)
	h.finish(id, balancer.OK)
	for range 5 {
		h.advance(30 * ms)
		id, next := h.request("read")
		if len(h.sentTo[id]) != 1 {
			t.Fatalf("after %s has responded, a request was not sent exactly once", ep)
		}
		h.advance(ms)
		if next == ep {
			h.finish(id, balancer.OK)
			continue
		}
		h.finish(id, balancer.ConnectFailed)
		if to := h.sentTo[id]; len(to) != 2 || to[1] != ep {
			t.Errorf("after a failed trial the attempts went to %v, want the retry at %s, which responds", to, ep)
		} else {
			h.finish(id, balancer.OK)
		}
	}
}
