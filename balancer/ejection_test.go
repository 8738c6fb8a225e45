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
		t.Errorf("a slow endpoint got %d of 200 calls", n)
	}
	latency["d"] = 50 * ms
	h.serve(200, latency)
	if n := h.serve(200, latency)["d"]; n < 35 {
		t.Errorf("a recovered endpoint got %d of 200 calls", n)
	}
}

// A hung endpoint must not keep its turns for a whole timeout.
func TestHungEndpointIsEjectedWithinAFewLatencies(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "hung")
	latency := evenLatency(50*ms, "a", "b", "c", "hung")
	h.serve(100, latency)
	caught, start := 0, h.now
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
		t.Errorf("a hung endpoint caught %d of 200 calls", caught)
	}
}

func TestFailedConnectEjectsUntilATrial(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c", "down")
	h.serve(100, evenLatency(50*ms, "a", "b", "c", "down"))
	tries, start := []time.Duration{}, h.now
	for h.now < start+20*time.Second {
		id, ep := h.request("read")
		if ep == "down" {
			tries = append(tries, h.now)
			h.finish(id, balancer.ConnectFailed)
			if n := len(h.sentTo[id]); n != 2 || h.sentTo[id][1] == "down" {
				t.Fatalf("after a failed connect the call went to %v", h.sentTo[id])
			}
		}
		h.advance(20 * ms)
		h.finish(id, balancer.OK)
	}
	if len(tries) < 4 || len(tries) > 12 {
		t.Errorf("a dead endpoint was tried %d times in 20 s", len(tries))
	}
	for i := 3; i < len(tries); i++ { // the backoff grows up to its limit
		if wait := tries[i] - tries[i-1]; wait < 500*ms {
			t.Errorf("trial %d came after %v", i, wait)
		}
	}
}

// Trials must stay below the instance's own even share.
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
		t.Errorf("the slow endpoint got %d of 400 calls; an even share is 20", slow)
	}
}

func TestErrorsOfAllAreAttributedToTheTierBelow(t *testing.T) {
	s := testSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	h := newHarness(t, s, "a", "b", "c", "d")
	h.serve(100, evenLatency(50*ms, "a", "b", "c", "d"))
	share := map[string]int{}
	for range 80 { // every call ends in an error
		id, ep := h.request("read")
		share[ep]++
		h.advance(50 * ms)
		h.finish(id, balancer.Errored)
	}
	for _, ep := range []string{"a", "b", "c", "d"} {
		if share[ep] < 14 {
			t.Errorf("%s got %d of 80 calls that all failed below: %v", ep, share[ep], share)
		}
	}
}

// Incident i40577d: the quick errors of an endpoint in a middle tier must not pass for faults of
// the tier below, nor for speed.
func TestFastFailingEndpointDrawsNoTraffic(t *testing.T) {
	s := testSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	names := []string{"broken"}
	for i := range 7 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	h := newHarness(t, s, names...)
	broken := 0
	for range 400 {
		id, ep := h.request("read")
		if ep == "broken" {
			broken++
			h.advance(2 * ms)
			h.finish(id, balancer.Errored)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balancer.OK)
	}
	if broken > 30 {
		t.Errorf("a broken endpoint got %d of 400 calls", broken)
	}
}

// A balancer that gets no response from an endpoint must not wait for a timeout, nor for its
// weight to grow.
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
	if share := h.serve(6, evenLatency(50*ms, "a", "b", "c")); share["d"] > 0 {
		t.Error("an unresponsive endpoint got a turn")
	}
}

// A canceled attempt says nothing of its endpoint, good or bad.
func TestCanceledAttemptIsNoSample(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	latency := evenLatency(50*ms, "a", "b")
	h.serve(100, latency)
	off := 0
	for range 40 { // requests to b alone are canceled, early
		id, ep := h.request("read")
		if ep == "b" {
			h.advance(ms)
			h.b.ClientDisconnected(h.now, id)
			h.finish(id, balancer.Canceled)
			off++
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balancer.OK)
	}
	if off == 0 || off > 24 {
		t.Errorf("b got %d of 40 turns; called off early, it must not pass for fast, nor lose its turns", off)
	}
	if share := h.serve(60, latency); share["b"] < 20 {
		t.Errorf("turns after attempts were canceled: %v", share)
	}
}

