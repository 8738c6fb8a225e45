package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// Twenty instances see the start of an endpoint at the same time.
func TestSlowStartDoesNotOverloadAnEndpoint(t *testing.T) {
	const instances, perSecond = 20, 5.0
	names := []string{}
	for i := range 9 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	got := [12]int{}
	for c := range instances {
		s := testSettings()
		h := newHarness(t, s, names...)
		h.b = balancer.New(h.now, balancer.Settings{Seed: uint64(c), Instances: instances, Index: c, MaxAttempts: 4,
			Resolution:        ms,
			SlowStartCapacity: 0.3, SlowStartWindow: 9 * time.Second, Classes: s.Classes}, h)
		l := balancer.EndpointList{Complete: true}
		for _, id := range names {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: id})
		}
		h.b.EndpointList(h.now, l)
		step := func() string {
			id, ep := h.request("read")
			h.advance(50 * ms)
			h.finish(id, balancer.OK)
			h.advance(time.Second/time.Duration(perSecond) - 50*ms)
			return ep
		}
		for range 30 {
			step()
		}
		start := h.now
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "cold", Started: start}}})
		for h.now < start+11*time.Second {
			if at := (h.now - start) / time.Second; step() == "cold" {
				got[at]++
			}
		}
	}
	even := instances * perSecond / 10 // calls a second to each endpoint
	for at := range 11 {               // nor when it counts as warm at last (incident id93449)
		warm := min(0.3+0.7*float64(at+1)/9, 1)
		if n := float64(got[at]); n > even*warm*2+4 {
			t.Errorf("second %d: a warming endpoint got %v requests, an even share is %v", at, n, even*warm)
		}
	}
	if got[0] == 0 && got[1] == 0 && got[2] == 0 || got[10] < int(even/2) {
		t.Errorf("a warming endpoint did not come into use: %v", got)
	}
}

// The rate of sends to an endpoint that warms up stays near its share, however many requests
// come.
func TestSlowStartPacesSends(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c")
	latency := map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms, "new": 20 * ms}
	h.serve(300, latency)
	h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new", Started: h.now}}})
	share := h.serve(150, latency)
	if share["new"] == 0 || share["new"] > 150/4*2/3 {
		t.Errorf("a warming endpoint of four got %d of 150 requests", share["new"])
	}
}

// callsAfterResets returns how many of 60 requests go to c, one of three alike, after some in a
// row were reset there.
func callsAfterResets(t *testing.T, resets int) int {
	t.Helper()
	h := newHarness(t, testSettings(), "a", "b", "c")
	latency := map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms}
	h.serve(300, latency)
	for resets > 0 {
		id, ep := h.request("bill")
		h.advance(20 * ms)
		if ep == "c" {
			resets--
			h.finish(id, balancer.Reset)
		} else {
			h.finish(id, balancer.OK)
		}
	}
	h.serve(60, latency)
	return h.serve(60, latency)["c"]
}

// An endpoint that resets again before it has responded went down: it warms up when it is back,
// whatever the list says.
func TestSlowStartFollowsRepeatedResets(t *testing.T) {
	if n := callsAfterResets(t, 2); n > 60/3*2/3 {
		t.Errorf("an endpoint that went down got %d of 60 calls", n)
	}
}

// Seen on a day on which the network broke one connection in thirty: each reset put an endpoint
// into slow start, requests found no endpoint with capacity and were rejected, and the load
// moved to the other endpoints.
func TestSlowStartDoesNotFollowOneReset(t *testing.T) {
	if n := callsAfterResets(t, 1); n < 60/3*2/3 {
		t.Errorf("an endpoint with one broken connection got %d of 60 calls", n)
	}
}

// An endpoint that warms up alone and responds as one that is not busy gets all requests, and
// one that slows down does not.
func TestSlowStartSpeedsUpWithoutWarmEndpoints(t *testing.T) {
	for _, c := range []struct {
		took        time.Duration
		least, most int // sent in the third second
	}{{ms, 45, 50}, {400 * ms, 0, 40}} {
		h := newHarness(t, testSettingsWithObjective(200*ms), "a")
		h.serve(50, map[string]time.Duration{"a": ms})
		for range 200 {
			id, _ := h.request("read")
			h.advance(ms)
			h.finish(id, balancer.OK)
			h.advance(19 * ms)
		}
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "a", Started: h.now}}})
		sent, begun := 0, h.now
		h.serveSteadily(20*ms, 3*time.Second, func(string) time.Duration { return c.took }, func(string) {
			if h.now >= begun+2*time.Second {
				sent++
			}
		})
		if sent < c.least || sent > c.most {
			t.Errorf("of 50 requests a second that take %v, %d were sent; %d to %d are right", c.took, sent, c.least, c.most)
		}
	}
}

