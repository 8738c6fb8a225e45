package balancer_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// measureSubsets returns how many instances use each endpoint, with one request a second each,
// and the fewest and the most endpoints that one instance uses.
func measureSubsets(t *testing.T, instances, endpoints int) (met map[string]int, fewest, most int) {
	names := []string{}
	for i := range endpoints {
		names = append(names, "e"+strconv.Itoa(i))
	}
	met, fewest = map[string]int{}, endpoints
	for c := range instances {
		s := testSettings()
		s.Instances, s.Index = instances, c
		h := newHarness(t, s, names...)
		own := map[string]bool{}
		for range 40 {
			id, ep := h.request("read")
			own[ep] = true
			h.advance(50 * ms)
			h.finish(id, balancer.OK)
			h.advance(950 * ms)
		}
		for ep := range own {
			met[ep]++
		}
		fewest, most = min(fewest, len(own)), max(most, len(own))
	}
	return met, fewest, most
}

// On full-size days 420 instances with two requests a second each sent to each of 80 servers
// every 40 s: none saw a server slow down, and nearly every request opened a connection.
func TestManyQuietInstancesUseSubsets(t *testing.T) {
	met, fewest, most := measureSubsets(t, 200, 60)
	if fewest < 4 || most > 12 {
		t.Errorf("instances use %d to %d of 60 endpoints", fewest, most)
	}
	least, highest := 200, 0
	for _, n := range met {
		least, highest = min(least, n), max(highest, n)
	}
	if len(met) < 60 || float64(highest) > 1.3*float64(least) {
		t.Errorf("%d endpoints are in use, by %d to %d instances", len(met), least, highest)
	}
}

// With few instances, one subset more or less with an endpoint would be an imbalance of its own.
func TestFewInstancesUseAllEndpoints(t *testing.T) {
	if met, fewest, _ := measureSubsets(t, 6, 12); len(met) != 12 || fewest != 12 {
		t.Errorf("an instance among few uses %d of 12 endpoints, all together %d", fewest, len(met))
	}
}

// Sixteen instances with one request a second each could spread over all of 32 endpoints, and
// send to each twice a minute. With twelve each they have enough samples, and every endpoint
// still is in as many subsets as the others, so that none depends on one instance.
func TestQuietInstancesUseFewerEndpointsMoreOften(t *testing.T) {
	met, fewest, most := measureSubsets(t, 16, 32)
	if fewest < 10 || most > 13 {
		t.Errorf("instances use %d to %d of 32 endpoints", fewest, most)
	}
	for ep, n := range met {
		if n < 4 || n > 8 {
			t.Errorf("%d instances use %s", n, ep)
		}
	}
	if len(met) < 32 {
		t.Errorf("only %d endpoints are met", len(met))
	}
}

// listOf returns a list of endpoints in one state.
func listOf(state balancer.State, ids ...string) (l balancer.EndpointList) {
	for _, id := range ids {
		l.Entries = append(l.Entries, balancer.Endpoint{ID: id, State: state})
	}
	return l
}

// Each list is followed by requests at one of thirteen instances, and every request that an
// endpoint could serve is served.
func TestUnusualListsOfALargeFleet(t *testing.T) {
	many := endpointIDs(1000)
	for name, odd := range map[string]struct {
		lists  []balancer.EndpointList
		listed []string // in the end
	}{
		"nobody, then all again": {[]balancer.EndpointList{{Complete: true}, listOf(balancer.Ready,
			endpointIDs(16)...)}, endpointIDs(16)},
		"a thousand": {[]balancer.EndpointList{listOf(balancer.Ready, many...)}, many},
		"a thousand, then one": {[]balancer.EndpointList{listOf(balancer.Ready, many...), {Complete: true,
			Entries: listOf(balancer.Ready, "e03").Entries}}, []string{"e03"}},
		"all that are active drain": {[]balancer.EndpointList{listOf(balancer.Draining, endpointIDs(16)...),
			listOf(balancer.Ready, "new")}, []string{"new"}},
		"removed that were never known": {[]balancer.EndpointList{listOf(balancer.Removed, "x", "y")}, endpointIDs(16)},
		"the same list once more": {[]balancer.EndpointList{listOf(balancer.Ready, endpointIDs(16)...)},
			endpointIDs(16)},
	} {
		for _, gap := range []time.Duration{100 * ms, 10 * time.Second} { // and one request in ten seconds
			h := newHarnessOfInstance(t, 13, 16)
			play := func(n int) {
				for range n {
					id, ep := h.request("read")
					if h.advance(100 * ms); ep != "" {
						h.finish(id, balancer.OK)
					}
					h.advance(gap)
				}
			}
			play(20)
			for _, l := range odd.lists {
				h.b.EndpointList(h.now, l)
			}
			refused := h.countActions("reject")
			before := h.requestCount
			play(20)
			for n := before + 1; n <= h.requestCount; n++ {
				if to := h.sentTo[fmt.Sprint("r", n)]; len(to) == 0 || !slices.Contains(odd.listed, to[0]) {
					t.Errorf("%s, a request each %v: request %d went to %v", name, gap, n-before, to)
				}
			}
			if h.countActions("reject") > refused {
				t.Errorf("%s, a request each %v: some were rejected", name, gap)
			}
			if err := h.b.CheckIndex(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}
