package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// All twenty instances learn at the same time that an endpoint has started.
func TestSlowStartDoesNotOverloadAnEndpoint(t *testing.T) {
	const instances, perSecond = 20, 5.0
	names := []string{}
	for i := range 9 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	got := [12]int{} // requests to the warming endpoint, by the second since its start
	for instance := range instances {
		s := testSettings()
		h := newHarness(t, s, names...)
		h.b = balancer.New(h.now, balancer.Settings{
			Seed:              uint64(instance),
			Instances:         instances,
			Index:             instance,
			MaxAttempts:       4,
			Resolution:        ms,
			SlowStartCapacity: 0.3,
			SlowStartWindow:   9 * time.Second,
			Classes:           s.Classes,
		}, h)
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
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "warming", Started: start}}})
		for h.now < start+11*time.Second {
			if at := (h.now - start) / time.Second; step() == "warming" {
				got[at]++
			}
		}
	}
	equalRate := instances * perSecond / 10 // requests per second to each endpoint at equal shares
	for at := range 11 {                    // nor may it be overloaded once it is warm, after 9 s (incident id93449)
		warm := min(0.3+0.7*float64(at+1)/9, 1)
		if n := float64(got[at]); n > equalRate*warm*2+4 {
			t.Errorf("second %d: the warming endpoint got %v requests, its share by its capacity is %v", at, n, equalRate*warm)
		}
	}
	if got[0] == 0 && got[1] == 0 && got[2] == 0 || got[10] < int(equalRate/2) {
		t.Errorf("the warming endpoint got too few requests; by the second since its start: %v", got)
	}
}

// The rate of sends to a warming endpoint stays near its share of the traffic at any request rate.
func TestSlowStartPacesSends(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c")
	latency := evenLatency(20*ms, "a", "b", "c", "new")
	h.serve(300, latency)
	h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new", Started: h.now}}})
	sent := h.serve(150, latency)["new"]
	if sent == 0 || sent > 150/4*2/3 {
		t.Errorf("a warming endpoint, one of four, got %d of 150 requests, want 1 to 24", sent)
	}
}

// requestsAfterResets returns how many of 60 requests go to c, one of three equal endpoints, after
// the connections of a number of consecutive requests to c were reset.
func requestsAfterResets(t *testing.T, resets int) int {
	t.Helper()
	h := newHarness(t, testSettings(), "a", "b", "c")
	latency := evenLatency(20*ms, "a", "b", "c")
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

// An endpoint with two resets and no response in between was down, so it warms up when it is back,
// regardless of its state in the endpoint list.
func TestSlowStartFollowsRepeatedResets(t *testing.T) {
	if n := requestsAfterResets(t, 2); n > 60/3*2/3 {
		t.Errorf("an endpoint that was down got %d of 60 requests, want at most 13", n)
	}
}

// When the network broke one connection in thirty, each reset put an endpoint into slow start. Its
// load moved to the other endpoints, and requests were rejected because no endpoint had capacity.
func TestSlowStartDoesNotFollowOneReset(t *testing.T) {
	if n := requestsAfterResets(t, 1); n < 60/3*2/3 {
		t.Errorf("an endpoint with one broken connection got %d of 60 requests, want at least 13", n)
	}
}

// While no endpoint is warm, a warming endpoint gets nearly all requests if its responses are
// fast, but not if it slows down.
func TestSlowStartSpeedsUpWithoutWarmEndpoints(t *testing.T) {
	for _, c := range []struct {
		name        string
		latency     time.Duration
		least, most int // of 50 requests, sent in the third second
	}{
		{"quick responses", ms, 45, 50},
		{"slow responses", 400 * ms, 0, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettingsWithObjective(200*ms), "a")
			h.serve(50, map[string]time.Duration{"a": ms})
			for range 200 {
				id, _ := h.request("read")
				h.advance(ms)
				h.finish(id, balancer.OK)
				h.advance(19 * ms)
			}
			h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "a", Started: h.now}}})
			sent := 0
			start := h.now
			h.serveSteadily(20*ms, 3*time.Second, func(string) time.Duration { return c.latency }, func(string) {
				if h.now >= start+2*time.Second {
					sent++
				}
			})
			if sent < c.least || sent > c.most {
				t.Errorf("%d of 50 requests were sent in the third second, want %d to %d", sent, c.least, c.most)
			}
		})
	}
}