// Seen at one instance at 90% load: the warm endpoints looked slow under the load and were
// ejected, the warming one was the only one active, and it got ten times its share as though
// there were no warm ones. Their load is what it would get.
func TestSlowStartDoesNotSpeedUpForEjectedEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c")
	h.serve(300, map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms})
	h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new", Started: h.now}}})
	latency := map[string]time.Duration{"a": 400 * ms, "b": 400 * ms, "c": 400 * ms, "new": 5 * ms}
	sent := map[string]int{}
	h.serveSteadily(10*ms, 3*time.Second, func(ep string) time.Duration { return latency[ep] },
		func(ep string) { sent[ep]++ })
	// A quarter of 300 calls, times the share of 1.5 and a capacity that goes from 0.3 to 0.53: about
	// 50.
	if sent["new"] == 0 || sent["new"] > 60 {
		t.Errorf("the warming endpoint was sent %d of 300 requests in 3 s: %v", sent["new"], sent)
	}
}

// Many quiet instances that are notified of one new endpoint must not all send their next
// request there.
func TestQuietInstancesDoNotAllTryANewEndpoint(t *testing.T) {
	met := 0
	for instance := range 100 {
		s := testSettings()
		s.Instances, s.Index = 100, instance
		h := newSeededHarness(t, s, uint64(instance), "a", "b", "c")
		quiet := func(n int) {
			for range n {
				h.advance(time.Duration(25+(instance+n)%10) * time.Second)
				id, ep := h.request("read")
				if ep == "new" {
					met++
				}
				h.advance(200 * ms)
				h.finish(id, balancer.OK)
			}
		}
		quiet(4)
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new"}}})
		quiet(1)
	}
	if met > 45 {
		t.Errorf("%d of 100 instances sent their next request to the new endpoint; a quarter is its part", met)
	}
}

// An instance that sends to each endpoint every four seconds sends next to a warming one when it
// has half of its capacity. By the capacity of its start alone, that would be when it is warm.
// All together stay within one and a half times the share of its capacity.
func TestSlowStartShareGrowsBetweenTheSendsOfQuietInstances(t *testing.T) {
	const instances, warmUp = 13, 9
	early, all := 0, 0
	for seed := range uint64(instances) {
		s := testSettings()
		s.Instances, s.Index = instances, int(seed)
		ids := append([]string{"fresh"}, endpointIDs(15)...)
		h := newSeededHarness(t, s, seed, ids...)
		call := func() bool {
			id, ep := h.request("read")
			h.advance(200 * ms)
			h.finish(id, balancer.OK)
			h.advance(50 * ms)
			return ep == "fresh"
		}
		for range 80 {
			call()
		}
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: h.now}}})
		for start := h.now; h.now < start+warmUp*time.Second; {
			if call() {
				all++
				if h.now < start+warmUp*time.Second/3 {
					early++
				}
			}
		}
	}
	// A turn comes every 4 s: 29 for all instances in nine seconds, and the area under the capacity is
	// 0.65 of that, times 1.5.
	if all < 20 || all > 32 {
		t.Errorf("%d calls to an endpoint that warms up in 9 s, want about 28", all)
	}
	if early > 9 {
		t.Errorf("%d of them in the first third, in which it can do a quarter of all", early)
	}
}

// Instances with one seed and the same traffic draw alike: if each drew the time of its first
// send to a new endpoint at random alone, all would send at the same instant. By their indexes
// they spread over a turn; also where all start at once, as after a mass restart, and see the
// endpoint in their first list, before they know their own rate.
func TestInstancesOfOneSeedTryANewEndpointAtDifferentTimes(t *testing.T) {
	const instances = 20
	for _, together := range []bool{false, true} {
		first := map[time.Duration]int{} // instances, by the tenth of a second of their first send to it
		for i := range instances {
			s := testSettings()
			s.Instances, s.Index = instances, i
			h := newSeededHarness(t, s, 7)
			call := func() string {
				id, ep := h.request("read")
				h.advance(50 * ms)
				h.finish(id, balancer.OK)
				h.advance(150 * ms)
				return ep
			}
			fresh := balancer.Endpoint{ID: "fresh", Started: h.now - time.Second}
			l := balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{fresh}}
			for _, id := range endpointIDs(4) {
				l.Entries = append(l.Entries, balancer.Endpoint{ID: id})
			}
			if !together {
				h.b.EndpointList(h.now, balancer.EndpointList{Complete: true, Entries: l.Entries[1:]})
				for range 40 {
					call()
				}
				l = balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: h.now}}}
			}
			h.b.EndpointList(h.now, l)
			for start := h.now; h.now < start+30*time.Second; {
				if call() == "fresh" {
					first[(h.now-start).Truncate(100*ms)]++
					break
				}
			}
		}
		most, all := 0, 0
		for _, n := range first {
			most, all = max(most, n), all+n
		}
		if all != instances || most > 3 {
			t.Errorf("together %v: %d of %d instances sent to the new endpoint, at most %d in one tenth of a second: %v",
				together, all, instances, most, first)
		}
	}
}
