package subsets

import (
	"testing"
)

// results measures a fleet and returns the results by method.
func results(t *testing.T, instances, servers, size int) map[string]Result {
	t.Helper()
	byMethod := map[string]Result{}
	for _, r := range Measure(instances, servers, size) {
		byMethod[r.Method] = r
	}
	if len(byMethod) != len(methods) {
		t.Fatalf("%d methods, want %d", len(byMethod), len(methods))
	}
	return byMethod
}

// Each method has servers on both sides of the mean, and changes no less than necessary.
func TestMeasuredMethodsAreWithinTheirLimits(t *testing.T) {
	for name, r := range results(t, 30, 60, 10) {
		t.Run(name, func(t *testing.T) {
			if r.MinInstances < 0 || r.MinInstances > 1 || r.MaxInstances < 1 {
				t.Errorf("from %.2f to %.2f instances, relative to the mean", r.MinInstances, r.MaxInstances)
			}
			if r.NewInstance < 0 || r.NewInstance > 10 || r.ReplacedNeeded != 2*10.0/60 {
				t.Errorf("%+v", r)
			}
		})
	}
}

// The daemon's method spreads instances more evenly than random subsets, and changes less than the
// same ring without regard to earlier subsets.
func TestDaemonsMethodIsEvenAndStable(t *testing.T) {
	byMethod := results(t, 30, 60, 10)
	daemon := byMethod["ring, numbered"]
	if random := byMethod["rendezvous"]; daemon.MaxInstances >= random.MaxInstances {
		t.Errorf("at most %.2f instances relative to the mean, with random subsets %.2f",
			daemon.MaxInstances, random.MaxInstances)
	}
	if stateless := byMethod["ring, forgetful"]; daemon.Replaced >= stateless.Replaced {
		t.Errorf("%.2f servers change for a replacement, without regard to earlier subsets %.2f",
			daemon.Replaced, stateless.Replaced)
	}
}

// With a subset of all servers, nothing but the replaced server changes.
func TestSubsetOfAllServersChangesOneServer(t *testing.T) {
	for name, r := range results(t, 5, 4, 20) {
		t.Run(name, func(t *testing.T) {
			if r.MinInstances != 1 || r.MaxInstances != 1 || r.Replaced != 1 || r.ReplacedNeeded != 1 || r.NewInstance != 0 {
				t.Errorf("%+v", r)
			}
		})
	}
}
