package daemon

import (
	"slices"
	"testing"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/ratelimit"
)

// routesWithConcurrency returns routes with the given names and concurrency limit.
func routesWithConcurrency(limit int, names ...string) (routes []config.Route) {
	for _, name := range names {
		routes = append(routes, config.Route{Name: name, Policy: config.Policy{Concurrency: limit}})
	}
	return routes
}

// A route that remains after a reload keeps its count of requests in flight, and gets its new
// limits. A route that was removed starts from 0 if it is added again.
func TestLimiterSetFollowsRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	limiters := limiterSet{}
	if removed := limiters.update(now, routesWithConcurrency(1, "a", "b")); len(removed) > 0 {
		t.Errorf("removed %v from an empty set", removed)
	}
	first := limiters["a"]
	if _, exceeded := first.acquire(now, ""); exceeded.Limit != ratelimit.None {
		t.Fatalf("the first request was rejected because of the limit %q", exceeded.Limit)
	}
	if removed := limiters.update(now, routesWithConcurrency(2, "a")); !slices.Equal(removed, []string{"b"}) {
		t.Errorf("removed %v, want [b]", removed)
	}
	if limiters["a"] != first {
		t.Error("a route that remained has a new limiter")
	}
	permit, exceeded := first.acquire(now, "")
	if exceeded.Limit != ratelimit.None {
		t.Errorf("with a limit of 2, the second request was rejected because of the limit %q", exceeded.Limit)
	}
	if _, exceeded := first.acquire(now, ""); exceeded.Limit != ratelimit.RouteConcurrency {
		t.Errorf("with a limit of 2, the third request exceeds %q, want the route concurrency", exceeded.Limit)
	}
	first.release(permit)
	if inFlight, _ := first.usage(); inFlight != 1 {
		t.Errorf("%d requests in flight, want 1", inFlight)
	}
	limiters.update(now, nil)
	limiters.update(now, routesWithConcurrency(1, "a"))
	if inFlight, _ := limiters["a"].usage(); inFlight != 0 {
		t.Errorf("a route that was added again has %d requests in flight, want 0", inFlight)
	}
}
