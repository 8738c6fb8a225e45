package balancer_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"rowancart/balancer"
)

// subsetUsage counts the endpoints that instances use, and the instances that use each endpoint.
type subsetUsage struct {
	instances    map[string]int // number of instances that use an endpoint, by endpoint ID
	fewest, most int            // number of endpoints that a single instance uses
}

// measureSubsets returns the endpoint usage of instances that have one request per second each.
func measureSubsets(t *testing.T, instances, endpoints int) subsetUsage {
	names := []string{}
	for i := range endpoints {
		names = append(names, "e"+strconv.Itoa(i))
	}
	usage := subsetUsage{instances: map[string]int{}, fewest: endpoints}
	for index := range instances {
		s := testSettings()
		s.Instances = instances
		s.Index = index
		h := newHarness(t, s, names...)
		used := map[string]bool{}
		for range 40 {
			id, ep := h.request("read")
			used[ep] = true
			h.advance(50 * ms)
			h.finish(id, balancer.OK)
			h.advance(950 * ms)
		}
		for ep := range used {
			usage.instances[ep]++
		}
		usage.fewest = min(usage.fewest, len(used))
		usage.most = max(usage.most, len(used))
	}
	return usage
}

// In full-size runs without subsets, 420 instances with two requests per second each sent to each
// of 80 endpoints only every 40 s. None of them noticed that an endpoint slowed down, and nearly
// every request opened a connection.
func TestManyLowTrafficInstancesUseSubsets(t *testing.T) {
	usage := measureSubsets(t, 200, 60)
	if usage.fewest < 4 || usage.most > 12 {
		t.Errorf("instances use %d to %d of 60 endpoints each, want 4 to 12", usage.fewest, usage.most)
	}
	lowest, highest := 200, 0
	for _, n := range usage.instances {
		lowest = min(lowest, n)
		highest = max(highest, n)
	}
	if len(usage.instances) < 60 || float64(highest) > 1.3*float64(lowest) {
		t.Errorf("%d of 60 endpoints are used, by %d to %d instances each", len(usage.instances), lowest, highest)
	}
}

// With few instances, each endpoint would be in few subsets, and a difference of a single subset
// between two endpoints would unbalance their load.
func TestFewInstancesUseAllEndpoints(t *testing.T) {
	usage := measureSubsets(t, 6, 12)
	if len(usage.instances) != 12 || usage.fewest != 12 {
		t.Errorf("an instance uses only %d of 12 endpoints, all together %d", usage.fewest, len(usage.instances))
	}
}

// If sixteen instances with one request per second each used all of 32 endpoints, each would send
// to an endpoint only twice a minute. With twelve endpoints each, they get enough samples, and all
// endpoints are still in about equally many subsets, so that none depends on a single instance.
func TestLowTrafficInstancesUseFewerEndpointsMoreOften(t *testing.T) {
	usage := measureSubsets(t, 16, 32)
	if usage.fewest < 10 || usage.most > 13 {
		t.Errorf("instances use %d to %d of 32 endpoints each, want 10 to 13", usage.fewest, usage.most)
	}
	for ep, n := range usage.instances {
		if n < 4 || n > 8 {
			t.Errorf("%d instances use endpoint %s, want 4 to 8", n, ep)
		}
	}
	if len(usage.instances) < 32 {
		t.Errorf("only %d of 32 endpoints are used", len(usage.instances))
	}
}

// listOf returns an endpoint list that gives all endpoints the same state.
func listOf(state balancer.State, ids ...string) (l balancer.EndpointList) {
	for _, id := range ids {
		l.Entries = append(l.Entries, balancer.Endpoint{ID: id, State: state})
	}
	return l
}

// After each sequence of unusual endpoint lists, one of thirteen instances must send each request
// to an endpoint that is listed and ready, and must not reject any.
func TestUnusualListsOfALargeFleet(t *testing.T) {
	many := endpointIDs(1000)
	for name, c := range map[string]struct {
		lists  []balancer.EndpointList
		listed []string // ready endpoints after all lists
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
			t.Run(fmt.Sprintf("%s, a request every %v", name, gap), func(t *testing.T) {
				h := newHarnessOfInstance(t, 13, 16)
				makeRequests(h, gap, 20)
				for _, l := range c.lists {
					h.b.EndpointList(h.now, l)
				}
				rejected := h.countActions("reject")
				before := h.requestCount
				makeRequests(h, gap, 20)
				for n := before + 1; n <= h.requestCount; n++ {
					if to := h.sentTo[fmt.Sprint("r", n)]; len(to) == 0 || !slices.Contains(c.listed, to[0]) {
						t.Errorf("request %d was sent to %v, want a listed endpoint", n-before, to)
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

// makeRequests makes n requests with a gap after each, and finishes those that are sent without
// waiting in the queue.
func makeRequests(h *harness, gap time.Duration, n int) {
	for range n {
		id, ep := h.request("read")
		if h.advance(100 * ms); ep != "" {
			h.finish(id, balancer.OK)
		}
		h.advance(gap)
	}
}
