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
		t.Errorf("a slow endpoint got %d of 200 requests", n)
	}
	latency["d"] = 50 * ms
	h.serve(200, latency)
	if n := h.serve(200, latency)["d"]; n < 35 {
		t.Errorf("a recovered endpoint got %d of 200 requests", n)
	}
}

// A hung endpoint must not get requests until the first of them has timed out.
func TestHungEndpointIsEjectedWithinAFewLatencies(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "hung")
	latency := evenLatency(50*ms, "a", "b", "c", "hung")
	h.serve(100, latency)
	caught := 0
	start := h.now
	for range 200 {
		id, ep := h.request("read")
		if ep == "hung" {
			caught++
			h.advance(20 * ms)
			continue
		}
		h.advance(20 * ms)
		h.finish(id, balancer.OK)
	}
	if trials := int((h.now - start) / (500 * ms)); caught > 5+trials {
		t.Errorf("a hung endpoint got %d of 200 requests", caught)
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
				t.Fatalf("after a failed connection the request went to %v", h.sentTo[id])
			}
		}
		h.advance(20 * ms)
		h.finish(id, balancer.OK)
	}
	if len(attempts) < 4 || len(attempts) > 12 {
		t.Errorf("an unreachable endpoint got %d attempts in 20 s", len(attempts))
	}
	for i := 3; i < len(attempts); i++ { // the backoff grows up to its limit
		if wait := attempts[i] - attempts[i-1]; wait < 500*ms {
			t.Errorf("trial %d came after %v", i, wait)
		}
	}
}

// Trials must be fewer than an even share of the instance's requests.
func TestQuietInstancesDoNotOverloadAnEjectedEndpoint(t *testing.T) {
	names := []string{"slow"}
	latency := map[string]time.Duration{"slow": 900 * ms}
	for i := range 19 {
		names = append(names, "e"+strconv.Itoa(i))
		latency[names[i+1]] = 50 * ms
	}
	h := newHarness(t, testSettings(), names...)
	slow := 0
	for range 400 { // two requests a second, an even share is one to each every 10 s
		id, ep := h.request("read")
		if ep == "slow" {
			slow++
		}
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
		h.advance(500*ms - min(latency[ep], 400*ms))
	}
	if slow > 14 {
		t.Errorf("the slow endpoint got %d of 400 requests; an even share is 20", slow)
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
			t.Errorf("%s got %d of 80 requests that all failed in the tier below: %v", ep, counts[ep], counts)
		}
	}
}

// Incident i40577d: the quick errors of an endpoint in a middle tier must not be attributed to the
// tier below, nor make the endpoint look fast.
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
		t.Errorf("a failing endpoint got %d of 400 requests", toFailing)
	}
}

// An endpoint that does not respond is ejected before its attempts time out and before its weight
// has grown.
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
	h.advance(200 * ms) // past three times 50 ms; one sample of 3 would leave its weight within twice the smallest
	if counts := h.serve(6, evenLatency(50*ms, "a", "b", "c")); counts["d"] > 0 {
		t.Errorf("an unresponsive endpoint got %d requests", counts["d"])
	}
}

// A canceled attempt is no sample of its endpoint, neither a good one nor a bad one.
func TestCanceledAttemptIsNoSample(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	latency := evenLatency(50*ms, "a", "b")
	h.serve(100, latency)
	canceled := 0
	for range 40 { // requests to b alone are canceled, early
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
		t.Errorf("b got %d of 40 requests, which were canceled early: it must neither look fast nor be ejected", canceled)
	}
	if counts := h.serve(60, latency); counts["b"] < 20 {
		t.Errorf("requests after attempts were canceled: %v", counts)
	}
}

// Seen in runs in which one server failed quickly: its own errors were part of those that they were
// compared with, so that one of four had to fail six requests in a row before it was ejected.
func TestErrorsOfOneEndpointAreAttributedToIt(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "a", "b", "c", "d")
	latency := evenLatency(20*ms, "a", "b", "c", "d")
	h.serve(200, latency)
	failed := 0
	for i := range 100 {
		id, ep := h.request("bill")
		if i >= 40 && ep == "d" { // until then the latency of the class is learned
			failed++
			h.advance(ms)
			h.finish(id, balancer.Errored)
			continue
		}
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
	}
	if failed < 2 || failed > 4 {
		t.Errorf("d failed %d of 60 requests; an even share is fifteen", failed)
	}
}

// An instance that sends to an endpoint every few seconds cannot wait for three errors in
// fifteen outcomes. Where the others have none, the second error after eight good outcomes is
// attributed to the endpoint. Where all fail equally, no number of errors is.
func TestErrorsAreAttributedToAnEndpointByTheOdds(t *testing.T) {
	for _, c := range []struct {
		name        string
		fails       func(n int, ep string) bool
		least, most int // of 42 requests, that go to endpoint a
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
				if n < 48 || !c.fails(n, ep) { // the first 48 are the good outcomes of all
					h.finish(id, balancer.OK)
				} else {
					h.finish(id, balancer.Errored)
				}
				if n >= 48 && ep == "a" {
					toA++
				}
			}
			if toA < c.least || toA > c.most {
				t.Errorf("%d of 42 requests go to endpoint a, want %d to %d", toA, c.least, c.most)
			}
		})
	}
}

// In a class of quick and slow requests, a slow response after quick ones is no straggler.
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
					t.Fatalf("seed %d, request %d: %s is ejected as unresponsive after %v at %s", seed, n, s.ID, 42*ms, ep)
				}
			}
			h.finish(id, balancer.OK)
			h.advance(20 * ms)
		}
	}
}

// Of two endpoints, one fails: the other must serve all requests, whichever had the lower deficit
// before. Seeds, latencies and pauses vary: at times the failing one is the only one active.
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
		for class, most := range mode.lost {
			t.Run(mode.name+", "+class, func(t *testing.T) {
				for seed := range uint64(30) {
					lost := requestsLostToFailingEndpoint(t, seed, class, mode.result, mode.after)
					if lost > most {
						t.Errorf("seed %d: %d of 60 requests were lost, at most %d may be", seed, lost, most)
					}
				}
			})
		}
	}
}

// requestsLostToFailingEndpoint returns how many of 60 requests are not served where one of two
// endpoints ends every attempt with a result after a time.
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

// While all connections are refused, a request is answered at once after few attempts. The first
// endpoint that responds again is used.
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
			t.Fatalf("%s has no answer", id)
		}
		h.advance(30 * ms)
	}
	if sends := h.countActions("send"); sends > 100*5 {
		t.Errorf("100 requests brought %d attempts", sends)
	}
	id, ep := h.request("read")
	h.advance(ms)
	h.finish(id, balancer.OK)
	for range 5 {
		h.advance(30 * ms)
		id, again := h.request("read")
		if len(h.sentTo[id]) != 1 {
			t.Fatalf("after %s has responded, a request is not sent", ep)
		}
		h.advance(ms)
		if again == ep {
			h.finish(id, balancer.OK)
			continue
		}
		h.finish(id, balancer.ConnectFailed)
		if to := h.sentTo[id]; len(to) != 2 || to[1] != ep {
			t.Errorf("after a failed trial the request goes to %v, while %s responds", to, ep)
		} else {
			h.finish(id, balancer.OK)
		}
	}
}