// Seen on days on which a server quickly failed its requests: its own errors were part of what
// they were compared with, so that one of four had to fail six in a row before it was ejected.
func TestErrorsOfOneEndpointAreAttributedToIt(t *testing.T) {
	s := testSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "a", "b", "c", "d")
	latency := evenLatency(20*ms, "a", "b", "c", "d")
	h.serve(200, latency)
	failed := 0
	for i := range 100 {
		id, ep := h.request("bill")
		if i >= 40 && ep == "d" { // until then the latency of bills is learned
			failed++
			h.advance(ms)
			h.finish(id, balancer.Errored)
			continue
		}
		h.advance(latency[ep])
		h.finish(id, balancer.OK)
	}
	if failed < 2 || failed > 4 {
		t.Errorf("d failed %d of 60 calls; fifteen are its turns", failed)
	}
}

// An instance that sends to an endpoint every few seconds cannot wait for three errors in
// fifteen outcomes. Where the others have none, the second error is the endpoint's own, after
// eight good outcomes; where all fail alike, no number of them is.
func TestErrorsAreAttributedToAnEndpointByTheOdds(t *testing.T) {
	for _, below := range []bool{false, true} {
		s := testSettings()
		s.TiersBelow, s.MaxAttempts = 2, 1
		names := []string{"a", "b", "c", "d", "e", "f"}
		h := newHarness(t, s, names...)
		errors, toBad := 0, 0
		for i := range 90 {
			id, ep := h.request("read")
			h.advance(200 * ms)
			switch {
			case i < 48, !below && ep != "a", below && i%3 > 0:
				h.finish(id, balancer.OK)
			default:
				errors++
				h.finish(id, balancer.Errored)
			}
			if i >= 48 && ep == "a" {
				toBad++
			}
		}
		if !below && errors > 4 {
			t.Errorf("an endpoint that fails all got %d of 42 calls", errors)
		}
		if below && toBad < 4 {
			t.Errorf("a third of all calls fails below, and one of six endpoints got %d of 42", toBad)
		}
	}
}

// In a class of quick and slow requests a slow response is no fault of its endpoint, and three
// quick ones do not make the next slow one a straggler.
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
					t.Fatalf("seed %d, call %d: %s passes for unresponsive after %v at %s", seed, n, s.ID, 42*ms, ep)
				}
			}
			h.finish(id, balancer.OK)
			h.advance(20 * ms)
		}
	}
}

// One of two endpoints that fails must cost next to nothing: the other serves all requests,
// whichever had the lower deficit before. Seeds, latencies and pauses vary, so that at times the
// failing one is the only one active.
func TestOneFailingEndpointLosesNoRequests(t *testing.T) {
	for _, way := range []struct {
		name   string
		result balancer.Result
		after  time.Duration
		lost   map[string]int // requests that each run may lose, by class
	}{
		{"rejects connections", balancer.ConnectFailed, ms / 10, map[string]int{"read": 0, "bill": 0}},
		{"takes no connections", balancer.ConnectFailed, 250 * ms, map[string]int{"read": 0, "bill": 0}},
		{"turns away", balancer.Rejected, ms, map[string]int{"read": 0, "bill": 0}},
		{"resets after accept", balancer.Reset, ms, map[string]int{"read": 0}},
		{"fails fast", balancer.Errored, ms, map[string]int{"read": 0}},
	} {
		for class, most := range way.lost {
			for seed := range uint64(30) {
				h := newSeededHarness(t, testSettings(), 7+seed, "a", "b")
				for n := range 6 + int(seed) {
					h.serve(1, map[string]time.Duration{"a": time.Duration(1+n%3) * ms, "b": time.Duration(1+(n+int(seed))%5) * ms})
					h.advance(30 * ms)
				}
				dead := []string{"a", "b"}[seed%2]
				lost := 0
				for range 60 {
					id, ep := h.request(class)
					for tries := 0; ep == dead; tries++ {
						h.advance(way.after)
						h.finish(id, way.result)
						if ep = ""; len(h.sentTo[id]) > tries+1 {
							ep = h.sentTo[id][tries+1]
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
				if lost > most {
					t.Errorf("%s, %s, seed %d: %d of 60 requests were lost, at most %d may be", way.name, class, seed, lost, most)
				}
			}
		}
	}
}

// With all connections refused, a request is answered at once after few attempts, and the first
// endpoint to be there again is used.
func TestOutageOfAllCostsFewAttemptsAndRecovers(t *testing.T) {
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
			t.Fatalf("after %s has answered, a request is not sent", ep)
		}
		h.advance(ms)
		if again == ep {
			h.finish(id, balancer.OK)
			continue
		}
		h.finish(id, balancer.ConnectFailed)
		if to := h.sentTo[id]; len(to) != 2 || to[1] != ep {
			t.Errorf("after a failed trial the request goes to %v, and %s answers", to, ep)
		} else {
			h.finish(id, balancer.OK)
		}
	}
}
