package balancer_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// subsetUsage is which endpoints the instances of a fleet use.
type subsetUsage struct {
	instances    map[string]int // that use an endpoint, by its ID
	fewest, most int            // endpoints that one instance uses
}

// measureSubsets returns which endpoints instances use that have one request a second each.
func measureSubsets(t *testing.T, instances, endpoints int) subsetUsage {
	names := []string{}
	for i := range endpoints {
		names = append(names, "e"+strconv.Itoa(i))
	}
	usage := subsetUsage{instances: map[string]int{}, fewest: endpoints}
	for c := range instances {
		s := testSettings()
		s.Instances = instances
		s.Index = c
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
			usage.instances[ep]++
		}
		usage.fewest = min(usage.fewest, len(own))
		usage.most = max(usage.most, len(own))
	}
	return usage
}

// In runs at full size, 420 instances with two requests a second each sent to each of 80 servers
// every 40 s: none noticed that a server slowed down, and nearly every request opened a connection.
func TestManyQuietInstancesUseSubsets(t *testing.T) {
	usage := measureSubsets(t, 200, 60)
	if usage.fewest < 4 || usage.most > 12 {
		t.Errorf("instances use %d to %d of 60 endpoints", usage.fewest, usage.most)
	}
	lowest, highest := 200, 0
	for _, n := range usage.instances {
		lowest = min(lowest, n)
		highest = max(highest, n)
	}
	if len(usage.instances) < 60 || float64(highest) > 1.3*float64(lowest) {
		t.Errorf("%d endpoints are in use, by %d to %d instances", len(usage.instances), lowest, highest)
	}
}

// With few instances, one subset more or less with an endpoint would be an imbalance of its own.
func TestFewInstancesUseAllEndpoints(t *testing.T) {
	usage := measureSubsets(t, 6, 12)
	if len(usage.instances) != 12 || usage.fewest != 12 {
		t.Errorf("an instance among few uses %d of 12 endpoints, all together %d", usage.fewest, len(usage.instances))
	}
}

// Sixteen instances with one request a second each could spread over all of 32 endpoints, and
// send to each twice a minute. With twelve each they have enough samples, and every endpoint
// still is in as many subsets as the others, so that none depends on one instance.
func TestQuietInstancesUseFewerEndpointsMoreOften(t *testing.T) {
	usage := measureSubsets(t, 16, 32)
	if usage.fewest < 10 || usage.most > 13 {
		t.Errorf("instances use %d to %d of 32 endpoints", usage.fewest, usage.most)
	}
	for ep, n := range usage.instances {
		if n < 4 || n > 8 {
			t.Errorf("%d instances use %s", n, ep)
		}
	}
	if len(usage.instances) < 32 {
		t.Errorf("only %d endpoints are in use", len(usage.instances))
	}
}

// listOf returns a list of endpoints in one state.
func listOf(state balancer.State, ids ...string) (l balancer.EndpointList) {
	for _, id := range ids {
		l.Entries = append(l.Entries, balancer.Endpoint{ID: id, State: state})
	}
	return l
}

// After each sequence of lists, requests come at one of thirteen instances, and every request that
// an endpoint could serve is sent.
func TestUnusualListsOfALargeFleet(t *testing.T) {
	many := endpointIDs(1000)
	for name, c := range map[string]struct {
		lists  []balancer.EndpointList
		listed []string // in the end
	}{
		"none, then all again": {[]balancer.EndpointList{{Complete: true}, listOf(balancer.Ready,
			endpointIDs(16)...)}, endpointIDs(16)},
		"a thousand": {[]balancer.EndpointList{listOf(balancer.Ready, many...)}, many},
		"a thousand, then one": {[]balancer.EndpointList{listOf(balancer.Ready, many...), {Complete: true,
			Entries: listOf(balancer.Ready, "e03").Entries}}, []string{"e03"}},
		"all that are active drain": {[]balancer.EndpointList{listOf(balancer.Draining, endpointIDs(16)...),
			listOf(balancer.Ready, "new")}, []string{"new"}},
		"removed, though never listed": {[]balancer.EndpointList{listOf(balancer.Removed, "x", "y")}, endpointIDs(16)},
		"the same list once more": {[]balancer.EndpointList{listOf(balancer.Ready, endpointIDs(16)...)},
			endpointIDs(16)},
	} {
		for _, gap := range []time.Duration{100 * ms, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, a request each %v", name, gap), func(t *testing.T) {
				h := newHarnessOfInstance(t, 13, 16)
				requestEach(h, gap, 20)
				for _, l := range c.lists {
					h.b.EndpointList(h.now, l)
				}
				rejected := h.countActions("reject")
				before := h.requestCount
				requestEach(h, gap, 20)
				for n := before + 1; n <= h.requestCount; n++ {
					if to := h.sentTo[fmt.Sprint("r", n)]; len(to) == 0 || !slices.Contains(c.listed, to[0]) {
						t.Errorf("request %d went to %v", n-before, to)
					}
				}
				if n := h.countActions("reject") - rejected; n > 0 {
					t.Errorf("%d requests were rejected", n)
				}
				if err := h.b.CheckEndpointSet(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// requestEach makes n requests with a gap after each, and finishes those that are sent.
func requestEach(h *harness, gap time.Duration, n int) {
	for range n {
		id, ep := h.request("read")
		if h.advance(100 * ms); ep != "" {
			h.finish(id, balancer.OK)
		}
		h.advance(gap)
	}
}