// At one instance at 90% load, the warm endpoints looked slow and were ejected. The warming
// endpoint, now the only active one, got ten times its share, as if there were no warm endpoints.
// The extra requests would have come from the share of the ejected endpoints, so these still count
// as warm.
func TestSlowStartDoesNotSpeedUpForEjectedEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b", "c")
	h.serve(300, evenLatency(20*ms, "a", "b", "c"))
	h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new", Started: h.now}}})
	latency := map[string]time.Duration{"a": 400 * ms, "b": 400 * ms, "c": 400 * ms, "new": 5 * ms}
	sent := map[string]int{}
	h.serveSteadily(10*ms, 3*time.Second, func(ep string) time.Duration { return latency[ep] },
		func(ep string) { sent[ep]++ })
	// A quarter of 300 requests, times the share of 1.5 and a capacity that rises from 0.3 to 0.53,
	// is about 50.
	if sent["new"] == 0 || sent["new"] > 60 {
		t.Errorf("the warming endpoint got %d of 300 requests in 3 s, want 1 to 60: %v", sent["new"], sent)
	}
}

// Low-traffic instances that learn of a new endpoint must not all send it their next request.
func TestLowTrafficInstancesDoNotAllSendToANewEndpoint(t *testing.T) {
	sentToNew := 0
	for instance := range 100 {
		s := testSettings()
		s.Instances = 100
		s.Index = instance
		h := newSeededHarness(t, s, uint64(instance), "a", "b", "c")
		requestRarely := func(n int) {
			for range n {
				h.advance(time.Duration(25+(instance+n)%10) * time.Second)
				id, ep := h.request("read")
				if ep == "new" {
					sentToNew++
				}
				h.advance(200 * ms)
				h.finish(id, balancer.OK)
			}
		}
		requestRarely(4)
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "new"}}})
		requestRarely(1)
	}
	if sentToNew > 45 { // an equal share is 25
		t.Errorf("%d of 100 instances sent their next request to the new endpoint, want at most 45", sentToNew)
	}
}

// An instance that sends to each endpoint every four seconds sends to a warming endpoint again when
// that has reached half of its capacity. If the interval depended on the capacity at the start
// alone, the instance would wait until the endpoint is warm. All instances together stay within one
// and a half times the endpoint's share by its capacity.
func TestSlowStartIntervalAllowsForTheCapacityGained(t *testing.T) {
	const instances, warmUp = 13, 9
	early, all := 0, 0
	for seed := range uint64(instances) {
		s := testSettings()
		s.Instances = instances
		s.Index = int(seed)
		ids := append([]string{"fresh"}, endpointIDs(15)...)
		h := newSeededHarness(t, s, seed, ids...)
		request := func() bool {
			id, ep := h.request("read")
			h.advance(200 * ms)
			h.finish(id, balancer.OK)
			h.advance(50 * ms)
			return ep == "fresh"
		}
		for range 80 {
			request()
		}
		h.b.EndpointList(h.now, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: h.now}}})
		for start := h.now; h.now < start+warmUp*time.Second; {
			if request() {
				all++
				if h.now < start+warmUp*time.Second/3 {
					early++
				}
			}
		}
	}
	// At its full capacity the endpoint would get a request from each instance every 4 s: 29 in 9 s.
	// Its mean capacity is 0.65 of that, and it gets 1.5 times its share: about 28.
	if all < 20 || all > 32 {
		t.Errorf("an endpoint that warms up in 9 s got %d requests in that time, want 20 to 32", all)
	}
	if early > 9 { // it has capacity for a quarter of all in the first third
		t.Errorf("the endpoint got %d requests in the first third of the time, want at most 9", early)
	}
}

// Instances with the same seed and traffic draw the same random numbers. With these alone, all of
// them would first send to a new endpoint at the same time. Their indexes spread these first sends
// over a send interval. That also holds if all instances start at once, as after a mass restart,
// and have the endpoint in their first list, before they know their own request rate.
func TestInstancesWithTheSameSeedTryANewEndpointAtDifferentTimes(t *testing.T) {
	const instances = 20
	for _, startTogether := range []bool{false, true} {
		first := map[time.Duration]int{} // number of instances by the time of their first send to it, to 0.1 s
		for i := range instances {
			s := testSettings()
			s.Instances = instances
			s.Index = i
			h := newSeededHarness(t, s, 7)
			request := func() string {
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
			if !startTogether {
				h.b.EndpointList(h.now, balancer.EndpointList{Complete: true, Entries: l.Entries[1:]})
				for range 40 {
					request()
				}
				l = balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "fresh", Started: h.now}}}
			}
			h.b.EndpointList(h.now, l)
			for start := h.now; h.now < start+30*time.Second; {
				if request() == "fresh" {
					first[(h.now-start).Truncate(100*ms)]++
					break
				}
			}
		}
		most, all := 0, 0
		for _, n := range first {
			most = max(most, n)
			all += n
		}
		if all != instances || most > 3 {
			t.Errorf("started together %v: %d of %d instances tried the new endpoint, %d in the same 0.1 s, want at most 3: %v",
				startTogether, all, instances, most, first)
		}
	}
}
