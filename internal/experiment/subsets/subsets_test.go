package subsets

import (
	"testing"
)

// results measures a fleet and returns the results by the name of the method.
func results(t *testing.T, instances, servers, size int) map[string]Result {
	t.Helper()
	byMethod := map[string]Result{}
	for _, r := range Measure(instances, servers, size) {
		byMethod[r.Method] = r
	}
	if len(byMethod) != len(methods) {
		t.Fatalf("results of %d methods, want %d", len(byMethod), len(methods))
	}
	return byMethod
}

// Each method's result is in its possible range: the server with the fewest instances is at or
// below the mean, that with the most at or above it, and an added instance changes at most a whole
// subset. The minimum number of servers added per replacement is 2*size/servers.
func TestMeasuredMethodsAreWithinTheirLimits(t *testing.T) {
	for name, r := range results(t, 30, 60, 10) {
		t.Run(name, func(t *testing.T) {
			if r.MinInstances < 0 || r.MinInstances > 1 || r.MaxInstances < 1 {
				t.Errorf("instances per server, relative to the mean: %.2f to %.2f, want a range around 1",
					r.MinInstances, r.MaxInstances)
			}
			if r.AddedPerNewInstance < 0 || r.AddedPerNewInstance > 10 || r.MinAddedPerReplacement != 2*10.0/60 {
				t.Errorf("got %+v, want AddedPerNewInstance from 0 to 10 and MinAddedPerReplacement 1/3", r)
			}
		})
	}
}

// The daemon's method distributes instances more evenly than random subsets do, and changes less
// than the same ring without memory of previous subsets.
func TestDaemonsMethodIsEvenAndStable(t *testing.T) {
	byMethod := results(t, 30, 60, 10)
	daemon := byMethod["ring, numbered"]
	if random := byMethod["rendezvous"]; daemon.MaxInstances >= random.MaxInstances {
		t.Errorf("most instances of a server, relative to the mean: %.2f, with random subsets %.2f",
			daemon.MaxInstances, random.MaxInstances)
	}
	if stateless := byMethod["ring, forgetful"]; daemon.AddedPerReplacement >= stateless.AddedPerReplacement {
		t.Errorf("servers added to a subset for a replacement: %.2f, without memory of previous subsets %.2f",
			daemon.AddedPerReplacement, stateless.AddedPerReplacement)
	}
}

// With a subset of all servers, nothing but the replaced server changes.
func TestSubsetOfAllServersChangesOneServer(t *testing.T) {
	for name, r := range results(t, 5, 4, 20) {
		t.Run(name, func(t *testing.T) {
			if r.MinInstances != 1 || r.MaxInstances != 1 || r.AddedPerReplacement != 1 ||
				r.MinAddedPerReplacement != 1 || r.AddedPerNewInstance != 0 {
				t.Errorf("got %+v, want only the replaced server to change", r)
			}
		})
	}
}
